package scheduler

// pin is the software version at which a stream has to go on: the one that began it, since
// what two versions write does not fit together. The zero value allows any.
type pin struct {
	set     bool
	version string
}

// pinTo returns the pin to a version.
func pinTo(version string) pin { return pin{set: true, version: version} }

// allows reports whether a backend server may run what is pinned.
func (p pin) allows(s *server) bool { return !p.set || s.backend.Version() == p.version }

// eligible reports whether a backend server of the service may run the requests of a key at
// all, now or later: it is in their home regions and has the version they are pinned to.
func (c *Core) eligible(key queueKey, s *server) bool {
	return c.inHome(key.homes, s) && key.pin.allows(s)
}

// hasVersion reports whether a backend server that may get new requests has the software
// version that a request is pinned to. While other versions serve, no more of its own are
// awaited: a stream that every one of them has broken off is not resumed.
func (c *Core) hasVersion(req *openRequest) bool {
	if !req.pin.set {
		return true
	}
	tried, others := false, false
	for _, s := range c.byService[req.service] {
		switch {
		case !s.usable():
		case !req.pin.allows(s):
			others = true
		case req.resuming() && req.tried[s.backend.ID()]:
			tried = true
		default:
			return true
		}
	}
	return tried && !others
}
