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
	// shareWindow is the time in which a lobby sends its part of what may arrive in one
	// second. It is longer than a second by maxSendDelay and by the difference between
	// the times that requests take to arrive.
	shareWindow = time.Second + maxSendDelay + 50*time.Millisecond
	// minRateUse is the least part of the rate that the established lobbies may use.
	minRateUse = 0.55
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

// standingParts are the parts, by standing, of the requests that may reach a cold backend
// server in one second.
var standingParts = map[standing]float64{joining: 0.15, established: 0.7, lapsed: 0.15}

// rateShares divides the rate of cold backend servers among the lobbies without their
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

// rateShare is one lobby's share of a cold backend server's rate.
type rateShare struct {
	gap    time.Duration // shortest time between two requests; zero if the lobby sends none
	offset time.Duration // wait before the first request, different for each lobby
	rank   int           // number of lobbies that precede this one
}

// share returns this lobby's share of a backend server that tolerates a rate, in requests
// per second.
func (s *rateShares) share(now time.Time, backend string, rate float64) rateShare {
	standing := s.standing(now)
	total := min(max(rate*s.config.Overshoot+s.config.Slack, 1), maxColdRequests)
	limit := int(total * standingParts[standing])
	most := limit
	if standing == established {
		limit = max(limit, 1)
		most = mostSenders(limit, rate)
	}
	senders, rank := min(len(s.members), most), s.rank(backend)
	if rank >= senders {
		return rateShare{rank: rank}
	}
	gap := sendGap(senders, limit, rate)
	return rateShare{gap: gap, offset: gap * time.Duration(rank) / time.Duration(senders), rank: rank}
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

// sendGap returns the time between two requests of one lobby if a number of them send at
// a rate together, and no more than limit requests may arrive within a second whenever
// each of them sends.
func sendGap(senders, limit int, rate float64) time.Duration {
	each := limit / senders
	even := min(float64(senders)/rate, maxColdGap.Seconds())
	return max(time.Duration(even*float64(time.Second)), shareWindow/time.Duration(each))
}

// mostSenders returns the largest number of lobbies that send to one backend server. It
// depends on the configuration only: all lobbies must use the same, whatever members
// they count. No smaller number of senders uses less than minRateUse of the rate, since
// the requests of a window are whole.
func mostSenders(limit int, rate float64) int {
	most := 1
	for most < min(limit, maxColdSenders) {
		use := float64(most+1) / (sendGap(most+1, limit, rate).Seconds() * rate)
		if use < minRateUse {
			break
		}
		most++
	}
	return most
}

// Limits of what a configuration may state: for a higher rate, more requests a second
// count as this many, and for a lower one, requests are this far apart at most.
const (
	maxColdSenders  = 1024
	maxColdRequests = 1 << 20
	maxColdGap      = 10 * time.Minute
)

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
