// Package stage runs one stand-in: an HTTP server and the duty that answers
// its requests.
package stage

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// capacity is the number of requests that may wait for a stand-in's duty.
const capacity = 8192

// Config holds the construction parameters of a Stage.
type Config struct {
	Name    string
	Address string
	Handler supervisor.Handler
	Period  time.Duration // time between the handler's ticks
	Helpers []supervisor.Service
	Log     *logrus.Entry
}

// Stage is responsible for one stand-in's supervision tree.
type Stage struct {
	crew *supervisor.Supervisor
}

// New returns a stage.
func New(config Config) *Stage {
	inbox := ring.New(ring.Config{Name: config.Name, Capacity: capacity})
	s := &Stage{crew: supervisor.New(supervisor.Config{Name: config.Name, Log: config.Log})}
	s.crew.Add(httpserver.New(httpserver.Config{
		Address:    config.Address,
		Inbox:      inbox,
		Log:        config.Log,
		MaxHeader:  httpserver.DefaultMaxHeader,
		MaxBody:    16 * httpserver.DefaultMaxBody,
		MaxUnsent:  16 * httpserver.DefaultMaxUnsent,
		MaxConns:   4 * httpserver.DefaultMaxConns,
		SlowSender: httpserver.DefaultSlowSender,
		Idle:       httpserver.DefaultIdle,
	}))
	s.crew.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: config.Name, Inbox: inbox, Handler: config.Handler, Period: config.Period}))
	for _, helper := range config.Helpers {
		s.crew.Add(helper)
	}
	return s
}

// Serve runs the stand-in until ctx ends.
func (s *Stage) Serve(ctx context.Context) error { return s.crew.Serve(ctx) }

// Drain reports at once: a stand-in stops without finishing its work.
func (s *Stage) Drain(context.Context) (<-chan struct{}, error) {
	done := make(chan struct{})
	close(done)
	return done, nil
}

// ReplyJSON ends a call with a JSON body.
func ReplyJSON(call *httpserver.Call, status int, value any) {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.SetContentType("application/json")
	body, err := json.Marshal(value)
	if err != nil {
		response.SetStatusCode(fasthttp.StatusInternalServerError)
		body = []byte(`{"error":"` + err.Error() + `"}`)
	}
	response.SetBodyRaw(body)
	call.Reply(response)
}

// ReplyStatus ends a call with a status and no more than its name.
func ReplyStatus(call *httpserver.Call, status int) {
	ReplyJSON(call, status, struct {
		Status string `json:"status"`
	}{Status: fasthttp.StatusMessage(status)})
}
