package scheduler

// pin is the software version at which a stream has to go on: the one that began it, since
// what two versions write does not fit together. The zero value allows any.
type pin struct {
	set     bool
	unknown bool // the version is not known, so the stream cannot go on
	version string
}

// pinTo returns the pin to a version.
func pinTo(version string) pin { return pin{set: true, version: version} }

// pinToServer returns the pin to the version of a backend server at which a stream begins.
func pinToServer(s *server) pin {
	if s.doubt.raised {
		return pin{set: true, unknown: true}
	}
	return pinTo(s.backend.Version())
}

// allows reports whether a backend server has the version of what is pinned.
func (p pin) allows(s *server) bool {
	return !p.set || !p.unknown && s.backend.Version() == p.version
}

// eligible reports whether a backend server of the service may run the requests of a key at
// all: it is in their home regions and has the version they are pinned to, beyond doubt.
func (c *Core) eligible(key queueKey, s *server) bool {
	return c.inHome(key.homes, s) && key.pin.allows(s) && !(key.pin.set && s.doubt.raised)
}

// hasVersion reports whether a request may find a backend server of the software version that it
// is pinned to: one that may get new requests is listed, or other versions do not serve either.
// A stream does not return to a backend server that has broken it off.
func (c *Core) hasVersion(req *openRequest) bool {
	if !req.pin.set || req.pin.unknown {
		return !req.pin.set
	}
	others := false
	for _, s := range c.byService[req.service] {
		switch {
		case !s.usable():
		case !req.pin.allows(s):
			others = true
		case !req.resuming() || !req.tried[s.backend.ID()]:
			return true
		}
	}
	return !others
}
