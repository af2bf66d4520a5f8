package resumption

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// version is one software version of a service.
type version struct {
	since      time.Time            // time since which it is known
	listed     bool                 // a backend server of it is on the list
	first      bool                 // it was on the first list that this lobby read
	forgetAt   time.Time            // time at which it is forgotten, unless it is listed then
	saved      bool                 // the store has it
	shared     bool                 // all lobbies know it, those that start later from the store
	named      map[string]time.Time // times at which other lobbies last sent its name
	hasStreams bool                 // streams have begun there, as far as this lobby knows
}

// knownTo reports whether a number of other lobbies know the version.
func (v *version) knownTo(now time.Time, others int) bool {
	for _, last := range v.named {
		if now.Sub(last) <= peerLifetime {
			others--
		}
	}
	return others <= 0
}

// keep remembers the version until a time at least.
func (v *version) keep(until time.Time) {
	if until.After(v.forgetAt) {
		v.forgetAt = until
	}
}

// versions holds the software versions of which streams may be open, by service.
type versions map[string]map[string]*version

// of returns a version, nil if it is not known.
func (v versions) of(origin Origin) *version { return v[origin.service][origin.version] }

// learn returns a version, which it adds if it is not known; nil if the service has more
// versions than are remembered.
func (v versions) learn(now time.Time, origin Origin) *version {
	known, ok := v[origin.service]
	if !ok {
		known = make(map[string]*version)
		v[origin.service] = known
	}
	if _, ok := known[origin.version]; !ok && len(known) < maxVersions {
		known[origin.version] = &version{since: now, named: make(map[string]time.Time)}
	}
	return known[origin.version]
}

// list records the list of backend servers. first is set with the first one.
func (v versions) list(now time.Time, first bool, backends []deployment.Backend) {
	for _, known := range v {
		for _, version := range known {
			version.listed = false
		}
	}
	for _, backend := range backends {
		if version := v.learn(now, NewOrigin(backend.Service(), backend.Version())); version != nil {
			version.listed, version.first = true, version.first || first
			version.keep(now.Add(maxRetention))
		}
	}
}

// several reports whether a service has several versions.
func (v versions) several(service string) bool { return len(v[service]) > 1 }

// saved reports whether the store has a version of a service.
func (v versions) saved(service string) bool {
	for _, version := range v[service] {
		if version.saved {
			return true
		}
	}
	return false
}

// only returns the one version of a service at which streams may have begun, false if there are
// none or several.
func (v versions) only(service string) (only string, ok bool) {
	for name, version := range v[service] {
		if !version.saved && !version.hasStreams {
			continue
		}
		if ok {
			return "", false
		}
		only, ok = name, true
	}
	return only, ok
}

// streamsElsewhere reports whether streams have begun at another version of the service of an
// origin.
func (v versions) streamsElsewhere(origin Origin) bool {
	for name, version := range v[origin.service] {
		if name != origin.version && version.hasStreams {
			return true
		}
	}
	return false
}

// expire forgets the versions whose time is over, and returns those of them that the store has.
func (v versions) expire(now time.Time) []protocol.SoftwareVersionConfig {
	var saved []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if version.listed || version.forgetAt.After(now) {
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
	return v.selected(func(known *version) bool { return !known.saved })
}

// all returns all versions.
func (v versions) all() []protocol.SoftwareVersionConfig {
	return v.selected(func(*version) bool { return true })
}

func (v versions) selected(selects func(known *version) bool) []protocol.SoftwareVersionConfig {
	var selected []protocol.SoftwareVersionConfig
	for service, known := range v {
		for name, version := range known {
			if selects(version) {
				selected = append(selected, protocol.SoftwareVersionConfig{Service: service, Version: name})
			}
		}
	}
	return selected
}

// markSaved records that the store has versions.
func (v versions) markSaved(saved []protocol.SoftwareVersionConfig) {
	for _, config := range saved {
		if version := v.of(NewOrigin(config.Service, config.Version)); version != nil {
			version.saved = true
		}
	}
}

// markLost records that the store may have lost the versions.
func (v versions) markLost() {
	for _, known := range v {
		for _, version := range known {
			version.hasStreams = version.hasStreams || version.saved
			version.saved = false
		}
	}
}
