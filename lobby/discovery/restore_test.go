package discovery

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
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

// backendLog is a store whose list of backend servers is a log that can be restored to an
// older state. A record without an ID removes the backend server with that key.
type backendLog struct {
	store
	era     int64
	records []backendRecord
}

type backendRecord struct {
	key   string
	state deployment.Backend
}

func (l *backendLog) end() deployment.Position {
	return deployment.NewPosition(l.era, int64(len(l.records)))
}

func (l *backendLog) Backends() (map[string]deployment.Backend, deployment.Position, error) {
	all, end, err := l.BackendsSince(deployment.NewPosition(l.era, 0))
	for key, backend := range all {
		if backend.ID() == "" {
			delete(all, key)
		}
	}
	return all, end, err
}

func (l *backendLog) BackendsSince(from deployment.Position) (map[string]deployment.Backend, deployment.Position, error) {
	if from.Offset() > l.end().Offset() {
		return nil, from, ErrMissed
	}
	changed := make(map[string]deployment.Backend)
	for _, record := range l.records[from.Offset():] {
		changed[record.key] = record.state
	}
	return changed, l.end(), nil
}

func (l *backendLog) restore(kept int, added ...backendRecord) {
	l.era++
	l.records = append(l.records[:kept:kept], added...)
}

func ready(id string, start int64) backendRecord {
	return backendRecord{key: id, state: deployment.NewBackend(deployment.BackendConfig{ID: id, StartTime: start})}
}

func leaving(id string, start int64) backendRecord {
	return backendRecord{key: id, state: ready(id, start).state.AsLeaving()}
}

func gone(id string) backendRecord { return backendRecord{key: id} }

// listedAs returns how each backend server is listed.
func listedAs(backends map[string]deployment.Backend) map[string]string {
	states := make(map[string]string)
	for id, backend := range backends {
		states[id] = "ready"
		if backend.Leaving() {
			states[id] = "leaving"
		}
	}
	return states
}

