package broadcast

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestRoute(t *testing.T) {
	seen := func(domain string, age time.Duration, addresses ...string) []member {
		var members []member
		for _, address := range addresses {
			members = append(members, member{address: address, domain: domain, lastSeen: noon.Add(-age)})
		}
		return members
	}
	cases := map[string]struct {
		members        []member
		round          int
		direct, relays []string
	}{
		"own domain":                   {members: seen("a", 0, "a1", "a2"), direct: []string{"a1", "a2"}},
		"one of another domain":        {members: seen("b", 0, "b1"), direct: []string{"b1"}},
		"two of another domain":        {members: seen("b", 0, "b1", "b2"), direct: []string{"b1", "b2"}},
		"several of another, round 0":  {members: seen("b", 0, "b1", "b2", "b3"), relays: []string{"b1"}},
		"several of another, round 5":  {members: seen("b", 0, "b1", "b2", "b3"), round: 5, relays: []string{"b3"}},
		"a silent relay":               {members: append(seen("b", 2*time.Second, "b1"), seen("b", 0, "b2", "b3")...), relays: []string{"b2"}},
		"a domain that is silent":      {members: seen("b", 2*time.Second, "b1", "b2", "b3"), round: 1, relays: []string{"b2"}},
		"a lobby of an unknown domain": {members: seen("", 0, "x1"), direct: []string{"x1"}},
		"three domains":                {members: append(seen("b", 0, "b1", "b2", "b3", "b4"), seen("c", 0, "c1", "c2", "c3")...), round: 2, relays: []string{"b3", "c3"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			direct, relays := route(noon, "a", tc.members, tc.round)
			if diff := cmp.Diff([][]string{tc.direct, tc.relays}, [][]string{direct, relays}); diff != "" {
				t.Errorf("direct, relays (-want +got):\n%s", diff)
			}
		})
	}
}

// digestNet is a fleet of lobbies that exchange digests in virtual time. Those that
// are down neither send nor pass on.
type digestNet struct {
	now     time.Time
	lobbies []*digestLobby
	cut     map[[2]int]bool // pairs that do not reach each other
}

type digestLobby struct {
	address, domain string
	down            bool
	round           int
	heard           map[string]time.Time // time of the last digest of each other lobby
}

func newDigestNet(lobbies, domains int) *digestNet {
	n := &digestNet{now: noon, cut: make(map[[2]int]bool)}
	for i := range lobbies {
		n.lobbies = append(n.lobbies, &digestLobby{address: fmt.Sprintf("l%03d", i), domain: fmt.Sprint("d", i%domains), heard: make(map[string]time.Time)})
	}
	for _, l := range n.lobbies {
		for _, other := range n.lobbies {
			if other != l {
				l.heard[other.address] = n.now
			}
		}
	}
	return n
}

func (n *digestNet) index(address string) int {
	var i int
	_, _ = fmt.Sscanf(address, "l%d", &i)
	return i
}

// deliver reports whether a message from one lobby reaches another.
func (n *digestNet) deliver(from, to int) bool {
	return !n.lobbies[from].down && !n.lobbies[to].down && !n.cut[[2]int{min(from, to), max(from, to)}]
}

// connected reports whether digests of one lobby can reach another: from a lobby of
// another domain through any of that domain if it is large enough for relays.
func (n *digestNet) connected(from, to int, relayed bool) bool {
	if n.lobbies[from].domain == n.lobbies[to].domain || !relayed {
		return n.deliver(from, to)
	}
	for via, l := range n.lobbies {
		if l.domain == n.lobbies[to].domain && n.deliver(from, via) && (via == to || n.deliver(via, to)) {
			return true
		}
	}
	return false
}

// step lets all lobbies send one digest after the given time.
func (n *digestNet) step(after time.Duration) (sends, crossings int) {
	n.now = n.now.Add(after)
	for i, l := range n.lobbies {
		if l.down {
			continue
		}
		var members []member
		for _, other := range n.lobbies {
			if other != l {
				members = append(members, member{address: other.address, domain: other.domain, lastSeen: l.heard[other.address]})
			}
		}
		direct, relays := route(n.now, l.domain, members, l.round)
		l.round++
		sends += len(direct) + len(relays)
		crossings += len(relays)
		for _, address := range append(direct, relays...) {
			to := n.index(address)
			if !n.deliver(i, to) {
				continue
			}
			n.lobbies[to].heard[l.address] = n.now
			if !slices.Contains(relays, address) {
				continue
			}
			for k, next := range n.lobbies {
				if k != to && next.domain == n.lobbies[to].domain && n.deliver(to, k) {
					next.heard[l.address] = n.now
				}
			}
		}
	}
	return sends, crossings
}

// TestDigestsReachAllLobbies plays lobbies that die, are paused or are partitioned
// from single others. In each failure domain at least one lobby is well, and every
// lobby that is well has to hear from every other one that reaches it, directly or
// through a third, within as many rounds as a domain has lobbies, and the time after
// which a silent one is no relay.
func TestDigestsReachAllLobbies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		perDomain := rapid.IntRange(1, 12).Draw(t, "lobbies of a domain")
		period := time.Duration(rapid.IntRange(50, 400).Draw(t, "period in ms")) * time.Millisecond
		n := newDigestNet(domains*perDomain, domains)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			for i, l := range n.lobbies {
				l.down = i >= domains && rapid.IntRange(0, 3).Draw(t, "down") == 0 // the first of each domain stays up
			}
			clear(n.cut)
			for range rapid.IntRange(0, 4).Draw(t, "cuts") {
				a, b := rapid.IntRange(0, len(n.lobbies)-1).Draw(t, "cut from"), rapid.IntRange(0, len(n.lobbies)-1).Draw(t, "cut to")
				if n.lobbies[a].domain != n.lobbies[b].domain {
					n.cut[[2]int{min(a, b), max(a, b)}] = true
				}
			}
			start := n.now
			bound := time.Duration(perDomain+1)*period + relayTimeout
			for n.now.Sub(start) < 2*bound {
				n.step(period)
			}
			for i, l := range n.lobbies {
				for k, other := range n.lobbies {
					if l == other || !n.connected(k, i, perDomain >= minRelayed) {
						continue
					}
					if silent := n.now.Sub(l.heard[other.address]); silent > bound {
						t.Fatalf("%s has not heard from %s for %v, want %v at most", l.address, other.address, silent, bound)
					}
				}
			}
		}
	})
}

// TestDigestsBetweenDomainsGrowWithTheFleet checks the number of digests that cross
// between failure domains in a round: each lobby sends one to each other domain.
func TestDigestsBetweenDomainsGrowWithTheFleet(t *testing.T) {
	cases := map[string]struct{ lobbies, domains, crossings int }{
		"4 lobbies, 3 domains":   {4, 3, 0},
		"27 lobbies, 5 domains":  {27, 5, 108},
		"100 lobbies, 5 domains": {100, 5, 400},
		"380 lobbies, 6 domains": {380, 6, 1900},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, crossings := newDigestNet(tc.lobbies, tc.domains).step(50 * time.Millisecond)
			if diff := cmp.Diff(tc.crossings, crossings); diff != "" {
				t.Errorf("digests between domains (-want +got):\n%s", diff)
			}
		})
	}
}
