package quarantine_test

import (
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/quarantine"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// fakeStore keeps what is saved, and fails the calls within some spans of time.
type fakeStore struct {
	now      time.Duration // after noon
	down     [][2]time.Duration
	era      int64
	saved    map[string][]protocol.SuspectConfig
	reads    int
	saves    []time.Duration // times of the calls, refused ones too
	recalled []int           // suspects in each recall
}

var errDown = errors.New("store is down")

func (s *fakeStore) fails() bool {
	for _, span := range s.down {
		if s.now >= span[0] && s.now < span[1] {
			return true
		}
	}
	return false
}

func (s *fakeStore) SaveSuspects(lobby string, _ time.Time, suspects []protocol.SuspectConfig) error {
	s.saves = append(s.saves, s.now)
	if s.fails() {
		return errDown
	}
	s.saved[lobby] = suspects
	return nil
}

func (s *fakeStore) SavedSuspects(time.Time) (map[string][]protocol.SuspectConfig, error) {
	s.reads++
	if s.fails() {
		return nil, errDown
	}
	return s.saved, nil
}

func (s *fakeStore) Era() int64 { return s.era }

func (s *fakeStore) SuspectsRecalled(_ time.Time, saved map[string][]protocol.SuspectConfig) error {
	s.recalled = append(s.recalled, len(saved["x"]))
	return nil
}

// TestRecorderKeepsTheStoreUpToDate plays outages and restores of the store.
func TestRecorderKeepsTheStoreUpToDate(t *testing.T) {
	one := []protocol.SuspectConfig{{ID: "a"}}
	two := []protocol.SuspectConfig{{ID: "a"}, {ID: "b"}}
	type result struct {
		Reads    int
		Recalled []int
		Saves    []time.Duration
		Saved    int // suspects in the store at the end
	}
	sec := time.Second
	cases := map[string]struct {
		before   []protocol.SuspectConfig // saved before the start
		down     [][2]time.Duration
		learn    map[time.Duration][]protocol.SuspectConfig
		restored map[time.Duration][]protocol.SuspectConfig // what the backup holds
		want     result
	}{
		"nothing learnt":                  {want: result{Reads: 1, Recalled: []int{0}}},
		"saved before":                    {before: one, want: result{Reads: 1, Recalled: []int{1}, Saved: 1}},
		"learnt":                          {before: one, learn: map[time.Duration][]protocol.SuspectConfig{5 * sec: two}, want: result{Reads: 1, Recalled: []int{1}, Saves: []time.Duration{5 * sec}, Saved: 2}},
		"away at the start":               {before: one, down: [][2]time.Duration{{0, 6 * sec}}, want: result{Reads: 4, Recalled: []int{1}, Saved: 1}},
		"learnt while it is away":         {down: [][2]time.Duration{{4 * sec, 10 * sec}}, learn: map[time.Duration][]protocol.SuspectConfig{5 * sec: one, 6 * sec: two}, want: result{Reads: 1, Recalled: []int{0}, Saves: []time.Duration{5 * sec, 6 * sec, 8 * sec, 12 * sec, 22 * sec}, Saved: 2}},
		"restored without what was saved": {learn: map[time.Duration][]protocol.SuspectConfig{5 * sec: two}, restored: map[time.Duration][]protocol.SuspectConfig{8 * sec: one}, want: result{Reads: 1, Recalled: []int{0}, Saves: []time.Duration{5 * sec, 8 * sec}, Saved: 2}},
		"restored with what was removed":  {learn: map[time.Duration][]protocol.SuspectConfig{5 * sec: nil}, restored: map[time.Duration][]protocol.SuspectConfig{8 * sec: one}, want: result{Reads: 1, Recalled: []int{0}, Saves: []time.Duration{5 * sec, 8 * sec}}},
		"restored, nothing learnt":        {restored: map[time.Duration][]protocol.SuspectConfig{8 * sec: nil}, want: result{Reads: 1, Recalled: []int{0}}},
		"restored twice, away between":    {before: two, restored: map[time.Duration][]protocol.SuspectConfig{8 * sec: one, 20 * sec: nil}, down: [][2]time.Duration{{8 * sec, 10 * sec}}, want: result{Reads: 1, Recalled: []int{2}, Saves: []time.Duration{8 * sec, 9 * sec, 11 * sec, 20 * sec, 21 * sec}, Saved: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{down: tc.down, saved: map[string][]protocol.SuspectConfig{}}
			if tc.before != nil {
				store.saved["x"] = tc.before
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			r := quarantine.NewRecorder(quarantine.RecorderConfig{Self: "x", Store: store, Observer: store, Log: logrus.NewEntry(log)})
			if err := r.Start(noon); err != nil {
				t.Fatal(err)
			}
			for at := time.Duration(0); at < 40*time.Second; at += 500 * time.Millisecond {
				store.now = at
				if backup, ok := tc.restored[at]; ok {
					store.era++
					store.saved["x"] = backup
				}
				if learnt, ok := tc.learn[at]; ok {
					r.Save(noon.Add(at), one[:0])
					r.Save(noon.Add(at), learnt)
				}
				deliver(t, r, noon.Add(at))
			}
			got := result{Reads: store.reads, Recalled: store.recalled, Saves: store.saves, Saved: len(store.saved["x"])}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("calls of the store (-want +got):\n%s", diff)
			}
		})
	}
}

// deliver passes on what waits in the recorder's inbox, and ticks.
func deliver(t *testing.T, r *quarantine.Recorder, now time.Time) {
	t.Helper()
	var messages [4]any
	for _, message := range messages[:r.Inbox().Drain(messages[:])] {
		if err := r.Handle(now, message); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Tick(now); err != nil {
		t.Fatal(err)
	}
}
