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

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// stubWatch stands for a process that hears of nothing.
type stubMonitor struct{}

func (stubMonitor) LogRead(time.Time, int64)                {}
func (stubMonitor) Applied(int64, int64, map[string]string) {}
func (stubMonitor) NewestHead() int64                       { return 1 << 40 }

// stubPeers hands out the register of one process, be it older or not.
type stubPeers struct{ peer *statesync.Syncer }

func (s *stubPeers) Fetch(int64, map[string]string) (fleetstate.Snapshot, bool) {
	if s.peer == nil {
		return fleetstate.Snapshot{}, false
	}
	return s.peer.Snapshot(), true
}

// fleet is a set of processes that follow one log, with two operators.
type fleet struct {
	log              *fakeLog
	operators        []*publish.Publisher
	processes        []*statesync.Syncer
	peers            []*stubPeers
	delayedSnapshots []fleetstate.Snapshot // snapshots that have not arrived yet
	accepted         map[int64]string      // inventory of each revision that was reported as accepted
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
	quiet := testkit.DiscardLog()
	return statesync.New(statesync.Config{Log: quiet, LogService: f.log, Retry: time.Nanosecond, Monitor: stubMonitor{}, Peers: f.peers[i]})
}

// apply lets an operator change the inventory; it may read the log before, and
// may lose the answer of its append.
func (f *fleet) apply(t *rapid.T) {
	f.changes++
	operator := rapid.SampledFrom(f.operators).Draw(t, "operator")
	if rapid.Bool().Draw(t, "refresh") {
		if err := operator.Refresh(); err != nil {
			return
		}
	}
	f.log.loseAnswer = rapid.Bool().Draw(t, "answer lost")
	wanted := parse(fmt.Sprintf("[tenant lantern]\nrate = %d\nburst = 1\n[tenant t%d]\nrate = 1\nburst = 1\n", f.changes, rapid.IntRange(0, 3).Draw(t, "other")))
	number, err := operator.Replace(fmt.Sprint(f.changes), wanted)
	switch {
	case err == nil:
		f.accepted[number] = operator.Revision().Inventory().Text()
		if diff := cmp.Diff([]fleetstate.Edit(nil), fleetstate.DiffInventories(operator.Revision().Inventory(), wanted), cmp.AllowUnexported(fleetstate.Edit{})); diff != "" && operator.Revision().Number() == number {
			t.Errorf("revision %d is not what was applied:\n%s", number, diff)
		}
	case !errors.Is(err, publish.ErrSuperseded) && !errors.Is(err, statesync.ErrNoSnapshot):
		t.Errorf("change %d: %v", f.changes, err)
	}
}

// check compares a process with what the operators were told.
func (f *fleet) check(t *rapid.T, i int) {
	revision := f.processes[i].Revision()
	if revision.Number() < f.revisions[i] {
		t.Errorf("process %d went back from revision %d to %d", i, f.revisions[i], revision.Number())
	}
	f.revisions[i] = revision.Number()
	if want, ok := f.accepted[revision.Number()]; ok {
		if diff := cmp.Diff(want, revision.Inventory().Text()); diff != "" {
			t.Errorf("revision %d at process %d (-accepted +in force):\n%s", revision.Number(), i, diff)
		}
	}
}

// finish appends a snapshot, drops all that is older and lets every process
// catch up, if one of them has the whole log.
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

// append adds a snapshot to the log.
func (f *fakeLog) appendSnapshot(t *rapid.T, snapshot fleetstate.Snapshot) {
	body, err := snapshot.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: "s", Kind: fleetstate.KindSnapshot, Body: body}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.loseAnswer = false
	if _, err := f.Append(record); err != nil {
		t.Fatal(err)
	}
}

// TestAcceptedIsInForce lets two operators race while answers are lost, the log
// drops old records, snapshots arrive late and processes start anew, from the
// log or from each other.
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
				f.log.down = true
				defer func() { f.log.down = false }()
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
					t.Skip("no snapshot is on its way")
				}
				f.log.appendSnapshot(t, rapid.SampledFrom(f.delayedSnapshots).Draw(t, "snapshot"))
			},
			"trim": func(t *rapid.T) { f.log.trim(rapid.IntRange(1, 6).Draw(t, "kept")) },
		})
		f.checkConvergence(t)
	})
}
