// Package keeperclient calls the keepers, the processes that run beside the
// backend servers: it requests adapters and sends each keeper the models that the
// plan assigns to its backend server.
package keeperclient

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/scheduler"
)

const (
	fetchTimeout  = 600 * time.Millisecond // limit on a call that requests an adapter
	assignTimeout = 400 * time.Millisecond // limit on a call that sends an assignment
	putTimeout    = 5 * time.Second        // longest wait for room in the scheduler's inbox
	// fetchLifetime is the time for which a request for an adapter may be queued. Behind
	// keepers that do not answer it could otherwise reach a backend server long after its
	// failure domain was evacuated, or after it has asked for a time without requests.
	fetchLifetime = 400 * time.Millisecond
)

// RPCClient calls one keeper.
type RPCClient interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// Inbox takes messages for the scheduler.
type Inbox interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of a Client.
type Config struct {
	Port      string // RPC port of every keeper
	RPCClient func(address string) RPCClient
	Scheduler Inbox
	Capacity  int // number of calls of each kind that may be queued
	Threads   int // number of threads that request adapters; half as many, rounded up, send assignments
	Log       *logrus.Entry
}

// Client queues calls to keepers and makes them on its own threads.
type Client struct {
	config  Config
	fetches *ring.Ring
	assigns *ring.Ring
}

// queuedFetch is the queued call that requests an adapter.
type queuedFetch struct {
	fetch scheduler.Fetch
	since time.Time
}

// assignment is the queued call that sends a keeper its part of a plan.
type assignment struct {
	address string // address of the keeper's backend server
	message protocol.Assign
}

// New returns a client. It makes calls while its services run.
func New(config Config) *Client {
	return &Client{
		config:  config,
		fetches: ring.New(ring.Config{Name: "fetches", Capacity: config.Capacity}),
		assigns: ring.New(ring.Config{Name: "assigns", Capacity: config.Capacity}),
	}
}

// Services returns the client's threads, to be added to a supervisor.
func (c *Client) Services() []supervisor.Service {
	var services []supervisor.Service
	for i := range c.config.Threads {
		services = append(services, &worker{client: c, jobs: c.fetches})
		if i%2 == 0 {
			services = append(services, &worker{client: c, jobs: c.assigns})
		}
	}
	return services
}

// Fetch queues a request for an adapter without blocking. Its result is put into
// the scheduler's inbox as a scheduler.FetchEnded.
func (c *Client) Fetch(fetch scheduler.Fetch) error {
	return c.fetches.Put(queuedFetch{fetch: fetch, since: time.Now()})
}

// Assign queues a message for the keeper of the backend server with the given
// address, without blocking.
func (c *Client) Assign(address string, message protocol.Assign) error {
	return c.assigns.Put(assignment{address: address, message: message})
}

// worker makes the calls of one queue, one at a time.
type worker struct {
	client *Client
	jobs   *ring.Ring
}

// String returns the thread's name, which is that of its ring.
func (w *worker) String() string { return w.jobs.Name() }

// Serve makes calls until ctx ends.
func (w *worker) Serve(ctx context.Context) error {
	for {
		job, err := w.jobs.Take(ctx)
		if err != nil {
			return err
		}
		switch j := job.(type) {
		case queuedFetch:
			if err := w.fetch(ctx, time.Now(), j); err != nil {
				return err
			}
		case assignment:
			w.assign(j)
		}
	}
}

// fetch requests an adapter from a keeper, unless the request has been queued for too
// long. It returns an error only if the result cannot be put into the scheduler's inbox.
func (w *worker) fetch(ctx context.Context, now time.Time, queued queuedFetch) error {
	f := queued.fetch
	age := now.Sub(queued.since)
	if age > fetchLifetime {
		return w.client.config.Scheduler.PutWithin(ctx, scheduler.NewFetchEnded(f, 0), putTimeout)
	}
	var fetched protocol.Fetched
	message := protocol.NewFetch(protocol.FetchConfig{Model: f.Model(), Adapter: f.Adapter(), Age: age})
	if err := w.rpcClient(f.Address()).Call(protocol.FetchMethod, message, &fetched, fetchTimeout); err != nil {
		w.client.config.Log.WithFields(logrus.Fields{"event": "fetch", "backend": f.Backend(), "adapter": f.Adapter()}).WithError(err).Debug("adapter not fetched")
	}
	return w.client.config.Scheduler.PutWithin(ctx, scheduler.NewFetchEnded(f, fetched.KeptFor()), putTimeout)
}

func (w *worker) assign(a assignment) {
	if err := w.rpcClient(a.address).Call(protocol.AssignMethod, a.message, &protocol.Nothing{}, assignTimeout); err != nil {
		w.client.config.Log.WithFields(logrus.Fields{"event": "assign", "backend": a.message.Backend()}).WithError(err).Debug("assignment not delivered to the keeper")
	}
}

// rpcClient returns the client for the keeper of the backend server with the
// given address: it runs on the same host.
func (w *worker) rpcClient(address string) RPCClient {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return w.client.config.RPCClient(net.JoinHostPort(host, w.client.config.Port))
}
