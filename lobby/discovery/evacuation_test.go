package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/testkit"
)

// TestEvacuationsFollowTheStoreAndOtherLobbies guards against an evacuation that a lobby
// misses, and against one that a stale report puts in force again.
func TestEvacuationsFollowTheStoreAndOtherLobbies(t *testing.T) {
	set := func(domain string, offset int64) deployment.EvacuationRecord {
		return deployment.NewEvacuationRecord(deployment.EvacuationRecordConfig{Domain: domain, Offset: offset})
	}
	removed := func(domain string, offset int64) deployment.EvacuationRecord {
		return deployment.NewEvacuationRecord(deployment.EvacuationRecordConfig{Domain: domain, Offset: offset, Ended: true})
	}
	all := func(through int64, offsets map[string]int64) deployment.EvacuationsConfig {
		return deployment.EvacuationsConfig{Through: through, Offsets: offsets}
	}
	cases := map[string]struct {
		full    deployment.EvacuationsConfig // first read; it ends at offset 5
		records []deployment.EvacuationRecord
		missed  *deployment.EvacuationsConfig // read of all keys after records were missed
		peer    *deployment.EvacuationsConfig // report of another lobby afterwards
		want    []string
	}{
		"none":                                    {full: all(5, nil)},
		"set before the start":                    {full: all(5, map[string]int64{"a": 3}), want: []string{"[a] begun, [] ended, store"}},
		"set and repeated":                        {full: all(5, map[string]int64{"a": 3}), records: []deployment.EvacuationRecord{set("a", 5)}, want: []string{"[a] begun, [] ended, store"}},
		"several at once":                         {full: all(5, nil), records: []deployment.EvacuationRecord{set("b", 5), set("a", 5)}, want: []string{"[a b] begun, [] ended, store"}},
		"removed and set again":                   {full: all(5, map[string]int64{"a": 3}), records: []deployment.EvacuationRecord{removed("a", 5), set("a", 6)}, want: []string{"[a] begun, [] ended, store"}},
		"set and removed between two reads":       {full: all(5, nil), records: []deployment.EvacuationRecord{set("a", 5), removed("a", 6)}, want: []string{"[] begun, [a] ended, store"}},
		"removed while changes were missed":       {full: all(5, map[string]int64{"a": 3}), missed: &deployment.EvacuationsConfig{Through: 9}, want: []string{"[a] begun, [] ended, store", "[] begun, [a] ended, store"}},
		"set while changes were missed":           {full: all(5, nil), missed: &deployment.EvacuationsConfig{Through: 9, Offsets: map[string]int64{"a": 8}}, want: []string{"[a] begun, [] ended, store"}},
		"told by another lobby":                   {full: all(5, nil), peer: &deployment.EvacuationsConfig{Through: 9, Offsets: map[string]int64{"a": 8}}, want: []string{"[a] begun, [] ended, lobby"}},
		"removal told by another lobby":           {full: all(5, map[string]int64{"a": 3}), peer: &deployment.EvacuationsConfig{Through: 9}, want: []string{"[a] begun, [] ended, store", "[] begun, [a] ended, lobby"}},
		"stale report of another lobby":           {full: all(5, nil), peer: &deployment.EvacuationsConfig{Through: 4, Offsets: map[string]int64{"a": 3}}},
		"report of a lobby that knows nothing":    {full: all(5, map[string]int64{"a": 3}), peer: &deployment.EvacuationsConfig{}, want: []string{"[a] begun, [] ended, store"}},
		"incomplete report with a newer domain":   {full: all(5, map[string]int64{"a": 3}), peer: &deployment.EvacuationsConfig{Offsets: map[string]int64{"b": 8}}, want: []string{"[a] begun, [] ended, store", "[b] begun, [] ended, lobby"}},
		"incomplete full read returns no domains": {full: all(5, map[string]int64{"a": 3}), missed: &deployment.EvacuationsConfig{}, want: []string{"[a] begun, [] ended, store"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, l := &store{evacuations: tc.full}, &listener{}
			state := NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
			w := NewConfigurationWatcher(WatcherConfig{Store: s, State: state, Log: testkit.DiscardLog()})
			step := func() {
				t.Helper()
				if err := w.step(); err != nil {
					t.Fatal(err)
				}
			}
			step()
			if tc.missed != nil {
				s.missed, s.evacuations = true, *tc.missed
				step()
			}
			s.records = tc.records
			step()
			if tc.peer != nil {
				state.SetPeerEvacuations(noon, deployment.NewEvacuations(*tc.peer))
			}
			if diff := cmp.Diff(tc.want, l.changes); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEvacuationsOutlastAnOutageOfTheStore guards against a return to service that nobody
// has asked for.
func TestEvacuationsOutlastAnOutageOfTheStore(t *testing.T) {
	s, l := &store{evacuations: deployment.EvacuationsConfig{Through: 5, Offsets: map[string]int64{"a": 3}}}, &listener{}
	state := NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
	w := NewConfigurationWatcher(WatcherConfig{Store: s, State: state, Log: testkit.DiscardLog()})
	if err := w.step(); err != nil {
		t.Fatal(err)
	}
	s.err, s.evacuations = errors.New("unreachable"), deployment.EvacuationsConfig{}
	for range 3 {
		if w.step() == nil {
			t.Error("no error while the store is unreachable")
		}
	}
	if diff := cmp.Diff([]string{"[a] begun, [] ended, store"}, l.changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestAgeOfAChangeIsTheTimeSinceTheLastRead(t *testing.T) {
	var ages []time.Duration
	state := NewState(StateConfig{Listener: &ageListener{ages: &ages}, Log: testkit.DiscardLog()})
	report := func(through int64, domain string) deployment.Evacuations {
		return deployment.NewEvacuations(deployment.EvacuationsConfig{Through: through, Offsets: map[string]int64{domain: through - 1}})
	}
	state.setEvacuations(noon, report(2, "a"))
	state.SetPeerEvacuations(noon.Add(time.Second), report(4, "b"))
	state.applyEvacuations(noon.Add(3*time.Second), recordsOf([]deployment.EvacuationRecordConfig{{Domain: "c", Offset: 7}}), deployment.NewPosition(0, 8))
	if diff := cmp.Diff([]time.Duration{0, time.Second, 3 * time.Second}, ages); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
}

// ageListener records the ages of changes.
type ageListener struct {
	listener

	ages *[]time.Duration
}

func (l *ageListener) EvacuationsChanged(change EvacuationChange) error {
	*l.ages = append(*l.ages, change.Age())
	return nil
}

// TestRefusedChangesAreRepeated guards against an evacuation, or its end, that a component
// with a full inbox never learns of.
func TestRefusedChangesAreRepeated(t *testing.T) {
	cases := map[string]struct {
		first, second []deployment.EvacuationRecord
		want          []string
	}{
		"begun":                      {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5}}), want: []string{"[a] begun, [] ended, store"}},
		"begun and another one":      {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5}}), second: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "b", Offset: 7}}), want: []string{"[a b] begun, [] ended, store"}},
		"begun and then ended":       {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5}}), second: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 7, Ended: true}}), want: []string{"[] begun, [a] ended, store"}},
		"begun and ended":            {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5}, {Domain: "a", Offset: 6, Ended: true}}), want: []string{"[] begun, [a] ended, store"}},
		"in force and ended":         {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "z", Offset: 5, Ended: true}}), want: []string{"[] begun, [z] ended, store"}},
		"ended and set again":        {first: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "z", Offset: 5, Ended: true}}), second: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "z", Offset: 7}})},
		"nothing, so nothing is due": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := &listener{}
			state := NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
			state.setEvacuations(noon, deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 5, Offsets: map[string]int64{"z": 1}}))
			l.changes, l.err = nil, errors.New("full")
			state.applyEvacuations(noon, tc.first, deployment.NewPosition(0, 7))
			l.changes, l.err = nil, nil
			state.applyEvacuations(noon, tc.second, deployment.NewPosition(0, 8))
			state.applyEvacuations(noon, nil, deployment.NewPosition(0, 8))
			if diff := cmp.Diff(tc.want, l.changes); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestListenerMayReadTheState guards against a deadlock of a watcher that waits for room in
