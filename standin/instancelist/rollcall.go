// Package rollcall is the stand-in for the platform's lagging list of live and
// leaving instances.
package instancelist

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// Instance is the JSON form of one line of the list.
type Instance struct {
	Name  string `json:"name"`
	State string `json:"state"` // live or leaving
}

// change is a new state that the list does not show yet.
type pendingChange struct {
	received  time.Time
	instances []Instance
}

// Config holds the construction parameters of a List.
type Config struct {
	Lag time.Duration // time from a change until the list shows it
}

// List is responsible for showing the instances as they were a while ago.
type List struct {
	config  Config
	visible []Instance
	pending []pendingChange
}

// New returns an empty list.
func New(config Config) *List { return &List{config: config, visible: []Instance{}} }

// Start does nothing: the list outlives a restart of the duty.
func (l *List) Start(time.Time) error { return nil }

// Tick shows the changes that are old enough.
func (l *List) Tick(now time.Time) error {
	for len(l.pending) > 0 && now.Sub(l.pending[0].received) >= l.config.Lag {
		l.visible = l.pending[0].instances
		l.pending = l.pending[1:]
	}
	return nil
}

// Handle replaces the list on POST and shows it otherwise.
func (l *List) Handle(now time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	if !call.Request().Header.IsPost() {
		server.ReplyJSON(call, fasthttp.StatusOK, l.visible)
		return nil
	}
	var lines []Instance
	if err := json.Unmarshal(call.Request().Body(), &lines); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return nil
	}
	l.pending = append(l.pending, pendingChange{received: now, instances: lines})
	server.ReplyStatus(call, fasthttp.StatusOK)
	return nil
}
