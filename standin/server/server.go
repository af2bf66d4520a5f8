// Package server runs one stand-in: an HTTP server, and an event loop that
// answers its requests.
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

// inboxCapacity is the number of requests that may wait for the handler.
const inboxCapacity = 8192

// Config holds the construction parameters of a Server.
type Config struct {
	Name     string
	Address  string // IP:port to listen on
	Handler  supervisor.Handler
	Period   time.Duration        // time between the handler's ticks
	Services []supervisor.Service // further threads of the stand-in
	Log      *logrus.Entry
}

// Server is the supervision tree of one stand-in.
type Server struct {
	supervisor *supervisor.Supervisor
}

// New returns a Server. It listens once Serve runs.
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
	for _, service := range config.Services {
		s.supervisor.Add(service)
	}
	return s
}

// Serve runs the stand-in until ctx ends.
func (s *Server) Serve(ctx context.Context) error { return s.supervisor.Serve(ctx) }

// Drain returns a closed channel: a stand-in stops without finishing open
// requests.
func (s *Server) Drain(context.Context) (<-chan struct{}, error) {
	done := make(chan struct{})
	close(done)
	return done, nil
}

// ReplyJSON answers a call with a status and value as JSON.
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

// ReplyStatus answers a call with a status and its text as JSON.
func ReplyStatus(call *httpserver.Call, status int) {
	ReplyJSON(call, status, struct {
		Status string `json:"status"`
	}{Status: fasthttp.StatusMessage(status)})
}
