package resumption

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// version is one software version of a service.
type version struct {
	listed  bool      // a backend server of it is on the list
	since   time.Time // time from which on it has been known
	seen    time.Time // last time at which it was listed or another lobby or the store told of it
	until   time.Time // time until which the last stream is remembered that began there
	saved   bool      // the store has it
	claimed bool      // streams have begun there: the store or another lobby says so
}

// versions holds the software versions of which streams may be open, by service.
type versions map[string]map[string]*version

// learn records that a version exists, and returns it; nil if the service has more versions
// than are remembered.
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
		found = &version{since: now}
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

// only returns the one version of a service at which streams may have begun, false if there are
// none or several.
func (v versions) only(service string) (only string, ok bool) {
	for name, version := range v[service] {
		if !version.saved && !version.claimed {
			continue
		}
		if ok {
			return "", false
		}
		only, ok = name, true
	}
	return only, ok
}

// expire forgets the versions that have not been seen for minRetention and of whose streams
// none is remembered, and returns those of them that the store has.
func (v versions) expire(now time.Time) []protocol.SoftwareVersionConfig {
	var saved []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if version.listed || now.Sub(version.seen) <= minRetention || version.until.After(now) {
				continue
			}
			delete(known, name)
			if version.saved {
				saved = append(saved, protocol.SoftwareVersionConfig{Service: service, Version: name})
			}
		}
		if len(known) == 0 {
			delete(v, service)
		}
	}
	return saved
}

// unsaved returns the versions that the store does not have.
func (v versions) unsaved() []protocol.SoftwareVersionConfig {
	var unsaved []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if !version.saved {
				unsaved = append(unsaved, protocol.SoftwareVersionConfig{Service: service, Version: name})
			}
		}
	}
	return unsaved
}

// markSaved records that the store has versions.
func (v versions) markSaved(saved []protocol.SoftwareVersionConfig) {
	for _, config := range saved {
		if version, ok := v[config.Service][config.Version]; ok {
			version.saved = true
		}
	}
}

// markLost records that the store may have lost the versions.
func (v versions) markLost() {
	for _, known := range v {
		for _, version := range known {
			version.claimed = version.claimed || version.saved
			version.saved = false
		}
	}
}
