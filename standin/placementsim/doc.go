// Package placementsim tests model placement in a simulation: the planners of
// all entries and the loaders of all sides run together in virtual time, with
// fake engines. It holds tests only.
package placementsim
