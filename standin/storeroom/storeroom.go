// Package storeroom is the stand-in for the rate-limited weight store.
package storeroom

import (
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/wicket"
	"sesamewell.example/standin/stage"
)

// Config holds the construction parameters of a Store.
type Config struct {
	Rate       float64 // loads begun per second
	Concurrent int     // loads at once at full speed
}

// Store is responsible for the loads in flight.
type Store struct {
	config   Config
	allowed  float64
	refilled time.Time
	loads    int
}

// New returns a store without loads.
func New(config Config) *Store { return &Store{config: config} }

// Start fills the allowance.
func (s *Store) Start(now time.Time) error {
	s.allowed, s.refilled = float64(s.config.Concurrent), now
	return nil
}

// Tick does nothing.
func (s *Store) Tick(time.Time) error { return nil }

// Handle begins a load or refuses it while the rate is used up.
func (s *Store) Handle(now time.Time, message any) error {
	call, ok := message.(*wicket.Call)
	if !ok {
		return nil
	}
	s.allowed = min(s.allowed+now.Sub(s.refilled).Seconds()*s.config.Rate, float64(s.config.Concurrent))
	s.refilled = now
	if s.allowed < 1 {
		stage.ReplyStatus(call, fasthttp.StatusTooManyRequests)
		return nil
	}
	s.allowed--
	s.loads++
	stage.ReplyJSON(call, fasthttp.StatusOK, struct {
		Loads int `json:"loads"`
	}{Loads: s.loads})
	return nil
}
