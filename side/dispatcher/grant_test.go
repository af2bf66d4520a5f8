package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
)

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// keyOwners holds the tenant of each key, or "" for a withdrawn key.
type keyOwners [2]string

func (o keyOwners) text() string {
	text := "[tenant a]\nrate = 1\nburst = 1\n[tenant b]\nrate = 1\nburst = 1\n"
	for i, tenant := range o {
		if tenant != "" {
			text += fmt.Sprintf("[key k%d]\ntenant = %s\nsha256 = %064d\n", i, tenant, i)
		}
	}
	return text
}

// grant returns the grant of a key, or "none" if the key is withdrawn.
func (o keyOwners) grant(key int) string {
	inventory, err := fleetstate.ParseInventory("inv", []byte(o.text()))
	if err != nil {
		panic(err)
	}
	if found, ok := inventory.KeyByHash(fmt.Sprintf("%064d", key)); ok {
		return found.Grant()
	}
	return "none"
}

// applyOwners returns the revision that follows when the keys belong to owners.
func applyOwners(revision *fleetstate.Revision, o keyOwners) *fleetstate.Revision {
	data, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: "c", Base: revision.Number(), Kind: fleetstate.KindReplace, Inventory: o.text()}).Encode()
	if err != nil {
		panic(err)
	}
	next, err := revision.Apply(revision.Offset(), data)
	if err != nil {
		panic(err)
	}
	return next
}

func submitWithGrant(id, grant string, state int64) protocol.Submit {
	return protocol.NewSubmit(protocol.SubmitConfig{Attempt: id, Grant: grant, StateOffset: state, Idempotent: true, Remaining: time.Hour})
}

func TestKeyWithdrawal(t *testing.T) {
	both := keyOwners{"a", "b"}
	cases := map[string]struct {
		key   int
		state int64 // fleet state by which the entry admitted the queued attempt
		later keyOwners
		fresh bool
		want  []string // failure codes of the running and the queued attempt
		ran   []bool
		stops []string
	}{
		"both keys valid":            {later: both, state: 1, fresh: true, want: []string{"", ""}, ran: []bool{false, false}},
		"withdrawn":                  {later: keyOwners{"", "b"}, state: 1, fresh: true, want: []string{"", protocol.CodeKeyWithdrawn}, ran: []bool{false, false}, stops: []string{"run"}},
		"assigned to another tenant": {later: keyOwners{"b", "b"}, state: 1, fresh: true, want: []string{"", protocol.CodeKeyWithdrawn}, ran: []bool{false, false}, stops: []string{"run"}},
		"entry has a newer state":    {later: keyOwners{"", "b"}, state: 3, fresh: true, want: []string{"", ""}, ran: []bool{false, false}, stops: []string{"run"}},
		"other key withdrawn":        {later: keyOwners{"a", ""}, state: 1, fresh: true, want: []string{"", ""}, ran: []bool{false, false}},
		"freshness proof expired":    {later: both, state: 1, want: []string{"", protocol.CodeNotCurrent}, ran: []bool{false, false}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			revision := applyOwners(fleetstate.InitialRevision(), both)
			h.handle(NewRevisionChanged(revision))
			h.submit(batch(submitWithGrant("run", both.grant(tc.key), 1), submitWithGrant("wait", both.grant(tc.key), tc.state)))
			h.handle(NewRevisionChanged(applyOwners(revision, tc.later)))
			h.handle(NewFreshnessChanged(tc.fresh))
			pages := map[string]protocol.Page{}
			for _, page := range h.read(t, protocol.ReadConfig{}).Pages() {
				pages[page.Attempt()] = page
			}
			if diff := cmp.Diff(tc.want, []string{pages["run"].Code(), pages["wait"].Code()}); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.ran, []bool{pages["run"].MayHaveRun(), pages["wait"].MayHaveRun()}); diff != "" {
				t.Errorf("ran (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.stops, h.stopped); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOnlyAttemptsWithValidKeysRun guards against attempts that start under a grant
// that is no longer valid, and against failures that are wrong about whether the
// attempt ran. Keys are withdrawn or assigned to other tenants while attempts are
// queued, run and end in any order.
func TestOnlyAttemptsWithValidKeysRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore(CoreConfig{Incarnation: "i", Concurrency: 2, QueueLimit: 8, MaxBuffered: 100})
		revision := applyOwners(fleetstate.InitialRevision(), keyOwners{"a", "b"})
		current := keyOwners{"a", "b"}
		submits := make(map[string]protocol.Submit)
		running := make(map[string]bool)
		ran := make(map[string]bool)
		now := start
		handle := func(message Message) {
			for _, action := range core.Handle(now, message) {
				switch a := action.(type) {
				case Run:
					id := a.Submit().Attempt()
					running[id], ran[id] = true, true
					if !revision.Inventory().HasGrant(submits[id].Grant()) && submits[id].StateOffset() <= revision.StateOffset() {
						t.Errorf("%s runs under an invalid grant", id)
					}
				case AnswerRead:
					for _, page := range a.pages.Pages() {
						if page.State() == protocol.AnswerFailed && page.MayHaveRun() != ran[page.Attempt()] {
							t.Errorf("%s failed with %s, ran = %v, want %v", page.Attempt(), page.Code(), page.MayHaveRun(), ran[page.Attempt()])
						}
					}
				}
			}
		}
		handle(NewRevisionChanged(revision))
		tenants := rapid.SampledFrom([]string{"", "a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				id := fmt.Sprint("s", len(submits))
				submits[id] = submitWithGrant(id, current.grant(rapid.IntRange(0, 1).Draw(t, "key")), revision.StateOffset())
				handle(NewBatchReceived(protocol.NewBatch(batch(submits[id])), &replyRecorder{}))
			},
			"revise": func(t *rapid.T) {
				current = keyOwners{tenants.Draw(t, "first"), tenants.Draw(t, "second")}
				revision = applyOwners(revision, current)
				handle(NewRevisionChanged(revision))
			},
			"prove": func(t *rapid.T) { handle(NewFreshnessChanged(rapid.Bool().Draw(t, "fresh"))) },
			"end": func(t *rapid.T) {
				ids := slices.Sorted(maps.Keys(running))
				if len(ids) == 0 {
					t.Skip("nothing runs")
				}
				delete(running, ids[0])
				handle(NewAttemptEnded(ids[0], "", true))
			},
			"read": func(*rapid.T) {
				handle(NewReadRequested(protocol.NewRead(protocol.ReadConfig{Entry: "e1", Resume: true}), &replyRecorder{}))
			},
		})
	})
}
