package publish_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/sesamewell/publish"
)

// TestMain runs the tests with a fixed seed.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// stubMonitor is a freshness monitor that ignores all reports.
type stubMonitor struct{}

func (stubMonitor) LogRead(time.Time, int64)                {}
func (stubMonitor) Applied(int64, int64, map[string]string) {}
func (stubMonitor) NewestHead() int64                       { return 1 << 40 }

// stubPeers returns the snapshot of one process, even if it is older than the
// caller's state.
type stubPeers struct{ peer *statesync.Syncer }

func (s *stubPeers) Fetch(int64, map[string]string) (fleetstate.Snapshot, bool) {
	if s.peer == nil {
		return fleetstate.Snapshot{}, false
	}
	return s.peer.Snapshot(), true
}

// fleet is a set of processes that follow one log, to which two operators publish
// changes.
type fleet struct {
	log              *fakeLog
	operators        []*publish.Publisher
	processes        []*statesync.Syncer
	peers            []*stubPeers
	delayedSnapshots []fleetstate.Snapshot // snapshots that are not in the log yet
	accepted         map[int64]string      // inventory text of each revision that was reported as accepted
	revisions        []int64
	changes          int
}

func newFleet(size int) *fleet {
	f := &fleet{log: &fakeLog{}, accepted: make(map[int64]string), revisions: make([]int64, size)}
	for range 2 {
		f.operators = append(f.operators, publish.New(f.log))
	}
	for i := range size {
		f.peers = append(f.peers, &stubPeers{})
		f.processes = append(f.processes, f.startProcess(i))
	}
	return f
}

func (f *fleet) startProcess(i int) *statesync.Syncer {
	log := testkit.DiscardLog()
	return statesync.New(statesync.Config{Log: log, LogService: f.log, RetryDelay: time.Nanosecond, Monitor: stubMonitor{}, Peers: f.peers[i]})
}

// apply publishes a change of the inventory by one of the operators. The operator
// may read the log first, and the response to its append may be lost.
func (f *fleet) apply(t *rapid.T) {
	f.changes++
	operator := rapid.SampledFrom(f.operators).Draw(t, "operator")
	if rapid.Bool().Draw(t, "refresh") {
		if err := operator.Refresh(); err != nil {
			return
		}
	}
	f.log.loseResponse = rapid.Bool().Draw(t, "answer lost")
	want := parse(fmt.Sprintf("[tenant lantern]\nrate = %d\nburst = 1\n[tenant t%d]\nrate = 1\nburst = 1\n", f.changes, rapid.IntRange(0, 3).Draw(t, "other")))
	number, err := operator.Replace(fmt.Sprint(f.changes), want)
	switch {
	case err == nil:
		f.accepted[number] = operator.Revision().Inventory().Text()
		if diff := cmp.Diff([]fleetstate.Edit(nil), fleetstate.DiffInventories(operator.Revision().Inventory(), want), cmp.AllowUnexported(fleetstate.Edit{})); diff != "" && operator.Revision().Number() == number {
			t.Errorf("revision %d differs from the published inventory:\n%s", number, diff)
		}
	case !errors.Is(err, publish.ErrSuperseded) && !errors.Is(err, statesync.ErrNoSnapshot):
		t.Errorf("change %d: %v", f.changes, err)
	}
}

// check compares the state of a process with the revisions that were reported to
// the operators as accepted, and checks that its revision never decreases.
func (f *fleet) check(t *rapid.T, i int) {
	revision := f.processes[i].Revision()
	if revision.Number() < f.revisions[i] {
		t.Errorf("revision of process %d decreased from %d to %d", i, f.revisions[i], revision.Number())
	}
	f.revisions[i] = revision.Number()
	if want, ok := f.accepted[revision.Number()]; ok {
		if diff := cmp.Diff(want, revision.Inventory().Text()); diff != "" {
			t.Errorf("revision %d at process %d (-accepted +in force):\n%s", revision.Number(), i, diff)
		}
	}
}

// checkConvergence appends a snapshot, trims all older records, lets every process
// catch up and checks that all reach the same revision. It does nothing if the
// first process could not read the whole log.
func (f *fleet) checkConvergence(t *rapid.T) {
	first := f.processes[0]
	step := func(process *statesync.Syncer) {
		if err := process.Step(context.Background()); err != nil {
			t.Error(err)
		}
	}
	step(first)
	if first.Revision().Offset() < f.log.head() || first.Revision().Number() == 0 {
		return
	}
	f.log.appendSnapshot(t, first.Snapshot())
	f.log.trim(1)
	for i, process := range f.processes {
		step(process)
		f.check(t, i)
		if diff := cmp.Diff(first.Revision().Number(), process.Revision().Number()); diff != "" {
			t.Errorf("revision of process %d (-want +got):\n%s", i, diff)
		}
	}
}

// appendSnapshot appends a snapshot to the log.
func (f *fakeLog) appendSnapshot(t *rapid.T, snapshot fleetstate.Snapshot) {
	body, err := snapshot.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: "s", Kind: fleetstate.KindSnapshot, Body: body}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.loseResponse = false
	if _, err := f.Append(record); err != nil {
		t.Fatal(err)
	}
}

// TestAcceptedRevisionsAreApplied checks that a change that was reported as
// accepted is in force on all processes, while two operators race, responses of
// appends are lost, the log drops old records, snapshots arrive late and processes
// restart from the log or from each other.
func TestAcceptedRevisionsAreApplied(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		process := rapid.IntRange(0, len(f.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"apply": f.apply,
			"step": func(t *rapid.T) {
				i := process.Draw(t, "process")
				if err := f.processes[i].Step(ctx); err != nil {
					t.Error(err)
				}
				f.check(t, i)
			},
			"restart": func(t *rapid.T) {
				i := process.Draw(t, "process")
				f.peers[i].peer = f.processes[process.Draw(t, "peer")]
				f.processes[i], f.revisions[i] = f.startProcess(i), 0
			},
			"restart in an outage": func(t *rapid.T) {
				i := process.Draw(t, "process")
				peer := f.processes[(i+1)%len(f.processes)]
				f.peers[i].peer = peer
				f.processes[i], f.revisions[i] = f.startProcess(i), 0
				f.log.failRead = true
				defer func() { f.log.failRead = false }()
				if err := f.processes[i].Step(ctx); err != nil {
					t.Error(err)
				}
				f.check(t, i)
				if diff := cmp.Diff(peer.Revision().Number(), f.revisions[i]); diff != "" {
					t.Errorf("revision of process %d from its peer (-want +got):\n%s", i, diff)
				}
			},
			"snapshot": func(t *rapid.T) {
				f.delayedSnapshots = append(f.delayedSnapshots, f.processes[process.Draw(t, "process")].Snapshot())
			},
			"arrive": func(t *rapid.T) {
				if len(f.delayedSnapshots) == 0 {
					t.Skip("no snapshot is delayed")
				}
				f.log.appendSnapshot(t, rapid.SampledFrom(f.delayedSnapshots).Draw(t, "snapshot"))
			},
			"trim": func(t *rapid.T) { f.log.trim(rapid.IntRange(1, 6).Draw(t, "kept")) },
		})
		f.checkConvergence(t)
	})
}
