// Package storeroom is the stand-in for the rate-limited weight store. It lets
// so many loads begin in a second, and slows all of them down beyond a number
// of loads at once.
package weightstore

import (
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// adapterPath is the path at which adapters are fetched.
const adapterPath = "/load/adapter"

// Config holds the construction parameters of a Store.
type Config struct {
	Rate               float64       // loads of models begun per second
	Concurrent         int           // loads of models at once at full speed
	LoadTime           time.Duration // of one load of a model at full speed
	ConcurrentAdapters int           // loads of adapters at once at full speed
	AdapterLoadTime    time.Duration // of one load of an adapter at full speed
}

// transfer is one load under way.
type transfer struct {
	call      *httpserver.Call
	remaining time.Duration // at full speed
}

// Store is responsible for the loads under way.
type Store struct {
	config           Config
	available        float64
	lastTick         time.Time
	modelTransfers   []*transfer
	adapterTransfers []*transfer
	completed        int
}

// New returns a store without loads.
func New(config Config) *Store { return &Store{config: config} }

// Start fills the allowance.
func (s *Store) Start(now time.Time) error {
	s.available, s.lastTick = float64(s.config.Concurrent), now
	return nil
}

// Tick moves all loads on and answers those that have ended.
func (s *Store) Tick(now time.Time) error {
	elapsed := now.Sub(s.lastTick)
	s.lastTick = now
	s.available = min(s.available+elapsed.Seconds()*s.config.Rate, float64(s.config.Concurrent))
	s.modelTransfers = s.advance(s.modelTransfers, elapsed, s.config.Concurrent)
	s.adapterTransfers = s.advance(s.adapterTransfers, elapsed, s.config.ConcurrentAdapters)
	return nil
}

// Handle begins a load or refuses it while the rate is used up.
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

// advance moves transfers on, more slowly beyond the number that run at full
// speed, and returns those that have not ended.
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

// answer is the JSON form of the end of a load.
type loadResult struct {
	Loads int `json:"loads"` // that the store has served in all
}
