package memory_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/memory"
)

// sheddingAccount calls a function before it admits anything, which may give something up.
type sheddingAccount struct {
	*memory.Budget

	shed func()
}

// Admit charges a customer with bytes if there is room for them.
func (a sheddingAccount) Admit(customer string, bytes int64) bool {
	a.shed()
	return a.Budget.Admit(customer, bytes)
}

// TestReservationsEndAtZero adds to reservations and releases them in random orders, also those
// on whose behalf the account looks for room. It guards against bytes that are admitted for an
// owner that has gone.
func TestReservationsEndAtZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const owners = 3
		var reservations []*memory.Reservation
		released := make([]bool, owners)
		release := func() {
			if i := rapid.IntRange(-owners, owners-1).Draw(t, "released"); i >= 0 {
				reservations[i].Release()
				released[i] = true
			}
		}
		account := sheddingAccount{Budget: memory.NewBudgetOf(1 << 20), shed: release}
		for range owners {
			reservations = append(reservations, memory.NewReservation(account, "a"))
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			reservations[rapid.IntRange(0, owners-1).Draw(t, "owner")].Add(rapid.Int64Range(0, 1<<19).Draw(t, "bytes"))
			release()
			sum := int64(0)
			for i, r := range reservations {
				sum += r.Bytes()
				if released[i] && r.Bytes() != 0 {
					t.Fatalf("%d bytes are reserved after the release", r.Bytes())
				}
			}
			if diff := cmp.Diff(sum, account.Total()); diff != "" {
				t.Fatalf("bytes of the account (-want +got):\n%s", diff)
			}
		}
		for _, r := range reservations {
			r.Release()
		}
		if diff := cmp.Diff(int64(0), account.Total()); diff != "" {
			t.Fatalf("bytes at the end (-want +got):\n%s", diff)
		}
	})
}
