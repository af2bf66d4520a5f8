package scheduler

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/resumption"
)

// StreamOrigins remembers at which software versions streams began.
type StreamOrigins interface {
	// SetBackends records the list of backend servers, and the time before it was read, zero if
	// another lobby has read it.
	SetBackends(now, read time.Time, backends []deployment.Backend)
	// Began records that a stream has begun or gone on at an origin, and the time at which
	// its caller's timeout ends.
	Began(now time.Time, stream httpmeta.StreamID, origin resumption.Origin, until time.Time)
	// Readiness returns whether streams may begin at an origin. lobbies is the number of lobbies.
	Readiness(now time.Time, origin resumption.Origin, lobbies int) resumption.Readiness
	// Find returns what is known of the origin of a stream that a caller takes up, whose
	// request goes to a service. lobbies is the number of lobbies.
	Find(now time.Time, stream httpmeta.StreamID, service string, lobbies int) resumption.Finding
	// UpdatePeer records what another lobby tells, and when it was sent.
	UpdatePeer(now, sent time.Time, digest protocol.Digest)
	// Load records what the store keeps, or a part of it. complete is set with the last part.
	Load(now time.Time, saved protocol.SavedStreams, complete bool)
	// Loaded reports whether all that the store keeps has been loaded.
	Loaded() bool
	// SaveAnswered records that the store has taken the save of a serial.
	SaveAnswered(now time.Time, serial uint64)
	// Restored records that the store has lost what was saved lately.
	Restored(now time.Time)
	// ToTell returns the streams for the next digest.
	ToTell(now time.Time) []protocol.StreamsConfig
	// ToSave returns what is to be saved in the store now, false if nothing is due.
	ToSave(now time.Time, lobbies int) (protocol.StreamsSave, bool)
	// Size returns the number of streams that are remembered, the bytes that they take, and
	// the number of those that were forgotten for want of room.
	Size() (streams, bytes, dropped int)
}

// StreamsRead carries what the store keeps of streams, or a part of it.
type StreamsRead struct {
	saved    protocol.SavedStreams
	complete bool
}

// NewStreamsRead returns the message. complete is set with the last part.
func NewStreamsRead(saved protocol.SavedStreams, complete bool) StreamsRead {
	return StreamsRead{saved: saved, complete: complete}
}

// StreamsSaved reports that the store has taken the save of a serial.
type StreamsSaved struct{ serial uint64 }

// NewStreamsSaved returns the message.
func NewStreamsSaved(serial uint64) StreamsSaved { return StreamsSaved{serial: serial} }

// StreamsRestored reports that the store has lost what was saved of streams lately.
type StreamsRestored struct{}

func (StreamsRead) schedulerMessage()     {}
func (StreamsSaved) schedulerMessage()    {}
func (StreamsRestored) schedulerMessage() {}

// SaveStreams saves in the store at which software versions streams began.
type SaveStreams struct{ save protocol.StreamsSave }

// Save returns what is to be saved.
func (s SaveStreams) Save() protocol.StreamsSave { return s.save }

// RecordTakeUp records in log and metrics what is known of the origin of a stream that a
// caller takes up, and whether it may go on.
type RecordTakeUp struct {
	request *httpmeta.Request
	finding resumption.Finding
	goesOn  bool
}

func (SaveStreams) schedulerAction()  {}
func (RecordTakeUp) schedulerAction() {}

// streamID returns the ID of the stream that a request takes up, or else begins.
func (r *openRequest) streamID() httpmeta.StreamID {
	attempt := r.request.Resumes()
	if attempt == "" {
		attempt = r.request.ID()
	}
	return httpmeta.NewStreamID(r.tenant.Name(), attempt)
}

// takeUp pins a request that takes up a stream to the software version at which the stream
// began. It returns false if nobody knows that, or the route does not lead there any more: then
// the stream can't go on. request is as its caller sent it.
func (c *Core) takeUp(now time.Time, req *openRequest, request *httpmeta.Request) bool {
	if !request.TakesUp() || !req.route.Resumable() {
		return true
	}
	finding := c.config.Streams.Find(now, req.streamID(), req.service, c.lobbyCount)
	origin := finding.Origin()
	goesOn := finding.Known() && slices.Contains(req.route.Services(), origin.Service())
	c.emit(RecordTakeUp{request: request, finding: finding, goesOn: goesOn})
	if !goesOn {
		return false
	}
	req.pin = pinTo(origin.Version())
	if origin.Service() != req.service {
		req.service, req.request = origin.Service(), request
		c.fitModel(req)
	}
	return true
}

// mayStartAt reports whether a request may start at a backend server. A resumable stream begins
// at a version that is ready; at one that is overdue if no backend server of a ready one can run it.
func (c *Core) mayStartAt(now time.Time, req *openRequest, s *server) bool {
	if !req.route.Resumable() || req.pin.set {
		return true
	}
	switch c.config.Streams.Readiness(now, s.origin(), c.lobbyCount) {
	case resumption.Ready:
		return true
	case resumption.Overdue:
		return !c.startableAtReady(now, req)
	default:
		return false
	}
}

// startableAtReady reports whether a backend server of a version that is ready can run a request.
func (c *Core) startableAtReady(now time.Time, req *openRequest) bool {
	key := req.queueKey()
	found, ok := c.startable[key]
	if !ok {
		found = slices.ContainsFunc(c.byService[req.service], func(s *server) bool {
			return s.usable() && c.eligible(key, s) && (key.model == "" || s.hasModel(key.model)) &&
				c.config.Streams.Readiness(now, s.origin(), c.lobbyCount) == resumption.Ready
		})
		c.startable[key] = found
	}
	return found
}

// origin returns where streams begin that a backend server runs.
func (s *server) origin() resumption.Origin {
	return resumption.NewOrigin(s.backend.Service(), s.backend.Version())
}

// streamBegan pins a request to the software version of the backend server at which its stream
// has begun, and remembers that for its caller. While the backend server is doubted, nobody
// knows the version.
func (c *Core) streamBegan(now time.Time, req *openRequest) {
	req.pin = pinToServer(req.server)
	if !req.route.Resumable() {
		return
	}
	timeout := req.request.Timeout()
	if timeout == 0 {
		timeout = req.route.Timeout()
	}
	origin := resumption.NewOrigin(req.service, req.pin.version)
	c.config.Streams.Began(now, req.streamID(), origin, req.request.Arrived().Add(timeout))
}

// saveStreams has what is due saved.
func (c *Core) saveStreams(now time.Time) {
	if save, ok := c.config.Streams.ToSave(now, c.lobbyCount); ok {
		c.emit(SaveStreams{save: save})
	}
}
