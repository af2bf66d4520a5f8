package e2e

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

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
)

// shortFreshness makes the fleet state go stale soon enough for a test that waits
// for it.
const shortFreshness = "freshness = 2s\n"

// runCommand runs a command of the program sesamewell and returns its output.
func (f *fleet) runCommand(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binDir, "sesamewell"), append([]string{"--log", f.logAddress}, args...)...).CombinedOutput()
	return string(out), err
}

// withdrawKey removes tenantKey from the inventory and waits until the side has
// applied the change. It does not wait for the entries, which may be paused.
func (f *fleet) withdrawKey() {
	f.t.Helper()
	section := fmt.Sprintf("[key lantern]\ntenant = lantern\nsha256 = %s\n", fleetstate.HashKey(tenantKey))
	text := strings.Replace(f.inventory.String(), section, "", 1)
	f.inventory.Reset()
	f.inventory.WriteString(text)
	path := f.writeInventory()
	if out, err := f.runCommand("apply", path, "--wait-for", f.operatorAddresses["side-engine-1"]); err != nil {
		f.t.Fatalf("withdraw: %v\n%s", err, out)
	}
}

// setLogFaults sets the faults of the log service.
func (f *fleet) setLogFaults(faults string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.logAddress+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// startStream sends a streamed chat completion, waits for the first byte of its
// answer and returns a channel that delivers the answer at its end.
func (f *fleet) startStream(entry, tokens int) <-chan answer {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entryAddresses[entry]+"/v1/chat/completions", strings.NewReader(chatBody(tokens, true)))
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

// awaitStream returns the answer, or fails the test after waitTimeout.
func (f *fleet) awaitStream(done <-chan answer) answer {
	f.t.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(waitTimeout):
		f.t.Fatal("the stream did not end")
		return answer{}
	}
}

