package ratelimit

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
type claimState struct {
	role            string
	current         register.Claim
	held            bool
	changedAt       time.Time
	rank            int   // of this entry among the candidates for succession
	proposed        bool  // this incarnation has appended a claim
	supersededEpoch int64 // epoch that the appended claim supersedes
	proposedAt      time.Time
	activeAt        time.Time // mine: from then on no earlier holder acts
	firstHolder     bool      // mine: nobody held the role before
	handedOver      bool      // mine: handed over
	handOver        *notice.HandOver

	noClaimUntil time.Time // the role was lost: the fault may be with this entry
}

// observe takes over the claim that stands and reports whether it is a new one
// of this incarnation. Earlier holders act until their proofs lapse, and what
// they handed out ends its life after that.
func (t *claimState) update(now time.Time, claim register.Claim, incarnation string, wait time.Duration) bool {
	if claim.Epoch() == t.current.Epoch() {
		return false
	}
	t.current, t.changedAt = claim, now
	t.held, t.handedOver, t.firstHolder = claim.Holder() == incarnation, false, false
	if !t.held {
		return false
	}
	t.activeAt = now.Add(wait)
	t.firstHolder = t.proposed && t.supersededEpoch == 0
	if t.firstHolder {
		t.activeAt = now
	}
	return true
}

// inherited returns the state of the holder that this entry has superseded, if
// that holder handed it over.
func (t *claimState) supersededHandOver() *notice.HandOver {
	if !t.held || !t.proposed || t.handOver == nil || t.handOver.Epoch() != t.supersededEpoch {
		return nil
	}
	return t.handOver
}

// acts reports whether this entry may act in the role, given a proof that the
// claim stands.
func (t *claimState) active(now time.Time) bool {
	return t.held && !t.handedOver && !now.Before(t.activeAt)
}

// propose notes that a claim is appended now.
func (t *claimState) markProposed(now time.Time) {
	t.proposed, t.supersededEpoch, t.proposedAt = true, t.current.Epoch(), now
}

// holderName returns the instance name within an incarnation.
func instanceName(incarnation string) string {
	if i := strings.LastIndexByte(incarnation, '/'); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// groupRole returns the role whose holder owns a tenant's bucket.
func ownerRole(tenant string) string {
	return groupRole(int(xxhash.Sum64String(tenant) % bucketGroups))
}

func groupRole(group int) string { return fmt.Sprintf("treasury-%d", group) }

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