// TestBackendListAfterARestore guards against a list that lacks what was written again below
// the offset at which the lobby stopped, and against one that is believed although it tells
// what was so before the backup.
func TestBackendListAfterARestore(t *testing.T) {
	first := []backendRecord{ready("a", 1), ready("b", 1), ready("c", 1)}
	cases := map[string]struct {
		since    []backendRecord   // written after the backup and lost
		restored []backendRecord   // written before the lobby reads the restored store
		later    []backendRecord   // written a second later
		soon     map[string]string // list at the first read after the restore
		settled  map[string]string // list after the grace period
	}{
		"written again, end at the offset":   {since: []backendRecord{ready("d", 1), ready("e", 1)}, restored: []backendRecord{leaving("a", 1), gone("b")}, soon: map[string]string{"a": "leaving", "b": "ready", "c": "ready", "d": "ready", "e": "ready"}, settled: map[string]string{"a": "leaving", "c": "ready"}},
		"written again, end past the offset": {since: []backendRecord{ready("d", 1)}, restored: []backendRecord{leaving("a", 1), ready("d", 1)}, soon: map[string]string{"a": "leaving", "b": "ready", "c": "ready", "d": "ready"}, settled: map[string]string{"a": "leaving", "b": "ready", "c": "ready", "d": "ready"}},
		"started since, reports again":       {since: []backendRecord{ready("d", 1)}, later: []backendRecord{ready("d", 1)}, soon: map[string]string{"a": "ready", "b": "ready", "c": "ready", "d": "ready"}, settled: map[string]string{"a": "ready", "b": "ready", "c": "ready", "d": "ready"}},
		"started since, does not report":     {since: []backendRecord{ready("d", 1)}, soon: map[string]string{"a": "ready", "b": "ready", "c": "ready", "d": "ready"}, settled: map[string]string{"a": "ready", "b": "ready", "c": "ready"}},
		"leaves since, reports again":        {since: []backendRecord{leaving("a", 1)}, later: []backendRecord{leaving("a", 1)}, soon: map[string]string{"a": "leaving", "b": "ready", "c": "ready"}, settled: map[string]string{"a": "leaving", "b": "ready", "c": "ready"}},
		"left since, still listed":           {since: []backendRecord{leaving("a", 1), gone("a")}, later: []backendRecord{gone("a")}, soon: map[string]string{"b": "ready", "c": "ready"}, settled: map[string]string{"b": "ready", "c": "ready"}},
		"lapsed since, is back":              {since: []backendRecord{gone("a")}, soon: map[string]string{"b": "ready", "c": "ready"}, settled: map[string]string{"a": "ready", "b": "ready", "c": "ready"}},
		"started again under its ID":         {since: []backendRecord{gone("a")}, restored: []backendRecord{ready("a", 2)}, soon: map[string]string{"a": "ready", "b": "ready", "c": "ready"}, settled: map[string]string{"a": "ready", "b": "ready", "c": "ready"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := &backendLog{era: 1, records: first}
			w := NewBackendWatcher(WatcherConfig{Store: log, State: NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()}), Log: testkit.DiscardLog()}, &sharer{})
			now := noon
			step := func(after time.Duration) {
				for end := now.Add(after); now.Before(end); {
					now = now.Add(readPeriod)
					if err := w.step(now); err != nil {
						t.Fatal(err)
					}
				}
			}
			step(readPeriod)
			for _, record := range tc.since {
				log.records = append(log.records[:len(log.records):len(log.records)], record)
				step(readPeriod)
			}
			log.restore(len(first), tc.restored...)
			step(readPeriod)
			if diff := cmp.Diff(tc.soon, listedAs(w.backends)); diff != "" {
				t.Errorf("list after the restore (-want +got):\n%s", diff)
			}
			step(time.Second)
			log.records = append(log.records, tc.later...)
			step(restoreGrace)
			if diff := cmp.Diff(tc.settled, listedAs(w.backends)); diff != "" {
				t.Errorf("list after the grace period (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUpdatesOfAnotherEraAreNotApplied guards against changes that another lobby has read
// at offsets which stand for other records here.
func TestUpdatesOfAnotherEraAreNotApplied(t *testing.T) {
	cases := map[string]struct {
		era  int64 // of the update
		want map[string]string
	}{
		"own era":       {era: 2, want: map[string]string{"a": "leaving", "b": "ready"}},
		"before it":     {era: 1, want: map[string]string{"a": "ready", "b": "ready"}},
		"after it":      {era: 3, want: map[string]string{"a": "ready", "b": "ready"}},
		"none is known": {want: map[string]string{"a": "ready", "b": "ready"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := &backendLog{era: 2, records: []backendRecord{ready("a", 1), ready("b", 1)}}
			w := NewBackendWatcher(WatcherConfig{Store: log, State: NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()}), Log: testkit.DiscardLog()}, &sharer{})
			if err := w.step(noon); err != nil {
				t.Fatal(err)
			}
			w.applyUpdate(noon.Add(time.Second), protocol.NewListUpdate(protocol.ListUpdateConfig{
				Era: tc.era, From: 2, To: 3, Changed: []deployment.BackendConfig{leaving("a", 1).state.Config()},
			}))
			if diff := cmp.Diff(tc.want, listedAs(w.backends)); diff != "" {
				t.Errorf("list (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEvacuationsAfterARestore guards against a failure domain that is returned to service
// because the restored store lacks its request, and against one that stays evacuated after
// the grace period although the request has been rescinded.
func TestEvacuationsAfterARestore(t *testing.T) {
	report := func(era, through int64, domains ...string) deployment.Evacuations {
		offsets := make(map[string]int64)
		for _, domain := range domains {
			offsets[domain] = through - 1
		}
		return deployment.NewEvacuations(deployment.EvacuationsConfig{Era: era, Through: through, Offsets: offsets})
	}
	cases := map[string]struct {
		read    deployment.Evacuations // of all keys, just after the restore and from then on
		records []deployment.EvacuationRecordConfig
		soon    []string
		settled []string
	}{
		"request lost, then written again":   {read: report(2, 3), records: []deployment.EvacuationRecordConfig{{Domain: "a", Offset: 3}}, soon: []string{"a"}, settled: []string{"a"}},
		"rescinded while the store was away": {read: report(2, 6), soon: []string{"a"}},
		"rescinded after the restore":        {read: report(2, 3, "a"), records: []deployment.EvacuationRecordConfig{{Domain: "a", Offset: 3, Ended: true}}},
		"another requested":                  {read: report(2, 3, "b"), soon: []string{"a", "b"}, settled: []string{"b"}},
		"nothing changed":                    {read: report(2, 3, "a"), soon: []string{"a"}, settled: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			state := NewState(StateConfig{Listener: &listener{}, Log: testkit.DiscardLog()})
			state.setEvacuations(noon, report(1, 9, "a"))
			state.setEvacuations(noon.Add(time.Second), tc.read)
			end := tc.read.Through()
			state.applyEvacuations(noon.Add(time.Second), recordsOf(tc.records), deployment.NewPosition(2, end+int64(len(tc.records))))
			if diff := cmp.Diff(tc.soon, state.Evacuations().Without(deployment.Evacuations{})); diff != "" {
				t.Errorf("evacuated after the restore (-want +got):\n%s", diff)
			}
			if state.mustSettleEvacuations(noon.Add(restoreGrace)) || !state.mustSettleEvacuations(noon.Add(time.Second+restoreGrace)) {
				t.Error("keys are not read again just when the grace period is over")
			}
			later := noon.Add(time.Second + restoreGrace)
			all, _ := tc.read.Apply(recordsOf(tc.records), deployment.NewPosition(2, end+int64(len(tc.records))))
			state.setEvacuations(later, all)
			state.SetPeerEvacuations(later, report(1, 12, "z")) // of a lobby that does not know of the restore
			if diff := cmp.Diff(tc.settled, state.Evacuations().Without(deployment.Evacuations{})); diff != "" {
				t.Errorf("evacuated after the grace period (-want +got):\n%s", diff)
			}
			if state.mustSettleEvacuations(later.Add(time.Hour)) {
				t.Error("keys are read again for ever")
			}
		})
	}
}

// TestLobbiesAfterARestore guards against a lobby that counts as alive by an announcement of
// before the restore, and against one that is dropped since the restored store lacks its own.
func TestLobbiesAfterARestore(t *testing.T) {
	d, o := &directory{era: 1, offsets: map[string]int64{"a": 6, "dead": 3, "new": 7}}, &lobbyObserver{}
	w := NewLobbyWatcher(LobbyWatcherConfig{Self: "a", Directory: d, Peers: peerSet{}, Observer: o, Log: testkit.DiscardLog()})
	step := func(at time.Duration) {
		if err := w.step(noon.Add(at)); err != nil {
			t.Fatal(err)
		}
	}
	step(0)
	d.era, d.offsets = 2, map[string]int64{"a": 4, "dead": 2}
	step(5 * time.Second)
	step(6 * time.Second)
	if diff := cmp.Diff([]int{3, 1, 2}, []int{o.addresses, o.restores, d.announced}); diff != "" {
		t.Errorf("lobbies alive, restores, announcements after the restore (-want +got):\n%s", diff)
	}
	d.offsets = map[string]int64{"a": 5, "dead": 2, "new": 6}
	step(14 * time.Second)
	step(lobbyExpiry)
	if diff := cmp.Diff([]int{2, 1}, []int{o.addresses, o.restores}); diff != "" {
		t.Errorf("lobbies alive, restores once the dead one has expired (-want +got):\n%s", diff)
	}
}
