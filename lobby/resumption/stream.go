// Package resumption remembers at which software version streams began. What two versions of a
// backend server write does not fit together, so a stream that a caller takes up again, at
// whichever lobby, may go on only at the version that began it. The lobbies tell each other,
// and the platform's store, where streams began while a service has several versions; the
// store outlives them all.
package resumption

import "time"

const (
	// maxRetention is the longest time for which a stream is remembered, in which its caller
	// may take it up.
	maxRetention = 10 * time.Minute
	// savedRetention is the time for which the store keeps what a lobby has saved of streams.
	savedRetention = 2 * time.Minute
	// retentionSlack is the time for which a stream is remembered beyond its caller's timeout.
	retentionSlack = 2 * time.Second
	maxStreams     = 1 << 15 // streams that are remembered
	maxVersions    = 16      // versions of one service that are remembered
	// streamSize is the number of bytes that one stream takes in memory, as far as the metrics
	// tell.
	streamSize = 160
)

// Origin is where a stream began. It has no version while that is not known.
type Origin struct {
	service string
	version string
}

// NewOrigin returns an Origin. version is that of the software of a service's backend server.
func NewOrigin(service, version string) Origin { return Origin{service: service, version: version} }

// Service returns the name of the service.
func (o Origin) Service() string { return o.service }

// Version returns the version of the software of the backend server.
func (o Origin) Version() string { return o.version }

// Readiness says whether streams may begin at a version.
type Readiness int

// Values of Readiness.
const (
	Ready   Readiness = iota // all lobbies know the version, and so does the store
	Overdue                  // if no version that is ready can run them
	Pending                  // not yet
)

// Source says how a lobby knows where a stream began.
type Source string

// Sources.
const (
	SourceOwn      Source = "own"          // the stream began at this lobby, or was taken up here
	SourcePeer     Source = "peer"         // another lobby has said so
	SourceStore    Source = "store"        // the store says so
	SourceOnly     Source = "only_version" // streams of the service can have begun at one version only
	SourceEarlier  Source = "earlier"      // when this lobby read the store, lately, streams had begun at one version only
	SourceUnread   Source = "unread"       // not known: the store has not been read since the start
	SourceStale    Source = "stale"        // not known: other versions may serve of which the lobby has not heard
	SourceRestored Source = "restored"     // not known: the store has lost what was saved lately, perhaps a version
	SourceUnknown  Source = "unknown"      // not known: the service has several versions, and nobody has said at which it began
)

// Finding is what a lobby knows of the origin of a stream.
type Finding struct {
	origin Origin
	source Source
	age    time.Duration
}

// Known reports whether the origin is known.
func (f Finding) Known() bool { return f.origin != Origin{} }

// Origin returns where the stream began, the zero value if that is not known.
func (f Finding) Origin() Origin { return f.origin }

// Source returns how the origin is known, or why it is not.
func (f Finding) Source() Source { return f.source }

// Age returns the time since this lobby learnt of it; for the others that
// since the last list of backend servers.
func (f Finding) Age() time.Duration { return f.age }
