package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
)

const fastStep = 2 * time.Millisecond

func TestCallerRequests(t *testing.T) {
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.addService("booking-1")
	f.addEntry("entry-1", "")
	f.apply()
	cases := map[string]struct {
		call   requestConfig
		status int
		code   string // error code; empty if the request succeeds
		has    string // text in the body
	}{
		"streamed chat":       {call: chatRequest(tenantKey, 3), status: 200, has: "data: [DONE]"},
		"unstreamed chat":     {call: requestConfig{path: "/v1/chat/completions", key: tenantKey, body: chatBody(3, false)}, status: 200, has: `"content":"token0 token1 token2 "`},
		"completion":          {call: requestConfig{path: "/v1/completions", key: tenantKey, body: `{"model":"trail-writer","prompt":"x","max_tokens":2}`}, status: 200, has: `"text":"token0 token1 "`},
		"models":              {call: requestConfig{method: "GET", path: "/v1/models", key: tenantKey}, status: 200, has: `"id":"trail-writer"`},
		"booking":             {call: requestConfig{path: "/bookings/today", key: otherTenantKey, body: "gate 4"}, status: 201, has: `"tenant":"twisungane"`},
		"no key":              {call: chatRequest("", 3), status: 401, code: "missing_api_key"},
		"unknown key":         {call: chatRequest("guess", 3), status: 401, code: "invalid_api_key"},
		"bad JSON":            {call: requestConfig{path: "/v1/chat/completions", key: tenantKey, body: "{"}, status: 400, code: "invalid_json"},
		"no model":            {call: requestConfig{path: "/v1/chat/completions", key: tenantKey, body: "{}"}, status: 400, code: "missing_model"},
		"no messages":         {call: requestConfig{path: "/v1/chat/completions", key: tenantKey, body: `{"model":"trail-writer"}`}, status: 400, code: "missing_messages"},
		"no output":           {call: requestConfig{path: "/v1/completions", key: tenantKey, body: `{"model":"trail-writer","prompt":"x","max_tokens":0}`}, status: 400, code: "invalid_max_tokens"},
		"unknown model":       {call: requestConfig{path: "/v1/completions", key: tenantKey, body: `{"model":"m","prompt":"x"}`}, status: 404, code: "model_not_found"},
		"unknown path":        {call: requestConfig{path: "/elsewhere", key: tenantKey}, status: 404, code: "unknown_path"},
		"unknown path of API": {call: requestConfig{path: "/v1/images", key: tenantKey}, status: 404, code: "unknown_path"},
		"wrong method":        {call: requestConfig{method: "GET", path: "/v1/chat/completions", key: tenantKey}, status: 405, code: "method_not_allowed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := f.call(0, tc.call)
			if got.err != nil {
				t.Fatal(got.err)
			}
			if diff := cmp.Diff(tc.status, got.status); diff != "" {
				t.Errorf("status (-want +got):\n%s\n%s", diff, got.body)
			}
			if !strings.Contains(got.body, tc.has) {
				t.Errorf("body %q lacks %q", got.body, tc.has)
			}
			if tc.code == "" {
				return
			}
			var refusal struct {
				Error struct{ Code, Message string } `json:"error"`
			}
			if err := json.Unmarshal([]byte(got.body), &refusal); err != nil {
				t.Fatalf("error body %q: %v", got.body, err)
			}
			if diff := cmp.Diff(tc.code, refusal.Error.Code); diff != "" {
				t.Errorf("code (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(httpserver.NotRun, got.header.Get(httpserver.OutcomeHeader)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEntryServesWithAllDescriptorsInUse keeps more connections of callers open than an
// entry has descriptors. Without a limit below them its HTTP server ended for good.
func TestEntryServesWithAllDescriptorsInUse(t *testing.T) {
	const descriptors, callers = 256, 400
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.descriptors = descriptors
	f.addEntry("entry-1", "")
	f.apply()
	answered := 0
	for range callers {
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(client.CloseIdleConnections)
		request, err := http.NewRequest(http.MethodGet, "http://"+f.entryAddresses[0]+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+tenantKey)
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			answered++
		}
		time.Sleep(10 * time.Millisecond) // the connections that were opened first become idle
	}
	if diff := cmp.Diff(callers, answered); diff != "" {
		t.Errorf("answered requests (-want +got):\n%s", diff)
	}
	if got := f.call(0, chatRequest(tenantKey, 3)); got.err != nil || got.status != http.StatusOK {
		t.Errorf("status %d, error %v after the burst", got.status, got.err)
	}
}

func TestBackendServersReceiveNoKey(t *testing.T) {
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.addService("booking-1")
	f.addEntry("entry-1", "")
	f.apply()
	secret := map[string]string{"Cookie": "session=" + tenantKey, "X-Api-Key": tenantKey, "Proxy-Authorization": "Bearer " + tenantKey}
	calls := map[string]requestConfig{
		"chat":    {path: "/v1/chat/completions", key: tenantKey, body: chatBody(2, false), header: secret},
		"booking": {path: "/bookings", key: tenantKey, body: "gate 4", header: secret},
	}
	for name, call := range calls {
		if got := f.call(0, call); got.err != nil || got.status >= 300 {
			t.Fatalf("%s: status %d, %v", name, got.status, got.err)
		}
	}
	seen := map[string]string{"engine-1": f.received("engine-1").Bytes, "booking-1": f.received("booking-1").Bytes}
	for backend, bytes := range seen {
		if bytes == "" {
			t.Errorf("%s recorded no received bytes", backend)
		}
		if strings.Contains(bytes, tenantKey) || strings.Contains(bytes, fleetstate.HashKey(tenantKey)) {
			t.Errorf("%s received the caller's key", backend)
		}
	}
}

func TestGracefulStopKeepsStreams(t *testing.T) {
	const streams, tokens = 50, 100
	cases := map[string]struct {
		stops []string
	}{
		"an entry": {stops: []string{"entry-1"}},
		"a side":   {stops: []string{"side-engine-1"}},
		"both":     {stops: []string{"entry-1", "side-engine-1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.addEngine("engine-1", streams, 10*time.Millisecond)
			f.addEngine("engine-2", streams, 10*time.Millisecond)
			f.addEntry("entry-1", "")
			f.addEntry("entry-2", "")
			f.apply()
			answers := make([]answer, streams)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() { answers[i] = f.call(0, chatRequest(tenantKey, tokens)) })
			}
			f.awaitRuns(streams, "engine-1", "engine-2")
			for _, stop := range tc.stops {
				f.processes[stop].signal(t, syscall.SIGTERM)
			}
			f.awaitNotReady(tc.stops[0])
			if err := checkChat(f.call(1, chatRequest(tenantKey, 3)), 3); err != nil {
				t.Errorf("new request during the stop: %v", err)
			}
			group.Wait()
			for i, got := range answers {
				if err := checkChat(got, tokens); err != nil {
					t.Errorf("stream %d: %v", i, err)
				}
			}
			for _, stop := range tc.stops {
				if code := f.processes[stop].wait(t); code != 0 {
					t.Errorf("%s exited with %d\n%s", stop, code, f.processes[stop].log)
				}
			}
		})
	}
}

// awaitRuns waits until the backend servers have begun at least want requests
// together.
func (f *fleet) awaitRuns(want int, engines ...string) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		runs := 0
		for _, engine := range engines {
			runs += f.received(engine).Runs
		}
		if runs >= want {
			return
		}
	}
	f.t.Fatalf("the engines did not begin %d requests", want)
}

