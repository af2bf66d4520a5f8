package resumption

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// version is one software version of a service.
type version struct {
	listed bool      // a backend server of it is on the list
	seen   time.Time // last time at which it was listed or another lobby or the store told of it
	saved  bool      // it has been passed on to be saved in the store
}

// versions holds the software versions of which streams may be open, by service.
type versions map[string]map[string]*version

// learn records that streams of a version may be open, and returns it; nil if the service has
// more versions than are remembered.
func (v versions) learn(now time.Time, origin Origin) *version {
	known, ok := v[origin.service]
	if !ok {
		known = make(map[string]*version)
		v[origin.service] = known
	}
	found, ok := known[origin.version]
	if !ok {
		if len(known) >= maxVersions {
			return nil
		}
		found = &version{}
		known[origin.version] = found
	}
	found.seen = now
	return found
}

// list records the list of backend servers.
func (v versions) list(now time.Time, backends []deployment.Backend) {
	for _, known := range v {
		for _, version := range known {
			version.listed = false
		}
	}
	for _, backend := range backends {
		if version := v.learn(now, NewOrigin(backend.Service(), backend.Version())); version != nil {
			version.listed = true
		}
	}
}

// mixed reports whether a service has several versions.
func (v versions) mixed(service string) bool { return len(v[service]) > 1 }

// only returns the version of a service that has a single one.
func (v versions) only(service string) (string, bool) {
	if len(v[service]) != 1 {
		return "", false
	}
	for name := range v[service] {
		return name, true
	}
	return "", false
}

// expire forgets the versions that have not been seen for as long as streams are remembered,
// and returns those of them that are saved.
func (v versions) expire(now time.Time) []protocol.SoftwareVersionConfig {
	var saved []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if version.listed || now.Sub(version.seen) <= maxRetention {
				continue
			}
			delete(known, name)
			if version.saved {
				saved = append(saved, NewOrigin(service, name).config())
			}
		}
		if len(known) == 0 {
			delete(v, service)
		}
	}
	return saved
}

// unsaved returns the versions that have not been passed on to be saved, and marks them.
func (v versions) unsaved() []protocol.SoftwareVersionConfig {
	var unsaved []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if !version.saved {
				version.saved = true
				unsaved = append(unsaved, NewOrigin(service, name).config())
			}
		}
	}
	return unsaved
}

// markUnsaved records that the store may have lost the versions.
func (v versions) markUnsaved() {
	for _, known := range v {
		for _, version := range known {
			version.saved = false
		}
	}
}
