// Package routingsim tests routing and queueing in a simulation: the cores of
// entries and sides run together in virtual time, with fake engines and a fake
// network. It holds the tests of their invariants under network faults and the
// benchmark of the policy against its baselines, and no other code.
package routingsim
