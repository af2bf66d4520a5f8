package memory_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// TestChargesEndAtZero sets and releases charges of several owners in random orders. It guards
// against bytes that are charged after their owner has gone, or given back twice.
func TestChargesEndAtZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const owners = 3
		account := memory.NewBudgetOf(1 << 20)
		var charges []*memory.Charge
		for range owners {
			charges = append(charges, memory.NewCharge(account, "a"))
		}
		expected := make([]int64, owners)
		released := make([]bool, owners)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, owners-1).Draw(t, "owner")
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				charges[i].Release()
				expected[i], released[i] = 0, true
			} else {
				bytes := rapid.Int64Range(0, 1<<20).Draw(t, "bytes")
				charges[i].Set(bytes)
				if !released[i] {
					expected[i] = bytes
				}
			}
			sum := int64(0)
			for n, charge := range charges {
				sum += expected[n]
				if diff := cmp.Diff(expected[n], charge.Bytes()); diff != "" {
					t.Fatalf("bytes of an owner (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(sum, account.Total()); diff != "" {
				t.Fatalf("bytes of the account (-want +got):\n%s", diff)
			}
		}
		for _, charge := range charges {
			charge.Release()
		}
		if diff := cmp.Diff(int64(0), account.Total()); diff != "" {
			t.Fatalf("bytes at the end (-want +got):\n%s", diff)
		}
	})
}
