// Package stage runs one stand-in: an HTTP server and the duty that answers
// its requests.
package server

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
const inboxCapacity = 8192

// Config holds the construction parameters of a Stage.
type Config struct {
	Name     string
	Address  string
	Handler  supervisor.Handler
	Period   time.Duration // time between the handler's ticks
	Services []supervisor.Service
	Log      *logrus.Entry
}

// Stage is responsible for one stand-in's supervision tree.
type Server struct {
	supervisor *supervisor.Supervisor
}

// New returns a stage.
func New(config Config) *Server {
	inbox := ring.New(ring.Config{Name: config.Name, Capacity: inboxCapacity})
	s := &Server{supervisor: supervisor.New(supervisor.Config{Name: config.Name, Log: config.Log})}
	s.supervisor.Add(httpserver.New(httpserver.Config{
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
	s.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: config.Name, Inbox: inbox, Handler: config.Handler, Period: config.Period}))
	for _, helper := range config.Services {
		s.supervisor.Add(helper)
	}
	return s
}

// Serve runs the stand-in until ctx ends.
func (s *Server) Serve(ctx context.Context) error { return s.supervisor.Serve(ctx) }

// Drain reports at once: a stand-in stops without finishing its work.
func (s *Server) Drain(context.Context) (<-chan struct{}, error) {
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
