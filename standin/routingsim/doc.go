// Package rehearsal drives the routing cores of entries and the queueing cores
// of sides together in virtual time: invariants under a faulty network, and the
// policy benchmark against its baselines. It holds tests only.
package routingsim
