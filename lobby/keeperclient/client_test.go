package keeperclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/keeperclient"
	"sesamewell.example/lobby/scheduler"
)

// keeper is a fake keeper that returns a fixed answer.
type keeper struct {
	kept  time.Duration
	err   error
	calls chan string
}

func (k *keeper) Call(method string, args, reply any, _ time.Duration) error {
	if fetched, ok := reply.(*protocol.Fetched); ok {
		*fetched = protocol.NewFetched(protocol.FetchedConfig{KeptFor: k.kept})
	}
	k.calls <- method
	return k.err
}

func TestKeeperIsCalledOnTheHostOfItsBackendServer(t *testing.T) {
	cases := map[string]struct {
		keeper keeper
		kept   time.Duration
	}{
		"adapter loaded":     {keeper: keeper{kept: time.Second}, kept: time.Second},
		"keeper unreachable": {keeper: keeper{err: errors.New("unreachable")}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			log := testkit.DiscardLog()
			tc.keeper.calls = make(chan string, 8)
			addresses := make(chan string, 8)
			inbox := ring.New(ring.Config{Name: "test", Capacity: 8})
			client := keeperclient.New(keeperclient.Config{
				Port: "7000", Scheduler: inbox, Capacity: 8, Threads: 2, Log: log,
				RPCClient: func(address string) keeperclient.RPCClient {
					addresses <- address
					return &tc.keeper
				},
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, service := range client.Services() {
				go func() { _ = service.Serve(ctx) }()
			}
			fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 3, Backend: "e1", Address: "10.0.0.7:8400", Model: "m", Adapter: "a1"})
			if err := client.Fetch(fetch); err != nil {
				t.Fatal(err)
			}
			got, err := inbox.Take(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(scheduler.NewFetchEnded(fetch, tc.kept), got, cmp.AllowUnexported(scheduler.FetchEnded{}, scheduler.Fetch{})); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if err := client.Assign("10.0.0.8:8400", protocol.NewAssign(protocol.AssignConfig{Backend: "e2"})); err != nil {
				t.Fatal(err)
			}
			want := []string{protocol.FetchMethod, protocol.AssignMethod, "10.0.0.7:7000", "10.0.0.8:7000"}
			if diff := cmp.Diff(want, []string{<-tc.keeper.calls, <-tc.keeper.calls, <-addresses, <-addresses}); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}
