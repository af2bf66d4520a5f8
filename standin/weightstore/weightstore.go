// Package weightstore simulates a rate-limited weight store. It limits the number
// of model loads that begin per second. Loads share its bandwidth: beyond a number
// of concurrent loads, all of them slow down.
package weightstore

import (
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// adapterPath is the path of loads of adapters. All other paths load models.
const adapterPath = "/load/adapter"

// Config holds the construction parameters of a Store.
type Config struct {
	Rate               float64       // model loads that may begin per second
	Concurrent         int           // concurrent model loads at full speed; also the burst of Rate
	LoadTime           time.Duration // duration of one model load at full speed
	ConcurrentAdapters int           // concurrent adapter loads at full speed
	AdapterLoadTime    time.Duration // duration of one adapter load at full speed
}

// transfer is one load in progress.
type transfer struct {
	call      *httpserver.Call
	remaining time.Duration // time until the end at full speed
}

// Store tracks the loads in progress. Its methods run on the server's event
// loop.
type Store struct {
	config           Config
	available        float64 // model loads that may begin now
	lastTick         time.Time
	modelTransfers   []*transfer
	adapterTransfers []*transfer
	completed        int
}

// New returns a Store without loads.
func New(config Config) *Store { return &Store{config: config} }

// Start allows a full burst of model loads.
func (s *Store) Start(now time.Time) error {
	s.available, s.lastTick = float64(s.config.Concurrent), now
	return nil
}

// Tick advances all loads and answers those that have ended.
func (s *Store) Tick(now time.Time) error {
	elapsed := now.Sub(s.lastTick)
	s.lastTick = now
	s.available = min(s.available+elapsed.Seconds()*s.config.Rate, float64(s.config.Concurrent))
	s.modelTransfers = s.advance(s.modelTransfers, elapsed, s.config.Concurrent)
	s.adapterTransfers = s.advance(s.adapterTransfers, elapsed, s.config.ConcurrentAdapters)
	return nil
}

// Handle begins a load. It refuses model loads beyond the rate with status 429.
func (s *Store) Handle(_ time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	if string(call.Request().URI().Path()) == adapterPath {
		s.adapterTransfers = append(s.adapterTransfers, &transfer{call: call, remaining: s.config.AdapterLoadTime})
		return nil
	}
	if s.available < 1 {
		server.ReplyStatus(call, fasthttp.StatusTooManyRequests)
		return nil
	}
	s.available--
	s.modelTransfers = append(s.modelTransfers, &transfer{call: call, remaining: s.config.LoadTime})
	return nil
}

// advance takes the elapsed time off the transfers and returns those that have
// not ended. With more than full of them, each advances proportionally slower.
func (s *Store) advance(transfers []*transfer, elapsed time.Duration, full int) []*transfer {
	if len(transfers) > full {
		elapsed = elapsed * time.Duration(full) / time.Duration(len(transfers))
	}
	var running []*transfer
	for _, t := range transfers {
		t.remaining -= elapsed
		if t.remaining > 0 {
			running = append(running, t)
			continue
		}
		s.completed++
		server.ReplyJSON(t.call, fasthttp.StatusOK, loadResult{Loads: s.completed})
	}
	return running
}

// loadResult is the JSON body that answers a load.
type loadResult struct {
	Loads int `json:"loads"` // total number of loads that the store has completed
}
