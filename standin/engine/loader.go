package engine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Limits of a loader.
const (
	queueCapacity = 512 // loads that may wait
	fetchThreads  = 4   // loads at once
	fetchTimeout  = time.Minute
	retryInterval = 100 * time.Millisecond // until the store is asked again
)

// LoaderConfig holds the construction parameters of a Loader.
type FetcherConfig struct {
	Store string // IP:port of the weight store; empty for loads that take no time
}

// Loader is responsible for fetching weights from the store.
type Fetcher struct {
	config   FetcherConfig
	jobs     *ring.Ring
	finished *ring.Ring
	http     *fasthttp.HostClient
}

// load is one model or adapter to fetch.
type fetchJob struct {
	name    string
	adapter bool
}

// NewLoader returns a loader.
func NewFetcher(config FetcherConfig) *Fetcher {
	return &Fetcher{
		config:   config,
		jobs:     ring.New(ring.Config{Name: "loads", Capacity: queueCapacity}),
		finished: ring.New(ring.Config{Name: "loaded", Capacity: queueCapacity}),
		http:     &fasthttp.HostClient{Addr: config.Store, MaxConns: fetchThreads, NoDefaultUserAgentHeader: true},
	}
}

// Services returns the loader's threads, to be added to a crew.
func (l *Fetcher) Services() []supervisor.Service {
	services := make([]supervisor.Service, 0, fetchThreads)
	for range fetchThreads {
		services = append(services, &fetchWorker{fetcher: l})
	}
	return services
}

// begin hands a load over and reports whether there was room for it.
func (l *Fetcher) enqueue(name string, adapter bool) bool {
	return l.jobs.Put(fetchJob{name: name, adapter: adapter}) == nil
}

// done returns the loads that have ended since the last call.
func (l *Fetcher) takeFinished() []string {
	var names []string
	items := make([]any, l.finished.Depth())
	for _, item := range items[:l.finished.Drain(items)] {
		names = append(names, item.(string))
	}
	return names
}

// fetcher is responsible for one load at a time.
type fetchWorker struct {
	fetcher *Fetcher
}

// String returns the duty's name.
func (*fetchWorker) String() string { return "fetcher" }

// Serve fetches until ctx ends.
func (f *fetchWorker) Serve(ctx context.Context) error {
	for {
		job, err := f.fetcher.jobs.Take(ctx)
		if err != nil {
			return err
		}
		next, ok := job.(fetchJob)
		if !ok {
			continue
		}
		if err := f.fetch(ctx, next); err != nil {
			return err
		}
		if err := f.fetcher.finished.PutWithin(ctx, next.name, fetchTimeout); err != nil {
			return err
		}
	}
}

// fetch asks the store until it lets the load through.
func (f *fetchWorker) fetch(ctx context.Context, next fetchJob) error {
	if f.fetcher.config.Store == "" {
		return nil
	}
	path := "/load"
	if next.adapter {
		path = "/load/adapter"
	}
	timer := time.NewTicker(retryInterval)
	defer timer.Stop()
	for {
		status, _, err := f.fetcher.http.GetTimeout(nil, "http://"+f.fetcher.config.Store+path+"?name="+next.name, fetchTimeout)
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
