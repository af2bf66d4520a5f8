// Package storeroom is the stand-in for the rate-limited weight store. It lets
// so many loads begin in a second, and slows all of them down beyond a number
// of loads at once.
package storeroom

import (
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/stage"
)

// adapterPath is the path at which adapters are fetched.
const adapterPath = "/load/adapter"

// Config holds the construction parameters of a Store.
type Config struct {
	Rate        float64       // loads of models begun per second
	Concurrent  int           // loads of models at once at full speed
	Length      time.Duration // of one load of a model at full speed
	Adapters    int           // loads of adapters at once at full speed
	AdapterTime time.Duration // of one load of an adapter at full speed
}

// transfer is one load under way.
type transfer struct {
	call *httpserver.Call
	left time.Duration // at full speed
}

// Store is responsible for the loads under way.
type Store struct {
	config   Config
	allowed  float64
	advanced time.Time
	models   []*transfer
	adapters []*transfer
	loads    int
}

// New returns a store without loads.
func New(config Config) *Store { return &Store{config: config} }

// Start fills the allowance.
func (s *Store) Start(now time.Time) error {
	s.allowed, s.advanced = float64(s.config.Concurrent), now
	return nil
}

// Tick moves all loads on and answers those that have ended.
func (s *Store) Tick(now time.Time) error {
	elapsed := now.Sub(s.advanced)
	s.advanced = now
	s.allowed = min(s.allowed+elapsed.Seconds()*s.config.Rate, float64(s.config.Concurrent))
	s.models = s.advance(s.models, elapsed, s.config.Concurrent)
	s.adapters = s.advance(s.adapters, elapsed, s.config.Adapters)
	return nil
}

// Handle begins a load or refuses it while the rate is used up.
func (s *Store) Handle(_ time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	if string(call.Request().URI().Path()) == adapterPath {
		s.adapters = append(s.adapters, &transfer{call: call, left: s.config.AdapterTime})
		return nil
	}
	if s.allowed < 1 {
		stage.ReplyStatus(call, fasthttp.StatusTooManyRequests)
		return nil
	}
	s.allowed--
	s.models = append(s.models, &transfer{call: call, left: s.config.Length})
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
		t.left -= elapsed
		if t.left > 0 {
			running = append(running, t)
			continue
		}
		s.loads++
		stage.ReplyJSON(t.call, fasthttp.StatusOK, answer{Loads: s.loads})
	}
	return running
}

// answer is the JSON form of the end of a load.
type answer struct {
	Loads int `json:"loads"` // that the store has served in all
}