// awaitNotReady waits until an instance is not ready or does not answer.
func (f *fleet) awaitNotReady(name string) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + f.operatorAddresses[name] + "/readyz")
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return
		}
	}
	f.t.Fatalf("%s is still ready", name)
}

func TestRestartedSideGetsRequests(t *testing.T) {
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.addEntry("entry-1", "")
	f.apply()
	f.processes["side-engine-1"].signal(t, syscall.SIGKILL)
	<-f.processes["side-engine-1"].exited
	// The entry has detected the failure once it has no side left.
	f.awaitCode("no_backend_available")
	f.startSide("side-engine-1")
	f.awaitCode("")
}

// awaitCode repeats a call until the answer has the error code, or succeeds if
// code is empty.
func (f *fleet) awaitCode(code string) {
	f.t.Helper()
	var got answer
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		got = f.call(0, chatRequest(tenantKey, 2))
		if code == "" && checkChat(got, 2) == nil || code != "" && strings.Contains(got.body, code) {
			return
		}
	}
	f.t.Fatalf("last answer: status %d: %s, want %q", got.status, got.body, code)
}

// TestEntryStopAnswersRequestsThatArrivedInPart guards against connections that the end of
// the process closes while their requests arrive.
func TestEntryStopAnswersRequestsThatArrivedInPart(t *testing.T) {
	cases := map[string]struct{ rest string }{
		"the rest comes during the stop": {rest: "  }"},
		"no rest":                        {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.addService("booking-1")
			f.processSettings = "drain-limit = 3s\n"
			f.addEntry("entry-1", "")
			f.apply()
			conn, err := net.Dial("tcp", f.entryAddresses[0])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "POST /bookings/today HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+otherTenantKey+"\r\nContent-Length: 4\r\n\r\n{"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the entry reads it
			f.processes["entry-1"].signal(t, syscall.SIGTERM)
			time.Sleep(time.Second)
			if _, err := io.WriteString(conn, tc.rest); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if diff := cmp.Diff([]any{http.StatusServiceUnavailable, httpserver.NotRun}, []any{response.StatusCode, response.Header.Get(httpserver.OutcomeHeader)}); diff != "" {
				t.Errorf("status and outcome (-want +got):\n%s", diff)
			}
			f.processes["entry-1"].wait(t)
		})
	}
}
