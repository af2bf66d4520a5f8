package httpserver_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/httpserver"
)

// TestCausesAreLoggedOncePerPeriod guards against a log that grows with the number of
// abusive clients.
func TestCausesAreLoggedOncePerPeriod(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	causes := httpserver.NewCauses(logrus.NewEntry(log))
	now := time.Unix(1000, 0)
	for n := range 1000 {
		causes.Record(now.Add(time.Duration(n)*time.Millisecond), httpserver.Shed, "127.0.0.1")
	}
	causes.Record(now, httpserver.Flood, "127.0.0.1")
	causes.Record(now.Add(time.Minute), httpserver.Shed, "127.0.0.1")
	got := []int{strings.Count(out.String(), "\n"), strings.Count(out.String(), "cause=shed"), strings.Count(out.String(), "clients=1000")}
	if diff := cmp.Diff([]int{3, 2, 1}, got); diff != "" {
		t.Errorf("lines, those of one cause and those with the count since (-want +got):\n%s\n%s", diff, out.String())
	}
}

// TestLastRefusalsAreLogged guards against clients that leave no trace because the process
// ends before their cause is due again.
func TestLastRefusalsAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	causes := httpserver.NewCauses(logrus.NewEntry(log))
	now := time.Unix(1000, 0)
	for range 3 {
		fragment := httpserver.NewFragment(httpserver.FragmentConfig{Wire: 7, Unread: 7, ID: "r1"})
		causes.RecordFragment(now, httpserver.Unfinished, "127.0.0.1", fragment)
	}
	out.Reset()
	causes.Flush(now)
	causes.Flush(now)
	got := []int{strings.Count(out.String(), "\n"), strings.Count(out.String(), "clients=2"), strings.Count(out.String(), "request=r1")}
	if diff := cmp.Diff([]int{1, 1, 1}, got); diff != "" {
		t.Errorf("lines, those with the count and those with the request (-want +got):\n%s\n%s", diff, out.String())
	}
}

// TestFragmentAccountsForEachByte checks what is logged of a request that has not arrived
// whole.
func TestFragmentAccountsForEachByte(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	cases := map[string]struct {
		arrived string
		want    logrus.Fields
	}{
		"nothing":           {want: logrus.Fields{"wire": int64(0), "taken": int64(0), "body": int64(0), "unread": int64(0)}},
		"part of the head":  {arrived: head, want: logrus.Fields{"wire": int64(26), "taken": int64(0), "body": int64(0), "unread": int64(26)}},
		"part of the body":  {arrived: head + "Content-Length: 9\r\n\r\nhi", want: logrus.Fields{"wire": int64(49), "taken": int64(49), "body": int64(2), "unread": int64(0)}},
		"part of the chunk": {arrived: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r", want: logrus.Fields{"wire": int64(62), "taken": int64(61), "body": int64(2), "unread": int64(1)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			reader := httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1024})
			used, err := reader.Read([]byte(tc.arrived))
			if err != nil {
				t.Fatal(err)
			}
			fragment := httpserver.NewFragment(httpserver.FragmentConfig{Wire: int64(len(tc.arrived)), Reader: reader, Unread: len(tc.arrived) - used})
			if diff := cmp.Diff(tc.want, fragment.Fields()); diff != "" {
				t.Errorf("fields (-want +got):\n%s", diff)
			}
		})
	}
}
