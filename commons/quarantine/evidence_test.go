package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
)

// newRecalled returns the core of a lobby that found nothing saved at its start.
func newRecalled(self string) *quarantine.Core {
	c := quarantine.New(quarantine.Config{Self: self})
	c.Recall(noon, nil)
	return c
}

// TestSavedEvidenceIsKnownAfterARestart guards against a crashing request that is sent on
// since all lobbies that had seen its crashes have started again.
func TestSavedEvidenceIsKnownAfterARestart(t *testing.T) {
	crashPart := func(c *quarantine.Core, part string) {
		for n := range 3 {
			crashAt(c, time.Duration(n)*time.Second, request(byte(10+n), "template", part, "own"), fmt.Sprint("b", n))
		}
	}
	cases := map[string]struct {
		saver   string
		learn   func(c *quarantine.Core)
		restart time.Duration // after noon
		asked   *httpmeta.Request
		want    bool // quarantined
	}{
		"a request, of the same lobby":    {saver: "x", learn: func(c *quarantine.Core) { threeCrashes(c, request(1)) }, asked: request(1), want: true},
		"a request, of another lobby":     {saver: "y", learn: func(c *quarantine.Core) { threeCrashes(c, request(1)) }, asked: request(1), want: true},
		"another request":                 {saver: "x", learn: func(c *quarantine.Core) { threeCrashes(c, request(1)) }, asked: request(2)},
		"a part":                          {saver: "y", learn: func(c *quarantine.Core) { crashPart(c, "deadly") }, asked: request(2, "deadly", "own2"), want: true},
		"a part that was answered before": {saver: "y", learn: func(c *quarantine.Core) { c.Answering(request(9, "template", "z"), noon); crashPart(c, "deadly") }, asked: request(2, "template", "own2")},
		"an answer since": {saver: "x", learn: func(c *quarantine.Core) {
			threeCrashes(c, request(1))
			c.Completed(request(1), noon.Add(3*time.Second))
		}, asked: request(1)},
		"an ID too long for the store": {saver: "x", learn: func(c *quarantine.Core) { crashPart(c, strings.Repeat("p", 300)) }, asked: request(2, strings.Repeat("p", 300), "own2")},
		"a day later":                  {saver: "x", learn: func(c *quarantine.Core) { threeCrashes(c, request(1)) }, restart: 25 * time.Hour, asked: request(1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before := newRecalled(tc.saver)
			tc.learn(before)
			saved, due := before.Unsaved(noon.Add(3 * time.Second))
			if !due {
				t.Fatal("nothing is to be saved")
			}
			after := quarantine.New(quarantine.Config{Self: "x"})
			at := 4*time.Second + tc.restart
			for n := range saved {
				for m := range saved[n].Crashes {
					saved[n].Crashes[m].Age += at - 3*time.Second
				}
			}
			after.Recall(noon.Add(at), map[string][]protocol.SuspectConfig{tc.saver: saved})
			if diff := cmp.Diff(tc.want, !admitted(after, at, 1, tc.asked)); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEvidenceIsSavedWhenSomethingIsLearnt guards against writes of a lobby that learns
// nothing, and against evidence that is refuted and stays in the store.
func TestEvidenceIsSavedWhenSomethingIsLearnt(t *testing.T) {
	crash := func(at time.Duration, content byte) func(*quarantine.Core) {
		return func(c *quarantine.Core) { crashAt(c, at, request(content), fmt.Sprint("b", at)) }
	}
	answer := func(at time.Duration, content byte) func(*quarantine.Core) {
		return func(c *quarantine.Core) { c.Completed(request(content), noon.Add(at)) }
	}
	hear := func(at time.Duration, suspects ...protocol.SuspectConfig) func(*quarantine.Core) {
		return func(c *quarantine.Core) {
			c.UpdatePeer(noon.Add(at), protocol.NewDigest(protocol.DigestConfig{Sender: "y", Suspects: suspects}))
		}
	}
	id := httpmeta.Fingerprint{1}.String()
	events := func(at ...time.Duration) []protocol.CrashConfig {
		var crashes []protocol.CrashConfig
		for _, each := range at {
			crashes = append(crashes, protocol.CrashConfig{Backend: fmt.Sprint("b", each), Cleared: true})
		}
		return crashes
	}
	type save struct {
		At       time.Duration
		Suspects int
	}
	cases := map[string]struct {
		steps map[time.Duration]func(*quarantine.Core)
		want  []save
	}{
		"nothing is learnt":              {},
		"a crash":                        {steps: map[time.Duration]func(*quarantine.Core){time.Second: crash(time.Second, 1)}, want: []save{{time.Second, 1}, {61 * time.Second, 0}}},
		"two crashes within a second":    {steps: map[time.Duration]func(*quarantine.Core){time.Second: crash(time.Second, 1), 1500 * time.Millisecond: crash(1500*time.Millisecond, 2)}, want: []save{{time.Second, 1}, {2 * time.Second, 2}, {61 * time.Second, 1}, {66 * time.Second, 0}}},
		"an answer to the saved one":     {steps: map[time.Duration]func(*quarantine.Core){time.Second: crash(time.Second, 1), 2 * time.Second: answer(2*time.Second, 1)}, want: []save{{time.Second, 1}, {6 * time.Second, 0}}},
		"an answer to another":           {steps: map[time.Duration]func(*quarantine.Core){2 * time.Second: answer(2*time.Second, 2)}},
		"another lobby saw the crash":    {steps: map[time.Duration]func(*quarantine.Core){time.Second: hear(time.Second, protocol.SuspectConfig{Kind: 1, ID: id, Crashes: []protocol.CrashConfig{{Backend: "a"}}})}},
		"another lobby saw the answer":   {steps: map[time.Duration]func(*quarantine.Core){time.Second: crash(time.Second, 1), 3 * time.Second: hear(3*time.Second, protocol.SuspectConfig{Kind: 1, ID: id, Crashes: events(time.Second)})}, want: []save{{time.Second, 1}, {6 * time.Second, 0}}},
		"another lobby repeats the same": {steps: map[time.Duration]func(*quarantine.Core){time.Second: crash(time.Second, 1), 3 * time.Second: hear(3*time.Second, protocol.SuspectConfig{Kind: 1, ID: id, Crashes: []protocol.CrashConfig{{Backend: "b1s", Age: 2500 * time.Millisecond}}})}, want: []save{{time.Second, 1}, {61 * time.Second, 0}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x", Lifetime: time.Minute})
			c.Recall(noon, nil)
			var got []save
			for at := time.Duration(0); at < 80*time.Second; at += 500 * time.Millisecond {
				if step, ok := tc.steps[at]; ok {
					step(c)
				}
				c.Suspects(noon.Add(at))
				if suspects, due := c.Unsaved(noon.Add(at)); due {
					got = append(got, save{At: at, Suspects: len(suspects)})
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("saves (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSavedEvidenceIsBounded fills the memory and then learns of one request that has
// crashed several backend servers.
func TestSavedEvidenceIsBounded(t *testing.T) {
	c := newRecalled("x")
	for n := range 1000 {
		c.Crashed(noon, quarantine.CrashConfig{Request: request(byte(n), fmt.Sprint("p", n), "own"), Backend: "z"})
	}
	threeCrashes(c, request(255))
	saved, _ := c.Unsaved(noon.Add(3 * time.Second))
	if len(saved) > 128 {
		t.Errorf("%d suspects saved", len(saved))
	}
	if diff := cmp.Diff(httpmeta.Fingerprint{255}.String(), saved[0].ID); diff != "" {
		t.Errorf("first suspect (-want +got):\n%s", diff)
	}
}

// TestNothingIsSavedBeforeTheRecall guards against a lobby that replaces what it had saved
// before its start, while the store does not answer its read.
func TestNothingIsSavedBeforeTheRecall(t *testing.T) {
	before := newRecalled("x")
	threeCrashes(before, request(1))
	saved, _ := before.Unsaved(noon.Add(3 * time.Second))
	after := quarantine.New(quarantine.Config{Self: "x"})
	crashAt(after, 4*time.Second, request(2), "b9")
	if _, due := after.Unsaved(noon.Add(5 * time.Second)); due {
		t.Error("saved before the recall")
	}
	after.Recall(noon.Add(6*time.Second), map[string][]protocol.SuspectConfig{"x": saved})
	var got []string
	again, _ := after.Unsaved(noon.Add(6 * time.Second))
	for _, suspect := range again {
		got = append(got, suspect.ID)
	}
	want := []string{httpmeta.Fingerprint{1}.String(), httpmeta.Fingerprint{2}.String()}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("saved suspects (-want +got):\n%s", diff)
	}
}
