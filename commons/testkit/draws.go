package testkit

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"
)

// Seed is the seed of property tests that have no reason for another one.
const RapidSeed = "20261204"

// Run runs the tests of a package, which draw by pgregory.net/rapid, with the seed and with further flags of rapid, each by its
// name after "rapid.". What the command line gives goes before them. No failed
// case is saved, since it would change the verdict of the next run.
func RunRapid(m *testing.M, seed string, more map[string]string) {
	flag.Parse()
	values := map[string]string{"seed": seed, "nofailfile": "true"}
	maps.Copy(values, more)
	flag.Visit(func(f *flag.Flag) {
		if name, ok := strings.CutPrefix(f.Name, "rapid."); ok {
			delete(values, name)
		}
	})
	for name, value := range values {
		if err := flag.Set("rapid."+name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
