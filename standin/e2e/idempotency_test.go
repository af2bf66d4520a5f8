package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpserver"
)

// bookingRequest returns a booking with an idempotency key, so that it runs at
// most once.
func bookingRequest(body, key string) requestConfig {
	return requestConfig{path: "/bookings/today", key: otherTenantKey, body: body, header: map[string]string{"Idempotency-Key": key}}
}

// newBookingFleet starts a booking service with its side and two entries;
// settings are further lines of the entries' settings files.
func newBookingFleet(t *testing.T, settings string) *fleet {
	f := newFleet(t)
	f.addService("booking-1")
	f.addEntry("entry-1", settings)
	f.addEntry("entry-2", settings)
	f.apply()
	return f
}

// setFaults sets the faults of the stand-in at address.
func (f *fleet) setFaults(address, body string) {
	f.t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("fault %s: status %d", body, response.StatusCode)
	}
}

// kill kills a process and waits for its exit.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.processes[name].signal(f.t, syscall.SIGKILL)
	f.processes[name].wait(f.t)
}

func TestBookingRunsOnceAfterKills(t *testing.T) {
	cases := map[string]struct {
		kill    []string // processes killed while the booking runs
		restart bool     // restart the side before the booking is repeated
	}{
		"entry":                    {kill: []string{"entry-1"}},
		"side":                     {kill: []string{"side-booking-1"}, restart: true},
		"entry and side":           {kill: []string{"entry-1", "side-booking-1"}, restart: true},
		"entry, side not replaced": {kill: []string{"entry-1", "side-booking-1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newBookingFleet(t, "[booking]\nwait = 200ms\n")
			f.setFaults(f.backendAddresses["booking-1"], `{"hold":true}`)
			first := make(chan answer, 1)
			go func() { first <- f.call(0, bookingRequest("gate 4", "k1")) }()
			f.awaitRuns(1, "booking-1")
			for _, process := range tc.kill {
				f.kill(process)
			}
			if got := <-first; got.err == nil && got.header.Get(httpserver.OutcomeHeader) != httpserver.MayHaveRun {
				t.Errorf("first answer: status %d, outcome %q", got.status, got.header.Get(httpserver.OutcomeHeader))
			}
			if tc.restart {
				f.startSide("side-booking-1")
				f.awaitOK("side-booking-1", "http://"+f.operatorAddresses["side-booking-1"]+"/readyz")
			}
			f.setFaults(f.backendAddresses["booking-1"], `{"hold":false}`)
			for range 3 {
				got := f.call(1, bookingRequest("gate 4", "k1"))
				if diff := cmp.Diff(httpserver.MayHaveRun, got.header.Get(httpserver.OutcomeHeader)); diff != "" {
					t.Errorf("outcome of a repeated booking (-want +got):\n%s\n%s", diff, got.body)
				}
			}
			if diff := cmp.Diff(1, f.received("booking-1").Runs); diff != "" {
				t.Errorf("bookings made (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRepeatedBookingReturnsFirstAnswer(t *testing.T) {
	f := newBookingFleet(t, "")
	cases := map[string]struct {
		fault string // fault of the log service during the bookings
		call  requestConfig
	}{
		"no fault":                  {call: bookingRequest("gate 1", "k1")},
		"answer of the append lost": {fault: `{"lose_answers":1}`, call: bookingRequest("gate 2", "k2")},
		"log slow":                  {fault: `{"slow_millis":200}`, call: bookingRequest("gate 3", "k3")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before := f.received("booking-1").Runs
			if tc.fault != "" {
				f.setFaults(f.logAddress, tc.fault)
				defer f.setFaults(f.logAddress, `{}`)
			}
			first := f.call(0, tc.call)
			if diff := cmp.Diff(http.StatusCreated, first.status); diff != "" {
				t.Fatalf("status (-want +got):\n%s\n%s", diff, first.body)
			}
			for at := range f.entryAddresses {
				if diff := cmp.Diff(first.body, f.call(at, tc.call).body); diff != "" {
					t.Errorf("repeated at entry %d (-want +got):\n%s", at, diff)
				}
			}
			if diff := cmp.Diff(before+1, f.received("booking-1").Runs); diff != "" {
				t.Errorf("bookings made (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBookingRefusedWhileLogDown(t *testing.T) {
	f := newBookingFleet(t, "")
	f.setFaults(f.logAddress, `{"down":true}`)
	for at := range f.entryAddresses {
		got := f.call(at, bookingRequest("gate 4", "k1"))
		want := []string{"503", httpserver.NotRun, "2"}
		if diff := cmp.Diff(want, []string{statusText(got), got.header.Get(httpserver.OutcomeHeader), got.header.Get("Retry-After")}); diff != "" {
			t.Errorf("refusal (-want +got):\n%s\n%s", diff, got.body)
		}
	}
	if diff := cmp.Diff(0, f.received("booking-1").Runs); diff != "" {
		t.Errorf("bookings made in the outage (-want +got):\n%s", diff)
	}
	f.setFaults(f.logAddress, `{}`)
	f.awaitBooking(1, bookingRequest("gate 4", "k1"))
	if diff := cmp.Diff(1, f.received("booking-1").Runs); diff != "" {
		t.Errorf("bookings made (-want +got):\n%s", diff)
	}
}

// TestBookingThatRanIsNotRefusedAsNotRun lets a backend server make bookings and answer
// with statuses that callers take to mean that it made none.
func TestBookingThatRanIsNotRefusedAsNotRun(t *testing.T) {
	f := newBookingFleet(t, "")
	type reply struct {
		Status  int
		Outcome string
	}
	cases := map[string]struct {
		status int
		key    string
		want   reply
	}{
		"503":                {status: 503, want: reply{502, httpserver.MayHaveRun}},
		"503, resent by key": {status: 503, key: "k503", want: reply{502, httpserver.MayHaveRun}},
		"429":                {status: 429, want: reply{502, httpserver.MayHaveRun}},
		"408":                {status: 408, want: reply{502, httpserver.MayHaveRun}},
		"421":                {status: 421, want: reply{502, httpserver.MayHaveRun}},
		"500":                {status: 500, want: reply{Status: 500}},
		"409":                {status: 409, want: reply{Status: 409}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f.setFaults(f.backendAddresses["booking-1"], fmt.Sprintf(`{"status":%d}`, tc.status))
			before := f.received("booking-1").Runs
			for entry := range f.entryAddresses {
				got := f.call(entry, bookingRequest("gate 4", tc.key))
				if diff := cmp.Diff(tc.want, reply{got.status, got.header.Get(httpserver.OutcomeHeader)}); diff != "" {
					t.Errorf("answer of entry %d (-want +got):\n%s\n%s", entry, diff, got.body)
				}
			}
			want := len(f.entryAddresses)
			if tc.key != "" {
				want = 1
			}
			if diff := cmp.Diff(before+want, f.received("booking-1").Runs); diff != "" {
				t.Errorf("bookings made (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopAnswersCallsThatAreStillOpen stops an entry while a backend server withholds an
// answer for longer than the stop may take. The connection was closed without an answer.
func TestStopAnswersCallsThatAreStillOpen(t *testing.T) {
	f := newFleet(t)
	f.addService("booking-1")
	f.processSettings = "drain-limit = 2s\n"
	f.addEntry("entry-1", "")
	f.apply()
	f.setFaults(f.backendAddresses["booking-1"], `{"hold":true}`)
	answers := make(chan answer, 1)
	go func() { answers <- f.call(0, bookingRequest("gate 4", "")) }()
	for f.received("booking-1").Runs == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	f.processes["entry-1"].signal(t, syscall.SIGTERM)
	got := <-answers
	want := []string{"504", httpserver.MayHaveRun, "<nil>"}
	if diff := cmp.Diff(want, []string{statusText(got), got.header.Get(httpserver.OutcomeHeader), fmt.Sprint(got.err)}); diff != "" {
		t.Errorf("answer (-want +got):\n%s\n%s", diff, got.body)
	}
	f.processes["entry-1"].wait(t)
}

func statusText(got answer) string {
	text, err := json.Marshal(got.status)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// awaitBooking repeats a booking until it succeeds.
func (f *fleet) awaitBooking(entry int, call requestConfig) answer {
	f.t.Helper()
	var got answer
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if got = f.call(entry, call); got.status == http.StatusCreated {
			return got
		}
	}
	f.t.Fatalf("no answer to a booking: status %d, %s, %v", got.status, got.body, got.err)
	return got
}

func TestGracefulStopKeepsBookings(t *testing.T) {
	const bookings = 5
	cases := map[string]struct {
		stops []string
	}{
		"an entry": {stops: []string{"entry-1"}},
		"a side":   {stops: []string{"side-booking-1"}},
		"both":     {stops: []string{"entry-1", "side-booking-1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newBookingFleet(t, "")
			f.setFaults(f.backendAddresses["booking-1"], `{"hold":true}`)
			answers := make(chan answer, bookings)
			for i := range bookings {
				go func() { answers <- f.call(0, bookingRequest("gate 4", string(rune('a'+i)))) }()
			}
			f.awaitRuns(bookings, "booking-1")
			for _, stop := range tc.stops {
				f.processes[stop].signal(t, syscall.SIGTERM)
			}
			f.awaitNotReady(tc.stops[0])
			f.setFaults(f.backendAddresses["booking-1"], `{"hold":false}`)
			made := make(map[string]bool)
			for range bookings {
				got := <-answers
				if diff := cmp.Diff(http.StatusCreated, got.status); diff != "" {
					t.Errorf("status (-want +got):\n%s\n%s", diff, got.body)
				}
				made[got.body] = true
			}
			for _, stop := range tc.stops {
				if code := f.processes[stop].wait(t); code != 0 {
					t.Errorf("%s exited with %d\n%s", stop, code, f.processes[stop].log)
				}
			}
			for i := range bookings {
				if got := f.call(1, bookingRequest("gate 4", string(rune('a'+i)))); !made[got.body] {
					t.Errorf("repeated booking: status %d, %s", got.status, got.body)
				}
			}
			if diff := cmp.Diff(bookings, f.received("booking-1").Runs); diff != "" {
				t.Errorf("bookings made (-want +got):\n%s", diff)
			}
		})
	}
}
