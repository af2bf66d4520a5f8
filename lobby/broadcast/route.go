package broadcast

import (
	"cmp"
	"slices"
	"time"
)

// relayTimeout is the time without a digest of a lobby after which it is no relay.
const relayTimeout = time.Second

// minRelayed is the number of lobbies of a failure domain from which on they are sent
// to through a relay. Below it, too little is saved for the loss of every second round
// when one of them has died.
const minRelayed = 3

// member is what the choice of relays needs to know of another lobby.
type member struct {
	address  string
	domain   string    // failure domain; empty until its first digest has arrived
	lastSeen time.Time // time of its last digest
}

// route returns the lobbies to which a digest is sent: those of this lobby's failure
// domain, and one of each other domain, which passes it on there. So a digest crosses
// between two domains once, however many lobbies they have. The relay changes with
// each round, so that a relay that has died, is paused or is partitioned costs its
// domain one round in as many as it has lobbies. Lobbies of unknown and of
// small domains are sent
// to directly.
func route(now time.Time, domain string, members []member, round int) (direct, relays []string) {
	others := make(map[string][]member)
	for _, m := range members {
		if m.domain == "" || m.domain == domain {
			direct = append(direct, m.address)
			continue
		}
		others[m.domain] = append(others[m.domain], m)
	}
	for _, group := range others {
		if len(group) >= minRelayed {
			relays = append(relays, relay(now, group, round))
			continue
		}
		for _, m := range group {
			direct = append(direct, m.address)
		}
	}
	slices.Sort(direct)
	slices.Sort(relays)
	return direct, relays
}

// relay returns the lobby of a group that passes on digests in a round: one of those
// heard from lately, if there are any.
func relay(now time.Time, group []member, round int) string {
	heard := slices.DeleteFunc(slices.Clone(group), func(m member) bool { return now.Sub(m.lastSeen) > relayTimeout })
	if len(heard) == 0 {
		heard = slices.Clone(group)
	}
	slices.SortFunc(heard, func(a, b member) int { return cmp.Compare(a.address, b.address) })
	return heard[round%len(heard)].address
}
