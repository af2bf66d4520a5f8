package ratelimit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// claimState tracks the claim to one role: its current holder, this entry's own
// proposals and its rank in the succession.
type claimState struct {
	role            string
	current         fleetstate.Claim
	held            bool
	changedAt       time.Time
	rank            int   // position of this entry among the candidates for succession
	proposed        bool  // this incarnation has appended a claim
	supersededEpoch int64 // epoch that the appended claim supersedes
	proposedAt      time.Time
	activeAt        time.Time // if held: time from which no earlier holder acts
	firstHolder     bool      // if held: the role had no earlier holder
	handedOver      bool      // if held: handed over to a successor
	handOver        *protocol.HandOver

	noClaimUntil time.Time // earliest time of a new claim; set when the role was lost, since this entry may be the faulty one
}

// update applies the current claim and reports whether it is a new claim of this
// incarnation. Unless it had no earlier holder, the role becomes active only
// after wait, in which the earlier holder's freshness proof expires and, for
// bucket owners, the allowances that it lent.
func (s *claimState) update(now time.Time, claim fleetstate.Claim, incarnation string, wait time.Duration) bool {
	if claim.Epoch() == s.current.Epoch() {
		return false
	}
	s.current, s.changedAt = claim, now
	s.held, s.handedOver, s.firstHolder = claim.Holder() == incarnation, false, false
	if !s.held {
		return false
	}
	s.activeAt = now.Add(wait)
	s.firstHolder = s.proposed && s.supersededEpoch == 0
	if s.firstHolder {
		s.activeAt = now
	}
	return true
}

// supersededHandOver returns the state that the superseded holder handed over,
// or nil.
func (s *claimState) supersededHandOver() *protocol.HandOver {
	if !s.held || !s.proposed || s.handOver == nil || s.handOver.Epoch() != s.supersededEpoch {
		return nil
	}
	return s.handOver
}

// active reports whether this entry may act in the role, provided that its copy
// of the log is fresh.
func (s *claimState) active(now time.Time) bool {
	return s.held && !s.handedOver && !now.Before(s.activeAt)
}

// markProposed records that a claim is being appended.
func (s *claimState) markProposed(now time.Time) {
	s.proposed, s.supersededEpoch, s.proposedAt = true, s.current.Epoch(), now
}

// instanceName returns the instance's name from an incarnation.
func instanceName(incarnation string) string {
	if i := strings.LastIndexByte(incarnation, '/'); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// ownerRole returns the role whose holder owns a tenant's bucket.
func ownerRole(tenant string) string {
	return groupRole(int(xxhash.Sum64String(tenant) % bucketGroups))
}

// groupRole returns the role of a bucket group.
func groupRole(group int) string { return fmt.Sprintf("treasury-%d", group) }

// floorRole returns the role whose holder may spend from an instance's floors.
func floorRole(instance string) string { return "floor-" + instance }

// candidates returns the entries in the order in which they should claim a role,
// by rendezvous hashing.
func candidates(inventory *fleetstate.Inventory, role string) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	var list []candidate
	for _, instance := range inventory.Instances() {
		if instance.Role() == fleetstate.RoleEntry {
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
