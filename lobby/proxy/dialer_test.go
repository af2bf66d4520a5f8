package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/panjf2000/gnet/v2"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
)

// fakeLoop is an event loop that only takes connections, in the way of a test.
type fakeLoop struct {
	gnet.EventLoop

	enroll func(conn gnet.Conn) <-chan gnet.RegisteredResult
}

// Enroll takes a connection.
func (l fakeLoop) Enroll(ctx context.Context, _ net.Conn) (<-chan gnet.RegisteredResult, error) {
	return l.enroll(fakeConn{context: gnet.FromContext(ctx)}), nil
}

// Execute does nothing: the test drains the inbox.
func (fakeLoop) Execute(context.Context, gnet.Runnable) error { return nil }

// fakeConn is a connection of a fakeLoop.
type fakeConn struct {
	gnet.Conn

	context any
}

// Context returns the backendConn.
func (c fakeConn) Context() any { return c.context }

// dialledConn is a connection that has been dialled and records that it is closed.
type dialledConn struct {
	net.Conn

	closed *bool
}

// Close closes the connection.
func (c dialledConn) Close() error {
	*c.closed = true
	return nil
}

// dialRuns is the number of dials in each case of TestDialsAreCountedOnce. Of a result and the
// end of the event loop that come together, the dialer sees either first.
const dialRuns = 64

// TestDialsAreCountedOnce ends dials in each way in which the event loop takes a connection or
// not. One that had opened just before the event loop ended was counted out twice, and one
// that the event loop never opened was counted for ever.
func TestDialsAreCountedOnce(t *testing.T) {
	result := func(results ...gnet.RegisteredResult) <-chan gnet.RegisteredResult {
		c := make(chan gnet.RegisteredResult, len(results))
		for _, r := range results {
			c <- r
		}
		return c
	}
	cases := map[string]struct {
		opens   bool // the event loop opens the connection
		ends    bool // the event loop ends
		results []gnet.RegisteredResult
		want    int // connections of each dial
	}{
		"opened":                          {opens: true, results: []gnet.RegisteredResult{{}}, want: 1},
		"opened before the loop ended":    {opens: true, ends: true, results: []gnet.RegisteredResult{{}}, want: 1},
		"opened, result after the end":    {opens: true, ends: true, want: 1},
		"not opened before the loop ends": {ends: true},
		"not taken":                       {results: []gnet.RegisteredResult{{Err: errors.New("not taken")}}},
		"taken, but never opened":         {results: []gnet.RegisteredResult{{}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Scheduler: ring.New(ring.Config{Name: "test", Capacity: dialRuns}), Capacity: dialRuns, Descriptors: 1024, Log: testkit.DiscardLog()})
			closed := false
			p.config.Dial = func(string, time.Duration) (net.Conn, error) { return dialledConn{closed: &closed}, nil }
			run := newLoopRun()
			run.start(fakeLoop{enroll: func(conn gnet.Conn) <-chan gnet.RegisteredResult {
				if tc.opens {
					p.OnOpen(conn)
				}
				return result(tc.results...)
			}})
			if tc.ends {
				run.end()
			}
			p.run.Store(run)
			target := newPool(p, "i-1", "")
			target.maxOpen = dialRuns
			p.pools["i-1"] = target
			d := &dialer{proxy: p, dials: p.dials}
			for range dialRuns {
				target.waiting = append(target.waiting, &exchange{}) // one that has ended
				target.dial()
				job, err := p.dials.Take(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				if err := d.dial(t.Context(), job.(dialRequest)); err != nil {
					t.Fatal(err)
				}
				if err := p.drainInbox(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			got := []int{p.openConnections(), target.established(), p.dials.Depth()}
			if diff := cmp.Diff([]int{tc.want * dialRuns, tc.want * dialRuns, 0}, got); diff != "" {
				t.Errorf("connections of the proxy, open ones of the pool, and dials for no request (-want +got):\n%s", diff)
			}
			if len(tc.results) == 0 && !closed {
				t.Error("a connection that the event loop has left is not closed")
			}
		})
	}
}
