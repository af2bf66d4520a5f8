package scheduler

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"time"
)

// ColdConfig holds what the lobbies need to divide the rate of a cold backend server.
type ColdConfig struct {
	Self      string  // RPC address of this lobby, as the store lists it
	Overshoot float64 // requests that may reach a cold backend server in one second, as a multiple of its rate
	Slack     float64 // requests beside that multiple
}

const (
	// announcementLease is the time from the start of a lobby's announcement and of its
	// read of the list for which it counts on being listed everywhere. The other lobbies
	// drop it from their lists later than that, 24 s after they have first seen the
	// announcement.
	announcementLease = 14 * time.Second
	// settleTime is the time from the first announcement after which a lobby is known to
	// every other one that has a lease: such a one has read the list since.
	settleTime = announcementLease + time.Second
	// A lobby that joins knows all others that join: it waits for joinDelay from its
	// announcement on, and uses no list older than joinFreshness, which is shorter.
	joinDelay     = 4 * time.Second
	joinFreshness = 3 * time.Second
	// heardRetention is the time for which a lobby counts that has sent a digest.
	heardRetention = 30 * time.Second
	// assumedLobbies is the number of lobbies that is assumed before the list was read.
	assumedLobbies = 20
	// maxSendDelay is the longest time that a request may wait within the process, for a
	// connection, after its turn.
	maxSendDelay = 150 * time.Millisecond
	// shareMargin is the time by which the window in which a lobby sends its part is longer
	// than that in which it may arrive: maxSendDelay and the difference between the times
	// that requests take to arrive.
	shareMargin = maxSendDelay + 50*time.Millisecond
)

// standing says what the other lobbies know of a lobby.
type standing uint8

// Standings of lobbies. The lobbies of each but the first have a part of the requests of
// a cold backend server for themselves.
const (
	unannounced standing = iota // the others may not know it yet
	joining                     // those that have joined lately know it
	established                 // all established lobbies know it
	lapsed                      // the others may have dropped it, since it has not reached the store for long
)

// rateShares divides the rates of backend servers among the lobbies without their
// agreement. The members are all lobbies that may send; each member ranks them for a
// backend server by rendezvous hashing, and only the first ones send there. A lobby that
// counts members which do not exist any more ranks itself too low, never too high, so the
// sum stays within the bound as long as no list lacks a lobby that sends.
type rateShares struct {
	config   ColdConfig
	members  map[string]bool      // addresses of the lobbies that may send, with this one
	heard    map[string]time.Time // times of the last digests, by sender
	since    time.Time            // start of the unbroken sequence of leases; zero before the first list
	readAt   time.Time            // start of the last read of the list
	leaseEnd time.Time            // time until which this lobby is listed everywhere
	epoch    int                  // increases with each change of the members
}

func newRateShares(config ColdConfig) *rateShares {
	return &rateShares{config: config, members: map[string]bool{config.Self: true}, heard: make(map[string]time.Time)}
}

// list takes the list of the lobbies that was read from the store. Only a list removes
// members, so that a lobby without contact to the store keeps counting all it knew.
func (s *rateShares) list(now time.Time, listed LobbiesListed) {
	if !now.Before(s.leaseEnd) {
		s.since = now
	}
	s.readAt, s.leaseEnd = listed.read, earlier(listed.read, listed.announced).Add(announcementLease)
	maps.DeleteFunc(s.heard, func(_ string, at time.Time) bool { return now.Sub(at) >= heardRetention })
	members := map[string]bool{s.config.Self: true}
	for _, address := range listed.addresses {
		members[address] = true
	}
	for address := range s.heard {
		members[address] = true
	}
	if !maps.Equal(members, s.members) {
		s.members = members
		s.epoch++
	}
}

// directoryRestored records that the list was restored to an older state. A lobby that has
// joined lately may not be on it, so that it joins once more; the others were listed before.
func (s *rateShares) directoryRestored(now time.Time) {
	if standing := s.standing(now); standing == unannounced || standing == joining {
		s.since = now
	}
}

// digestArrived records that a lobby is alive.
func (s *rateShares) digestArrived(now time.Time, sender string) {
	s.heard[sender] = now
	if !s.members[sender] {
		s.members[sender] = true
		s.epoch++
	}
}

// standing returns what the other lobbies know of this one.
func (s *rateShares) standing(now time.Time) standing {
	age := now.Sub(s.since)
	switch {
	case s.since.IsZero():
		return unannounced
	case !now.Before(s.leaseEnd):
		return lapsed
	case age >= settleTime:
		return established
	case age >= joinDelay && now.Sub(s.readAt) < joinFreshness:
		return joining
	default:
		return unannounced
	}
}

// settles reports whether this lobby is listed, but not yet known to all others.
func (s *rateShares) settles(now time.Time) bool {
	return !now.Before(s.leaseEnd) || now.Sub(s.since) < settleTime
}

// lobbies returns the number of lobbies that may send.
func (s *rateShares) lobbies() int {
	if s.since.IsZero() {
		return max(len(s.members), assumedLobbies)
	}
	return len(s.members)
}

// rateBound is the bound on the requests that may reach one backend server.
type rateBound struct {
	rate   float64              // requests per second in the long run
	most   float64              // requests that may arrive within the window
	window time.Duration        // longer than the stated one by the time that requests may take longer than others
	maxGap time.Duration        // longest time between two requests of a lobby, however low the rate
	parts  map[standing]float64 // parts of most, by standing
}

// limit returns the number of requests that the lobbies of a standing may send together
// within the window.
func (b rateBound) limit(standing standing) int {
	limit := int(min(max(b.most, 1), maxBoundRequests) * b.parts[standing])
	if standing == established {
		limit = max(limit, 1)
	}
	return limit
}

// rateShare is one lobby's share of the requests that a backend server tolerates.
type rateShare struct {
	gap    time.Duration // shortest time between two requests; zero if the lobby sends none
	offset time.Duration // wait before the first request, different for each lobby
	rank   int           // number of lobbies that precede this one
}

// share returns this lobby's share of a bound. The requests of the window are dealt to the
// members in the order of their ranks. A lobby that counts more members than others, and so
// ranks itself lower, has no larger share for it.
func (s *rateShares) share(now time.Time, backend string, bound rateBound) rateShare {
	limit, rank := bound.limit(s.standing(now)), s.rank(backend)
	if rank >= limit {
		return rateShare{rank: rank}
	}
	requests := (limit - rank + len(s.members) - 1) / len(s.members)
	stretch := max(float64(limit)/(bound.window.Seconds()*bound.rate), 1)
	gap := min(bound.window.Seconds()*stretch/float64(requests), bound.maxGap.Seconds())
	share := rateShare{gap: time.Duration(gap * float64(time.Second)), rank: rank}
	share.offset = share.gap * time.Duration(rank) / time.Duration(min(limit, len(s.members)))
	return share
}

// rank returns the number of members that precede this lobby at a backend server.
func (s *rateShares) rank(backend string) int {
	own, rank := rendezvousWeight(backend, s.config.Self), 0
	for address := range s.members {
		if weight := rendezvousWeight(backend, address); weight > own || weight == own && address < s.config.Self {
			rank++
		}
	}
	return rank
}

// rendezvousWeight orders the lobbies at each backend server in a different way.
func rendezvousWeight(backend, lobby string) uint64 {
	sum := sha256.Sum256([]byte(backend + "\x00" + lobby))
	return binary.BigEndian.Uint64(sum[:])
}

// maxBoundRequests is the largest number of requests that counts, whatever a configuration or
// a backend server states.
const maxBoundRequests = 1 << 20

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
