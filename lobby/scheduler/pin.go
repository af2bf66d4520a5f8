package scheduler

import "time"

// startListedAfter is the time after its start within which a backend server is listed, and the
// list has been read.
const startListedAfter = 500 * time.Millisecond

// pin is the software version at which a stream has to go on: the one that began it, since
// what two versions write does not fit together. The zero value allows any.
type pin struct {
	set     bool
	unknown bool // the version is not known, so the stream cannot go on
	version string
}

// pinTo returns the pin to a version.
func pinTo(version string) pin { return pin{set: true, version: version} }

// pinToStart returns the pin to the version of a backend server at which a stream begins.
func pinToStart(s *server) pin {
	if s.doubted() {
		return pin{set: true, unknown: true}
	}
	return pinTo(s.backend.Version())
}

// allows reports whether a backend server has the version of what is pinned.
func (p pin) allows(s *server) bool {
	return !p.set || !p.unknown && s.backend.Version() == p.version
}

// doubted reports whether a backend server may have started again, with any version.
func (s *server) doubted() bool { return !s.doubtedSince.IsZero() }

// backendDisconnected records that a backend server may have started again since it was listed.
func (c *Core) backendDisconnected(now time.Time, origin Origin) {
	if s := c.serverOf(origin); s != nil {
		s.doubtedSince = now
	}
}

// settleDoubt ends the doubt about a backend server that is still listed with the same start,
// once a start after it would be listed.
func (s *server) settleDoubt(now time.Time) {
	if s.doubted() && now.Sub(s.doubtedSince) >= startListedAfter {
		s.doubtedSince = time.Time{}
	}
}

// eligible reports whether a backend server of the service may run the requests of a key at
// all: it is in their home regions and has the version they are pinned to, beyond doubt.
func (c *Core) eligible(key queueKey, s *server) bool {
	return c.inHome(key.homes, s) && key.pin.allows(s) && !(key.pin.set && s.doubted())
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
