// Package errands calls the keepers, the processes beside the backend servers.
package keeperclient

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/lobby/scheduler"
)

const (
	fetchTimeout  = 600 * time.Millisecond // on a call for an adapter
	assignTimeout = 400 * time.Millisecond // on a call that brings a plan
	putTimeout    = 5 * time.Second        // longest wait for room in the steward's ring
)

// Line calls one keeper.
type RPCClient interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// Inbox receives the steward's messages.
type Inbox interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of Errands.
type Config struct {
	Port      string // of every keeper's door
	RPCClient func(address string) RPCClient
	Scheduler Inbox
	Capacity  int // calls that may wait
	Threads   int // calls for adapters at once; half as many bring plans
	Log       *logrus.Entry
}

// Errands is responsible for the threads that call keepers.
type Client struct {
	config  Config
	fetches *ring.Ring
	assigns *ring.Ring
}

// assign is one plan for one keeper.
type assignment struct {
	address string // of its backend server
	message notice.Assign
}

// New returns errands that are run once they are served.
func New(config Config) *Client {
	return &Client{
		config:  config,
		fetches: ring.New(ring.Config{Name: "fetches", Capacity: config.Capacity}),
		assigns: ring.New(ring.Config{Name: "assigns", Capacity: config.Capacity}),
	}
}

// Services returns the threads, to be added to a crew.
func (e *Client) Services() []crew.Service {
	var services []crew.Service
	for i := range e.config.Threads {
		services = append(services, &worker{client: e, jobs: e.fetches})
		if i%2 == 0 {
			services = append(services, &worker{client: e, jobs: e.assigns})
		}
	}
	return services
}

// Fetch hands a request for an adapter over without blocking.
func (e *Client) Fetch(fetch scheduler.Fetch) error { return e.fetches.Put(fetch) }

// Assign hands a plan over without blocking.
func (e *Client) Assign(address string, message notice.Assign) error {
	return e.assigns.Put(assignment{address: address, message: message})
}

// runner is responsible for one call at a time.
type worker struct {
	client *Client
	jobs   *ring.Ring
}

// String returns the thread's name.
func (r *worker) String() string { return r.jobs.Name() }

// Serve makes calls until ctx ends.
func (r *worker) Serve(ctx context.Context) error {
	for {
		job, err := r.jobs.Take(ctx)
		if err != nil {
			return err
		}
		switch j := job.(type) {
		case scheduler.Fetch:
			if err := r.fetch(ctx, j); err != nil {
				return err
			}
		case assignment:
			r.assign(j)
		}
	}
}

// fetch asks a keeper for an adapter. Its error means that the steward cannot
// be told.
func (r *worker) fetch(ctx context.Context, f scheduler.Fetch) error {
	var fetched notice.Fetched
	message := notice.NewFetch(notice.FetchConfig{Model: f.Model(), Adapter: f.Adapter()})
	if err := r.rpcClient(f.Address()).Call(notice.FetchMethod, message, &fetched, fetchTimeout); err != nil {
		r.client.config.Log.WithFields(logrus.Fields{"event": "fetch", "backend": f.Backend(), "adapter": f.Adapter()}).WithError(err).Debug("adapter not fetched")
	}
	return r.client.config.Scheduler.PutWithin(ctx, scheduler.NewFetchEnded(f, fetched.Kept()), putTimeout)
}

func (r *worker) assign(a assignment) {
	if err := r.rpcClient(a.address).Call(notice.AssignMethod, a.message, &notice.Nothing{}, assignTimeout); err != nil {
		r.client.config.Log.WithFields(logrus.Fields{"event": "assign", "backend": a.message.Backend()}).WithError(err).Debug("keeper not told")
	}
}

// line returns the line to the keeper beside a backend server.
func (r *worker) rpcClient(address string) RPCClient {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return r.client.config.RPCClient(net.JoinHostPort(host, r.client.config.Port))
}
