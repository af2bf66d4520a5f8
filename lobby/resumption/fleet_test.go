package resumption_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/resumption"
)

// TestFleetForgetsAVersion guards against lobbies that keep each other from forgetting a version
// that left long ago, since each digest names it again.
func TestFleetForgetsAVersion(t *testing.T) {
	cases := map[string]struct{ lobbies int }{
		"one lobby":   {lobbies: 1},
		"two lobbies": {lobbies: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now, removed := noon, 0
			cores := make([]*resumption.Core, tc.lobbies)
			for i := range cores {
				cores[i] = resumption.New()
				cores[i].Load(now, savedVersions(), true)
				cores[i].SetBackends(now, now, listOf("v1", "v2"))
			}
			for ; now.Before(noon.Add(time.Hour)); now = now.Add(500 * time.Millisecond) {
				for i, c := range cores {
					c.SetBackends(now, now, listOf("v2"))
					if save, ok := c.ToSave(now, tc.lobbies); ok {
						removed += len(save.Removed())
						c.SaveAnswered(now, save.Serial())
					}
					digest := protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprint("l", i), Streams: c.ToTell(now)})
					for j, other := range cores {
						if j != i {
							other.UpdatePeer(now, digest)
						}
					}
				}
			}
			if diff := cmp.Diff([]any{tc.lobbies, 0}, []any{removed, len(cores[0].ToTell(now))}); diff != "" {
				t.Errorf("removals of the old version, versions told an hour later (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStreamBegunWithoutTheStoreIsNotOfAnotherVersion guards against a stream that began at a
// new version while the store was away, and that is taken for one of the only version the store
// names.
func TestStreamBegunWithoutTheStoreIsNotOfAnotherVersion(t *testing.T) {
	c, now := resumption.New(), noon
	c.Load(now.Add(-90*time.Second), savedVersions("v1"), true)
	c.SetBackends(now, now, listOf("v2")) // no other one serves
	c.ToSave(now, 1)
	c.Began(now, 1, resumption.NewOrigin("s", "v2"), now.Add(time.Minute))
	found := c.Find(now, 2, "s", 1) // begun at v2 by a lobby that was killed
	if diff := cmp.Diff(resumption.SourceUnknown, found.Source()); diff != "" {
		t.Errorf("source (-want +got):\n%s", diff)
	}
}

// TestLobbyThatHearsNoOtherKnowsNoEarlierStreams guards against a lobby that started lately, does
// not get the digests of another one, and takes streams that began there at a new version for
// ones from before its start.
func TestLobbyThatHearsNoOtherKnowsNoEarlierStreams(t *testing.T) {
	cases := map[string]struct {
		heard  bool // the digest with the stream
		source resumption.Source
	}{
		"heard":     {heard: true, source: resumption.SourcePeer},
		"not heard": {source: resumption.SourceUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := noon.Add(30 * time.Second)
			first, second := resumption.New(), resumption.New()
			for _, c := range []*resumption.Core{first, second} {
				c.Load(noon, savedVersions("v1"), true)
				c.SetBackends(now, now, listOf("v1", "v2"))
				save, _ := c.ToSave(now, 2)
				c.SaveAnswered(now, save.Serial())
			}
			first.Began(now, 1, resumption.NewOrigin("s", "v2"), now.Add(time.Minute))
			if tc.heard {
				second.UpdatePeer(now, protocol.NewDigest(protocol.DigestConfig{Sender: "l1", Streams: first.ToTell(now)}))
			}
			now = now.Add(2 * time.Second)
			second.SetBackends(now, now, listOf("v1", "v2"))
			if diff := cmp.Diff(tc.source, second.Find(now, 1, "s", 2).Source()); diff != "" {
				t.Errorf("source (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRepeatedSaveIsAcknowledgedOnce guards against a version that is taken for saved since the
// store has taken the copy of an earlier save, which was repeated while the store was away.
func TestRepeatedSaveIsAcknowledgedOnce(t *testing.T) {
	c, now, kept := resumption.New(), noon, make(map[string]bool)
	var queued []protocol.StreamsSave // by the journal
	next := func(after time.Duration) {
		now = now.Add(after)
		if save, ok := c.ToSave(now, 1); ok {
			queued = append(queued, save)
		}
	}
	take := func() { // what Journal.write does
		for _, version := range queued[0].Added() {
			kept[version.Version] = true
		}
		serial := queued[0].Serial()
		queued = queued[1:]
		c.SaveAnswered(now, serial)
	}
	c.SetBackends(now, now, listOf("v1"))
	next(0)
	next(11 * time.Second) // repeated: the store is away
	take()                 // the store is back
	c.SetBackends(now, now, listOf("v1", "v2"))
	next(time.Second)
	take()
	if diff := cmp.Diff(kept["v2"], c.Saved(resumption.NewOrigin("s", "v2"))); diff != "" {
		t.Errorf("streams begin at a version that the store does not have (-want +got):\n%s", diff)
	}
}

// TestVersionThatReturnsIsNotRemoved guards against a version that is listed again while a save
// waits for its answer, and that the next save adds and removes at once: the removal is written
// behind it.
func TestVersionThatReturnsIsNotRemoved(t *testing.T) {
	c, now, serial := resumption.New(), noon, uint64(0)
	c.Load(now, savedVersions("v1", "v2"), true)
	c.SetBackends(now, now, listOf("v1", "v2"))
	for _, after := range []time.Duration{2 * time.Minute, time.Minute} { // a save of v3, which the store does not answer, then v1 is forgotten
		now = now.Add(after)
		c.SetBackends(now, now, listOf("v2", "v3"))
		if save, ok := c.ToSave(now, 1); ok {
			serial = save.Serial()
		}
	}
	c.SetBackends(now, now, listOf("v1", "v2", "v3"))
	c.SaveAnswered(now, serial)
	save, _ := c.ToSave(now.Add(time.Second), 1)
	for _, added := range save.Added() {
		if diff := cmp.Diff(false, slices.Contains(save.Removed(), added)); diff != "" {
			t.Errorf("%v added and removed (-want +got):\n%s", added, diff)
		}
	}
}

// refusingObserver is an Observer that does not take the first message of a restore.
type refusingObserver struct {
	*store
	refused bool
}

func (r *refusingObserver) StreamsRestored() error {
	if err := r.store.StreamsRestored(); err != nil || r.refused {
		return err
	}
	r.refused = true
	return errDown
}

// TestRestoreThatIsNotTakenIsRepeated guards against a lobby whose scheduler is busy when the
// store has come back from a backup, and that never writes again what was lost.
func TestRestoreThatIsNotTakenIsRepeated(t *testing.T) {
	s := &store{slot: -1, erases: 2, awaits: 5}
	s.serveJournal(&refusingObserver{store: s}, protocol.StreamsSaveConfig{Streams: []protocol.StreamsConfig{{Streams: []httpmeta.StreamID{1}}}})
	if diff := cmp.Diff([]string{"restored", "restored"}, slices.DeleteFunc(slices.Clone(s.calls), func(call string) bool { return call != "restored" })); diff != "" {
		t.Errorf("messages of the restore (-want +got):\n%s%q", diff, s.calls)
	}
}
