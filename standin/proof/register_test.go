package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/badge"
)

// shortProof makes proofs lapse soon enough for a test that waits for it.
const shortProof = "freshness = 2s\n"

// sesamewell runs the operator's tool and returns its output.
func (f *fleet) sesamewell(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(bin, "sesamewell"), append([]string{"--log", f.log}, args...)...).CombinedOutput()
	return string(out), err
}

// withdraw takes tenantKey out of the inventory.
func (f *fleet) withdraw() {
	f.t.Helper()
	section := fmt.Sprintf("[key lantern]\ntenant = lantern\nsha256 = %s\n", badge.Hash(tenantKey))
	text := strings.Replace(f.inventory.String(), section, "", 1)
	f.inventory.Reset()
	f.inventory.WriteString(text)
	path := f.writeInventory()
	if out, err := f.sesamewell("apply", path); err != nil {
		f.t.Fatalf("withdraw: %v\n%s", err, out)
	}
}

// fail sets the log service's faults.
func (f *fleet) fail(faults string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.log+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// stream begins a chat completion, waits for the first byte of its answer and
// returns the answer when it has ended.
func (f *fleet) stream(entry, tokens int) <-chan answer {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[entry]+"/v1/chat/completions", strings.NewReader(chatBody(tokens, true)))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		f.t.Fatal(err)
	}
	done := make(chan answer, 1)
	go func() {
		defer func() { _ = response.Body.Close() }()
		rest, err := io.ReadAll(response.Body)
		done <- answer{status: response.StatusCode, header: response.Header, body: string(first) + string(rest), err: err}
	}()
	return done
}

// within returns the answer or fails after the longest time that a test waits.
func (f *fleet) within(done <-chan answer) answer {
	f.t.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(patience):
		f.t.Fatal("the stream did not end")
		return answer{}
	}
}

// refused returns an error unless an answer is a refusal with that code.
func refused(got answer, code, outcome string) error {
	var body struct {
		Error struct{ Code string } `json:"error"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil || body.Error.Code != code || got.header.Get(wicket.OutcomeHeader) != outcome {
		return fmt.Errorf("status %d, outcome %q, %v: %s; want %s, %s", got.status, got.header.Get(wicket.OutcomeHeader), got.err, got.body, code, outcome)
	}
	return nil
}

// TestWithdrawnKey withdraws a key while a stream of its caller is open, after
// something has happened to the entry that serves it.
func TestWithdrawnKey(t *testing.T) {
	const endless = 100_000
	cases := map[string]struct {
		before func(f *fleet)
		after  func(f *fleet)
	}{
		"all is well": {},
		"entry paused past its proof": {
			before: func(f *fleet) { f.processes["entry-1"].signal(t, syscall.SIGSTOP) },
			after: func(f *fleet) {
				time.Sleep(3 * time.Second)
				f.processes["entry-1"].signal(t, syscall.SIGCONT)
			},
		},
		"entry paused, log down when it goes on": {
			before: func(f *fleet) { f.processes["entry-1"].signal(t, syscall.SIGSTOP) },
			after: func(f *fleet) {
				f.fail(`{"down":true}`)
				time.Sleep(3 * time.Second)
				f.processes["entry-1"].signal(t, syscall.SIGCONT)
			},
		},
		"log outage just after": {after: func(f *fleet) { f.fail(`{"down":true}`) }},
		"the other entry killed": {
			before: func(f *fleet) {
				f.processes["entry-2"].signal(t, syscall.SIGKILL)
				f.processes["entry-2"].wait(t)
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.platform = shortProof
			f.addEngine("engine-1", 16, fastStep)
			f.addEntry("entry-1", "")
			f.addEntry("entry-2", "")
			f.apply()
			open := f.stream(0, endless)
			if tc.before != nil {
				tc.before(f)
			}
			f.withdraw()
			begun := time.Now()
			if tc.after != nil {
				tc.after(f)
			}
			got := f.within(open)
			t.Logf("the stream ended %s after the withdrawal", time.Since(begun).Round(time.Millisecond))
			if got.err == nil || !strings.Contains(got.body, "event: error") {
				t.Errorf("the stream ended without an error: status %d, %q", got.status, got.body[max(len(got.body)-200, 0):])
			}
			if late := f.call(0, chat(tenantKey, 1)); late.status == http.StatusOK {
				t.Errorf("a request with the withdrawn key was answered: %s", late.body)
			}
		})
	}
}

// TestBootInAnOutage replaces an entry while nobody reaches the log.
func TestBootInAnOutage(t *testing.T) {
	f := newFleet(t)
	f.platform = shortProof
	f.addEngine("engine-1", 16, fastStep)
	f.platform += "peers = " + f.links["side-engine-1"] + "\n"
	f.addEntry("entry-1", "")
	f.apply()
	f.fail(`{"down":true}`)
	f.processes["entry-1"].signal(t, syscall.SIGKILL)
	f.processes["entry-1"].wait(t)
	begun := time.Now()
	f.start("entry-1", "sesamewell-entry", filepath.Join(f.folder, "entry-1.ini"))
	f.await("entry-1", "http://"+f.pages["entry-1"]+"/readyz")
	t.Logf("the new entry was ready after %s", time.Since(begun).Round(time.Millisecond))
	if err := wholeChat(f.call(0, chat(tenantKey, 3)), 3); err != nil {
		t.Error(err)
	}
}

// TestLogOutage stops the log for longer than a proof lasts.
func TestLogOutage(t *testing.T) {
	const streams, tokens = 20, 3000
	f := newFleet(t)
	f.platform = shortProof
	f.addEngine("engine-1", streams, fastStep)
	f.addEngine("engine-2", streams, fastStep)
	f.addEntry("entry-1", "")
	f.addEntry("entry-2", "")
	f.apply()
	var open []<-chan answer
	for i := range streams {
		open = append(open, f.stream(i%2, tokens))
	}
	f.fail(`{"down":true}`)
	time.Sleep(4 * time.Second)
	for i, done := range open {
		if err := wholeChat(f.within(done), tokens); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if err := wholeChat(f.call(0, chat(tenantKey, 3)), 3); err != nil {
		t.Errorf("new work in the outage: %v", err)
	}
	f.processes["side-engine-1"].signal(t, syscall.SIGSTOP)
	f.awaitNotReady("entry-1")
	if err := refused(f.call(0, chat(tenantKey, 3)), "not_current", wicket.NotRun); err != nil {
		t.Errorf("without the word of one process: %v", err)
	}
	f.processes["side-engine-1"].signal(t, syscall.SIGCONT)
	f.fail(`{}`)
	f.await("entry-1", "http://"+f.pages["entry-1"]+"/readyz")
	if err := wholeChat(f.call(0, chat(tenantKey, 3)), 3); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}
