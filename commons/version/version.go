// Package version holds the version number that all programs report.
package version

// Number is the version of this source tree.
const Number = "0.1.0"