// checkRefusal returns an error unless an answer is a refusal with the given code
// and outcome.
func checkRefusal(got answer, code, outcome string) error {
	var body struct {
		Error struct{ Code string } `json:"error"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil || body.Error.Code != code || got.header.Get(httpserver.OutcomeHeader) != outcome {
		return fmt.Errorf("status %d, outcome %q, %v: %s; want %s, %s", got.status, got.header.Get(httpserver.OutcomeHeader), got.err, got.body, code, outcome)
	}
	return nil
}

// TestWithdrawnKey withdraws a key while a stream of its caller is open. The
// stream must end with an error and the key must be refused, also after faults of
// the entries or the log.
func TestWithdrawnKey(t *testing.T) {
	const endless = 100_000
	cases := map[string]struct {
		before func(f *fleet) // injects a fault before the withdrawal
		after  func(f *fleet) // injects or ends a fault after the withdrawal
	}{
		"no fault": {},
		"entry paused past its freshness": {
			before: func(f *fleet) { f.processes["entry-1"].signal(t, syscall.SIGSTOP) },
			after: func(f *fleet) {
				time.Sleep(3 * time.Second)
				f.processes["entry-1"].signal(t, syscall.SIGCONT)
			},
		},
		"entry paused, log down when it resumes": {
			before: func(f *fleet) { f.processes["entry-1"].signal(t, syscall.SIGSTOP) },
			after: func(f *fleet) {
				f.setLogFaults(`{"down":true}`)
				time.Sleep(3 * time.Second)
				f.processes["entry-1"].signal(t, syscall.SIGCONT)
			},
		},
		"log outage just after": {after: func(f *fleet) { f.setLogFaults(`{"down":true}`) }},
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
			f.platformSettings = shortFreshness
			f.addEngine("engine-1", 16, fastStep)
			f.addEntry("entry-1", "")
			f.addEntry("entry-2", "")
			f.apply()
			open := f.startStream(0, endless)
			if tc.before != nil {
				tc.before(f)
			}
			f.withdrawKey()
			start := time.Now()
			if tc.after != nil {
				tc.after(f)
			}
			got := f.awaitStream(open)
			t.Logf("the stream ended %s after the withdrawal", time.Since(start).Round(time.Millisecond))
			if got.err == nil || !strings.Contains(got.body, "event: error") {
				t.Errorf("the stream ended without an error: status %d, %q", got.status, got.body[max(len(got.body)-200, 0):])
			}
			if late := f.call(0, chatRequest(tenantKey, 1)); late.status == http.StatusOK {
				t.Errorf("a request with the withdrawn key was answered: %s", late.body)
			}
		})
	}
}

// TestEntryStartsDuringLogOutage restarts an entry while the log is down. It must
// get the fleet state from a peer.
func TestEntryStartsDuringLogOutage(t *testing.T) {
	f := newFleet(t)
	f.platformSettings = shortFreshness
	f.addEngine("engine-1", 16, fastStep)
	f.platformSettings += "peers = " + f.linkAddresses["side-engine-1"] + "\n"
	f.addEntry("entry-1", "")
	f.apply()
	f.setLogFaults(`{"down":true}`)
	f.processes["entry-1"].signal(t, syscall.SIGKILL)
	f.processes["entry-1"].wait(t)
	start := time.Now()
	f.start("entry-1", "sesamewell-entry", filepath.Join(f.dir, "entry-1.ini"))
	f.awaitOK("entry-1", "http://"+f.operatorAddresses["entry-1"]+"/readyz")
	t.Logf("the new entry was ready after %s", time.Since(start).Round(time.Millisecond))
	models := requestConfig{method: http.MethodGet, path: "/v1/models", key: tenantKey}
	if got := f.call(0, models); got.status != http.StatusOK || !strings.Contains(got.body, `"id":"trail-writer"`) {
		t.Errorf("models: status %d: %s", got.status, got.body)
	}
	models.key = "guess"
	if got := f.call(0, models); got.status != http.StatusUnauthorized {
		t.Errorf("unknown key: status %d: %s", got.status, got.body)
	}
}

// TestLogOutage takes the log down for longer than the freshness period. The
// processes must continue, since their peers confirm their state, and an entry must
// refuse requests once a process is paused too.
func TestLogOutage(t *testing.T) {
	const streams, tokens = 20, 3000
	f := newFleet(t)
	f.platformSettings = shortFreshness
	f.addEngine("engine-1", streams, fastStep)
	f.addEngine("engine-2", streams, fastStep)
	f.addEntry("entry-1", "")
	f.addEntry("entry-2", "")
	f.apply()
	var open []<-chan answer
	for i := range streams {
		open = append(open, f.startStream(i%2, tokens))
	}
	f.setLogFaults(`{"down":true}`)
	time.Sleep(4 * time.Second)
	for i, done := range open {
		if err := checkChat(f.awaitStream(done), tokens); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if err := checkChat(f.call(0, chatRequest(tenantKey, 3)), 3); err != nil {
		t.Errorf("new request during the outage: %v", err)
	}
	f.processes["side-engine-1"].signal(t, syscall.SIGSTOP)
	f.awaitNotReady("entry-1")
	if err := checkRefusal(f.call(0, chatRequest(tenantKey, 3)), "not_current", httpserver.NotRun); err != nil {
		t.Errorf("with one process paused: %v", err)
	}
	f.processes["side-engine-1"].signal(t, syscall.SIGCONT)
	f.setLogFaults(`{}`)
	f.awaitOK("entry-1", "http://"+f.operatorAddresses["entry-1"]+"/readyz")
	if err := checkChat(f.call(0, chatRequest(tenantKey, 3)), 3); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}

// TestOperatorCommands changes the configuration of a running fleet with the
// operator's commands, and logs their output, which has the time until each change
// is in force on every process.
func TestOperatorCommands(t *testing.T) {
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.addEngine("engine-2", 16, fastStep)
	f.addEntry("entry-1", "")
	f.addEntry("entry-2", "")
	f.apply()
	other := fleetstate.HashKey("proof-new-key")
	status := func(key string) int { return f.call(0, chatRequest(key, 1)).status }
	steps := []struct {
		name   string
		faults string
		args   []string
		code   int
		has    string // text in the output
		key    string // key of a request that must get the status
		status int
	}{
		{name: "grant", args: []string{"key", "grant", "new", "--tenant", "lantern", "--sha256", other}, has: "in force on 4 instances", key: "proof-new-key", status: 200},
		{name: "withdraw", args: []string{"key", "withdraw", "new"}, has: "in force on 4 instances", key: "proof-new-key", status: 401},
		{name: "withdraw again", args: []string{"key", "withdraw", "new"}, code: 1, has: "[key new]"},
		{name: "answer lost", faults: `{"lose_answers":1}`, args: []string{"key", "grant", "new", "--tenant", "twisungane", "--sha256", other}, has: "in force on 4 instances", key: "proof-new-key", status: 200},
		{name: "log slow", faults: `{"slow_millis":400}`, args: []string{"key", "withdraw", "new"}, has: "in force on 4 instances", key: "proof-new-key", status: 401},
		{name: "log down", faults: `{"down":true}`, args: []string{"key", "grant", "new", "--tenant", "lantern", "--sha256", other}, code: 1, has: "log service is not available", key: "proof-new-key", status: 401},
		{name: "unknown tenant", faults: `{}`, args: []string{"key", "grant", "new", "--tenant", "nobody", "--sha256", other}, code: 3, has: `tenant "nobody" is not described`},
		{name: "drain", args: []string{"drain", "engine-2"}, has: "in force on 4 instances", key: tenantKey, status: 200},
		{name: "drain the last", args: []string{"drain", "engine-1"}, code: 3, has: "no backend server takes model trail-writer"},
		{name: "diff", args: []string{"diff", f.writeInventory()}, has: "[backend engine-2]\n- draining = yes\n"},
		{name: "status", args: []string{"status"}, has: "side-engine-2"},
	}
	for _, step := range steps {
		if step.faults != "" {
			f.setLogFaults(step.faults)
		}
		out, err := f.runCommand(step.args...)
		var failed *exec.ExitError
		code := 0
		if errors.As(err, &failed) {
			code = failed.ExitCode()
		}
		if code != step.code || !strings.Contains(out, step.has) {
			t.Errorf("%s: exit code %d, want %d: %s", step.name, code, step.code, out)
		}
		if step.status != 0 {
			if diff := cmp.Diff(step.status, status(step.key)); diff != "" {
				t.Errorf("%s: status of a request (-want +got):\n%s", step.name, diff)
			}
		}
		t.Logf("%s: %s", step.name, out)
	}
	f.processes["side-engine-2"].signal(t, syscall.SIGSTOP)
	out, err := f.runCommand("--timeout", "2s", "key", "grant", "new", "--tenant", "lantern", "--sha256", other)
	if err == nil || !strings.Contains(out, "side-engine-2 at") || !strings.Contains(out, "1 of 4") {
		t.Errorf("with one process paused: %v: %s", err, out)
	}
	f.processes["side-engine-2"].signal(t, syscall.SIGCONT)
}
