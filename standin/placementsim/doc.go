// Package drill tests placement as a whole: planners and sides decide together
// in virtual time, with a small engine in place of the real one.
package placementsim
