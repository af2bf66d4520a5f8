// Package errands calls the keepers, the processes beside the backend servers.
package errands

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
	fetchLimit  = 600 * time.Millisecond // on a call for an adapter
	assignLimit = 400 * time.Millisecond // on a call that brings a plan
	handOver    = 5 * time.Second        // longest wait for room in the steward's ring
)

// Line calls one keeper.
type Line interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// Inbox receives the steward's messages.
type Inbox interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Config holds the construction parameters of Errands.
type Config struct {
	Port     string // of every keeper's door
	Line     func(address string) Line
	Steward  Inbox
	Capacity int // calls that may wait
	Threads  int // calls for adapters at once; half as many bring plans
	Log      *logrus.Entry
}

// Errands is responsible for the threads that call keepers.
type Errands struct {
	config  Config
	fetches *ring.Ring
	assigns *ring.Ring
}

// assign is one plan for one keeper.
type assign struct {
	address string // of its backend server
	message notice.Assign
}

// New returns errands that are run once they are served.
func New(config Config) *Errands {
	return &Errands{
		config:  config,
		fetches: ring.New(ring.Config{Name: "fetches", Capacity: config.Capacity}),
		assigns: ring.New(ring.Config{Name: "assigns", Capacity: config.Capacity}),
	}
}

// Services returns the threads, to be added to a crew.
func (e *Errands) Services() []crew.Service {
	var services []crew.Service
	for i := range e.config.Threads {
		services = append(services, &runner{errands: e, jobs: e.fetches})
		if i%2 == 0 {
			services = append(services, &runner{errands: e, jobs: e.assigns})
		}
	}
	return services
}

// Fetch hands a request for an adapter over without blocking.
func (e *Errands) Fetch(fetch scheduler.Fetch) error { return e.fetches.Put(fetch) }

// Assign hands a plan over without blocking.
func (e *Errands) Assign(address string, message notice.Assign) error {
	return e.assigns.Put(assign{address: address, message: message})
}

// runner is responsible for one call at a time.
type runner struct {
	errands *Errands
	jobs    *ring.Ring
}

// String returns the thread's name.
func (r *runner) String() string { return r.jobs.Name() }

// Serve makes calls until ctx ends.
func (r *runner) Serve(ctx context.Context) error {
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
		case assign:
			r.assign(j)
		}
	}
}

// fetch asks a keeper for an adapter. Its error means that the steward cannot
// be told.
func (r *runner) fetch(ctx context.Context, f scheduler.Fetch) error {
	var fetched notice.Fetched
	message := notice.NewFetch(notice.FetchConfig{Model: f.Model(), Adapter: f.Adapter()})
	if err := r.line(f.Address()).Call(notice.FetchMethod, message, &fetched, fetchLimit); err != nil {
		r.errands.config.Log.WithFields(logrus.Fields{"event": "fetch", "backend": f.Backend(), "adapter": f.Adapter()}).WithError(err).Debug("adapter not fetched")
	}
	return r.errands.config.Steward.PutWithin(ctx, scheduler.NewFetchEnded(f, fetched.Kept()), handOver)
}

func (r *runner) assign(a assign) {
	if err := r.line(a.address).Call(notice.AssignMethod, a.message, &notice.Nothing{}, assignLimit); err != nil {
		r.errands.config.Log.WithFields(logrus.Fields{"event": "assign", "backend": a.message.Backend()}).WithError(err).Debug("keeper not told")
	}
}

// line returns the line to the keeper beside a backend server.
func (r *runner) line(address string) Line {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return r.errands.config.Line(net.JoinHostPort(host, r.errands.config.Port))
}
