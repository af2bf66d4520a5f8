package treasurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
)

// tenure is responsible for what this entry knows of the claim to one role.
type tenure struct {
	role       string
	claim      register.Claim
	mine       bool
	seenAt     time.Time
	rank       int   // of this entry among the candidates for succession
	proposed   bool  // this incarnation has appended a claim
	superseded int64 // epoch that the appended claim supersedes
	proposedAt time.Time
	opensAt    time.Time // mine: from then on no earlier holder acts
	first      bool      // mine: nobody held the role before
	retired    bool      // mine: handed over
	received   *notice.HandOver

	barredUntil time.Time // the role was lost: the fault may be with this entry
}

// observe takes over the claim that stands and reports whether it is a new one
// of this incarnation. Earlier holders act until their proofs lapse, and what
// they handed out ends its life after that.
func (t *tenure) observe(now time.Time, claim register.Claim, incarnation string, wait time.Duration) bool {
	if claim.Epoch() == t.claim.Epoch() {
		return false
	}
	t.claim, t.seenAt = claim, now
	t.mine, t.retired, t.first = claim.Holder() == incarnation, false, false
	if !t.mine {
		return false
	}
	t.opensAt = now.Add(wait)
	t.first = t.proposed && t.superseded == 0
	if t.first {
		t.opensAt = now
	}
	return true
}

// inherited returns the state of the holder that this entry has superseded, if
// that holder handed it over.
func (t *tenure) inherited() *notice.HandOver {
	if !t.mine || !t.proposed || t.received == nil || t.received.Epoch() != t.superseded {
		return nil
	}
	return t.received
}

// acts reports whether this entry may act in the role, given a proof that the
// claim stands.
func (t *tenure) acts(now time.Time) bool {
	return t.mine && !t.retired && !now.Before(t.opensAt)
}

// propose notes that a claim is appended now.
func (t *tenure) propose(now time.Time) {
	t.proposed, t.superseded, t.proposedAt = true, t.claim.Epoch(), now
}

// holderName returns the instance name within an incarnation.
func holderName(incarnation string) string {
	if i := strings.LastIndexByte(incarnation, '/'); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// groupRole returns the role whose holder owns a tenant's bucket.
func groupRole(tenant string) string {
	return treasuryRole(int(xxhash.Sum64String(tenant) % groups))
}

func treasuryRole(group int) string { return fmt.Sprintf("treasury-%d", group) }

func floorRole(instance string) string { return "floor-" + instance }

// candidates returns the entries in the order in which they should claim a
// role: rendezvous hashing.
func candidates(inventory *register.Inventory, role string) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	var list []candidate
	for _, instance := range inventory.Instances() {
		if instance.Role() == register.Entry {
			list = append(list, candidate{name: instance.Name(), weight: xxhash.Sum64String(role + "\x00" + instance.Name())})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(list))
	for _, c := range list {
		names = append(names, c.name)
	}
	return names
}
