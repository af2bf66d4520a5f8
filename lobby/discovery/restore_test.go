package discovery

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/testkit"
)

// operatorLog is a store whose records of the operator are a log of versions of the
// configuration, zero for a record of another kind. It can be restored to an older state.
type operatorLog struct {
	store
	era      int64
	versions []int64
	err      error           // of all reads
	waits    []time.Duration // those of the reads of new records
}

func newest(versions []int64) *deployment.Configuration {
	var last int64
	for _, v := range versions {
		last = max(last, v)
	}
	return version(last)
}

func (l *operatorLog) end() deployment.Position {
	return deployment.NewPosition(l.era, int64(len(l.versions)))
}

func (l *operatorLog) Configuration() (*deployment.Configuration, deployment.Evacuations, deployment.Position, error) {
	return newest(l.versions), deployment.NewEvacuations(deployment.EvacuationsConfig{Through: l.end().Offset()}), l.end(), l.err
}

func (l *operatorLog) ConfigurationSince(from deployment.Position, wait time.Duration) (*deployment.Configuration, []deployment.EvacuationRecord, deployment.Position, error) {
	l.waits = append(l.waits, wait)
	if l.err != nil {
		return nil, nil, from, l.err
	}
	if from.Offset() > l.end().Offset() {
		return nil, nil, from, ErrMissed
	}
	return newest(l.versions[from.Offset():]), nil, l.end(), nil
}

// restore brings the store back with its first records, to which others have been added.
func (l *operatorLog) restore(kept int, added ...int64) {
	l.era++
	l.versions = append(l.versions[:kept:kept], added...)
}

// TestConfigurationWrittenAfterARestoreIsInForce guards against a lobby that goes on reading
// a restored store at an offset of before, and misses what was written below it.
func TestConfigurationWrittenAfterARestoreIsInForce(t *testing.T) {
	cases := map[string]struct {
		restores [][]int64 // records added after each restore to the first record
		want     int64
	}{
		"end below the offset":    {restores: [][]int64{{6, 8}}, want: 8},
		"end at the offset":       {restores: [][]int64{{6, 8, 9}}, want: 9},
		"end past the offset":     {restores: [][]int64{{6, 8, 9, 0}}, want: 9},
		"nothing written yet":     {restores: [][]int64{{}}, want: 6},
		"older version meanwhile": {restores: [][]int64{{4, 5, 5}}, want: 6},
		"two restores":            {restores: [][]int64{{6, 7, 8}, {8, 9, 10}}, want: 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log, state := &operatorLog{era: 1, versions: []int64{2, 4, 5, 6}}, NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()})
			w := NewConfigurationWatcher(WatcherConfig{Store: log, State: state, Log: testkit.DiscardLog()})
			read := func() {
				for range 2 { // a read that shows the restore, and one of all keys
					if err := w.step(); err != nil {
						t.Fatal(err)
					}
				}
			}
			read()
			for _, added := range tc.restores {
				log.restore(1, added...)
				read()
			}
			if diff := cmp.Diff(tc.want, state.Version()); diff != "" {
				t.Errorf("version in force (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFirstReadAfterAFailureDoesNotWait guards against a lobby that reaches the store again
// and waits for the next change before it learns that the store was restored.
func TestFirstReadAfterAFailureDoesNotWait(t *testing.T) {
	log := &operatorLog{versions: []int64{2}}
	w := NewConfigurationWatcher(WatcherConfig{Store: log, State: NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()}), ContactTime: 3 * time.Second, RequestTimeout: time.Second, Log: testkit.DiscardLog()})
	for _, err := range []error{nil, nil, errors.New("unreachable"), errors.New("unreachable"), nil, nil} {
		log.err = err
		w.read()
	}
	want := []time.Duration{2 * time.Second, 2 * time.Second, 0, 0, 2 * time.Second}
	if diff := cmp.Diff(want, log.waits); diff != "" {
		t.Errorf("longest waits of the reads (-want +got):\n%s", diff)
	}
}
