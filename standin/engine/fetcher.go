package engine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Limits of a Fetcher.
const (
	queueCapacity = 512 // jobs that may wait, and results that may wait for the engine
	fetchThreads  = 4   // concurrent downloads
	fetchTimeout  = time.Minute
	retryInterval = 100 * time.Millisecond // wait between two calls for the same weights
)

// FetcherConfig holds the construction parameters of a Fetcher.
type FetcherConfig struct {
	Store string // IP:port of the weight store; if empty, loads take no time
}

// Fetcher downloads weights from the store on threads of its own.
type Fetcher struct {
	config   FetcherConfig
	jobs     *ring.Ring
	finished *ring.Ring
	http     *fasthttp.HostClient
}

// fetchJob is one model or adapter to download.
type fetchJob struct {
	name    string
	adapter bool
}

// NewFetcher returns a Fetcher. Its threads run once Services are added to a
// supervisor.
func NewFetcher(config FetcherConfig) *Fetcher {
	return &Fetcher{
		config:   config,
		jobs:     ring.New(ring.Config{Name: "loads", Capacity: queueCapacity}),
		finished: ring.New(ring.Config{Name: "loaded", Capacity: queueCapacity}),
		http:     &fasthttp.HostClient{Addr: config.Store, MaxConns: fetchThreads, NoDefaultUserAgentHeader: true},
	}
}

// Services returns the download threads, to be added to a supervisor.
func (f *Fetcher) Services() []supervisor.Service {
	services := make([]supervisor.Service, 0, fetchThreads)
	for range fetchThreads {
		services = append(services, &fetchWorker{fetcher: f})
	}
	return services
}

// enqueue queues a download and reports whether the queue had room.
func (f *Fetcher) enqueue(name string, adapter bool) bool {
	return f.jobs.Put(fetchJob{name: name, adapter: adapter}) == nil
}

// takeFinished returns the names whose download has finished since the last
// call.
func (f *Fetcher) takeFinished() []string {
	var names []string
	items := make([]any, f.finished.Depth())
	for _, item := range items[:f.finished.Drain(items)] {
		names = append(names, item.(string))
	}
	return names
}

// fetchWorker runs one download at a time.
type fetchWorker struct {
	fetcher *Fetcher
}

// String returns the thread's name, which supervision events carry.
func (*fetchWorker) String() string { return "fetcher" }

// Serve runs queued downloads until ctx ends.
func (w *fetchWorker) Serve(ctx context.Context) error {
	for {
		item, err := w.fetcher.jobs.Take(ctx)
		if err != nil {
			return err
		}
		job, ok := item.(fetchJob)
		if !ok {
			continue
		}
		if err := w.fetch(ctx, job); err != nil {
			return err
		}
		if err := w.fetcher.finished.PutWithin(ctx, job.name, fetchTimeout); err != nil {
			return err
		}
	}
}

// fetch calls the store until a download succeeds. The store refuses downloads
// beyond its rate.
func (w *fetchWorker) fetch(ctx context.Context, job fetchJob) error {
	if w.fetcher.config.Store == "" {
		return nil
	}
	path := "/load"
	if job.adapter {
		path = "/load/adapter"
	}
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		status, _, err := w.fetcher.http.GetTimeout(nil, "http://"+w.fetcher.config.Store+path+"?name="+job.name, fetchTimeout)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
