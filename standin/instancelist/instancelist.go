// Package instancelist simulates the platform's list of live and leaving
// instances, which shows changes only after a lag.
package instancelist

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// Instance is the JSON form of one list element.
type Instance struct {
	Name  string `json:"name"`
	State string `json:"state"` // live or leaving
}

// pendingChange is a new list that is not visible yet.
type pendingChange struct {
	received  time.Time
	instances []Instance
}

// Config holds the construction parameters of a List.
type Config struct {
	Lag time.Duration // time from a change until the list shows it
}

// List serves the instances as they were Config.Lag ago. Its methods
// run on the server's event loop.
type List struct {
	config  Config
	visible []Instance
	pending []pendingChange
}

// New returns an empty List.
func New(config Config) *List { return &List{config: config, visible: []Instance{}} }

// Start does nothing: the list survives a restart of the event loop.
func (l *List) Start(time.Time) error { return nil }

// Tick makes the changes visible whose lag has passed.
func (l *List) Tick(now time.Time) error {
	for len(l.pending) > 0 && now.Sub(l.pending[0].received) >= l.config.Lag {
		l.visible = l.pending[0].instances
		l.pending = l.pending[1:]
	}
	return nil
}

// Handle replaces the list on POST and returns the visible list for other
// methods.
func (l *List) Handle(now time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	if !call.Request().Header.IsPost() {
		server.ReplyJSON(call, fasthttp.StatusOK, l.visible)
		return nil
	}
	var instances []Instance
	if err := json.Unmarshal(call.Request().Body(), &instances); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return nil
	}
	l.pending = append(l.pending, pendingChange{received: now, instances: instances})
	server.ReplyStatus(call, fasthttp.StatusOK)
	return nil
}