// the scheduler's inbox with the scheduler, which reads the state for its digest.
func TestListenerMayReadTheState(t *testing.T) {
	l := &readingListener{}
	l.state = NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
	l.state.setEvacuations(noon, deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 5, Offsets: map[string]int64{"a": 1}}))
	l.state.setConfiguration(version(3), "store")
	l.state.setBackends(time.Now(), []deployment.Backend{deployment.NewBackend(deployment.BackendConfig{ID: "b"})})
	if diff := cmp.Diff([]string{"version 0, 0 backend servers, 1 evacuated", "version 3, 0 backend servers, 1 evacuated", "version 3, 1 backend servers, 1 evacuated"}, l.read); diff != "" {
		t.Errorf("read when notified (-want +got):\n%s", diff)
	}
}

// readingListener reads the state when it is notified.
type readingListener struct {
	state *State
	read  []string
}

func (l *readingListener) note() {
	_, list, _ := l.state.Newest()
	l.read = append(l.read, fmt.Sprintf("version %d, %d backend servers, %d evacuated", l.state.Version(), len(list), l.state.Evacuations().Len()))
}

func (l *readingListener) ConfigurationChanged(*deployment.Configuration) { l.note() }

func (l *readingListener) BackendsChanged(time.Time, []deployment.Backend) { l.note() }

func (l *readingListener) EvacuationsChanged(EvacuationChange) error {
	l.note()
	return nil
}

// TestPartialReadClaimsNothing guards against a lobby that has read some of the store's
// keys only, and then ends an evacuation that it does not know in other lobbies or ignores
// what they tell of it.
func TestPartialReadClaimsNothing(t *testing.T) {
	s, l := &store{}, &listener{}
	state := NewState(StateConfig{Listener: l, Log: testkit.DiscardLog()})
	w := NewConfigurationWatcher(WatcherConfig{Store: s, State: state, Log: testkit.DiscardLog()})
	step := func() {
		t.Helper()
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
	}
	step()
	step()
	if through := state.Evacuations().Through(); through != 0 {
		t.Errorf("claims to know all records before offset %d after a partial read", through)
	}
	state.SetPeerEvacuations(noon, deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 2, Offsets: map[string]int64{"a": 1}}))
	s.evacuations = deployment.EvacuationsConfig{Through: 5, Offsets: map[string]int64{"a": 1, "b": 3}}
	step()
	step()
	if through := state.Evacuations().Through(); through != 6 {
		t.Errorf("knows all records before offset %d after a complete read and one of new records, want 6", through)
	}
	if diff := cmp.Diff([]string{"[a] begun, [] ended, lobby", "[b] begun, [] ended, store"}, l.changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// recordsOf returns the records with the given parameters.
func recordsOf(configs []deployment.EvacuationRecordConfig) []deployment.EvacuationRecord {
	var records []deployment.EvacuationRecord
	for _, config := range configs {
		records = append(records, deployment.NewEvacuationRecord(config))
	}
	return records
}
