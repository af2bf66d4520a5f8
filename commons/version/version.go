// Package version holds the version that every program of the project reports.
package version

// Number is the version of this source tree.
const Number = "0.1.0"
