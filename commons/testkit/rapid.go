package testkit

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"
)

// RapidSeed is the default seed of property tests.
const RapidSeed = "20261204"

// RunRapid runs the tests of a package that uses pgregory.net/rapid with the given
// seed and exits. The keys of flags are further flags of rapid, without the prefix
// "rapid.". Flags on the command line take precedence. Failing cases are not
// saved, since they would change the result of the next run.
func RunRapid(m *testing.M, seed string, flags map[string]string) {
	flag.Parse()
	values := map[string]string{"seed": seed, "nofailfile": "true"}
	maps.Copy(values, flags)
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
