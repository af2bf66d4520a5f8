package guide

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Limits of a loader.
const (
	loadCapacity = 512 // loads that may wait
	loadThreads  = 4   // loads at once
	loadLimit    = time.Minute
	refusedPause = 100 * time.Millisecond // until the store is asked again
)

// LoaderConfig holds the construction parameters of a Loader.
type LoaderConfig struct {
	Store string // IP:port of the weight store; empty for loads that take no time
}

// Loader is responsible for fetching weights from the store.
type Loader struct {
	config LoaderConfig
	jobs   *ring.Ring
	ended  *ring.Ring
	http   *fasthttp.HostClient
}

// load is one model or adapter to fetch.
type load struct {
	name    string
	adapter bool
}

// NewLoader returns a loader.
func NewLoader(config LoaderConfig) *Loader {
	return &Loader{
		config: config,
		jobs:   ring.New(ring.Config{Name: "loads", Capacity: loadCapacity}),
		ended:  ring.New(ring.Config{Name: "loaded", Capacity: loadCapacity}),
		http:   &fasthttp.HostClient{Addr: config.Store, MaxConns: loadThreads, NoDefaultUserAgentHeader: true},
	}
}

// Services returns the loader's threads, to be added to a crew.
func (l *Loader) Services() []supervisor.Service {
	services := make([]supervisor.Service, 0, loadThreads)
	for range loadThreads {
		services = append(services, &fetcher{loader: l})
	}
	return services
}

// begin hands a load over and reports whether there was room for it.
func (l *Loader) begin(name string, adapter bool) bool {
	return l.jobs.Put(load{name: name, adapter: adapter}) == nil
}

// done returns the loads that have ended since the last call.
func (l *Loader) done() []string {
	var names []string
	items := make([]any, l.ended.Depth())
	for _, item := range items[:l.ended.Drain(items)] {
		names = append(names, item.(string))
	}
	return names
}

// fetcher is responsible for one load at a time.
type fetcher struct {
	loader *Loader
}

// String returns the duty's name.
func (*fetcher) String() string { return "fetcher" }

// Serve fetches until ctx ends.
func (f *fetcher) Serve(ctx context.Context) error {
	for {
		job, err := f.loader.jobs.Take(ctx)
		if err != nil {
			return err
		}
		next, ok := job.(load)
		if !ok {
			continue
		}
		if err := f.fetch(ctx, next); err != nil {
			return err
		}
		if err := f.loader.ended.PutWithin(ctx, next.name, loadLimit); err != nil {
			return err
		}
	}
}

// fetch asks the store until it lets the load through.
func (f *fetcher) fetch(ctx context.Context, next load) error {
	if f.loader.config.Store == "" {
		return nil
	}
	path := "/load"
	if next.adapter {
		path = "/load/adapter"
	}
	timer := time.NewTicker(refusedPause)
	defer timer.Stop()
	for {
		status, _, err := f.loader.http.GetTimeout(nil, "http://"+f.loader.config.Store+path+"?name="+next.name, loadLimit)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
