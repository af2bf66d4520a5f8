// Package admin serves the operators' pages of a process: health, readiness,
// metrics, status and recent traces.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
)

const (
	inboxCapacity = 64 // number of requests for operators' pages that may wait
	tickPeriod    = time.Second
	maxConns      = 64      // connections to the operators' pages
	maxBody       = 4 << 10 // bytes; no page takes a body
	maxHeld       = 4 << 20 // bytes of requests and answers that are held at once
)

// StatusSource provides the readiness and the status of the process. Its methods
// are called from the thread of the Server.
type StatusSource interface {
	// Ready returns nil if the process accepts work, or the reason why it
	// does not.
	Ready() error
	// Status returns the status, which is encoded as JSON.
	Status() any
}

// ErrBadQuery marks errors of a Page that the query caused.
var ErrBadQuery = errors.New("bad query")

// Page is a page in addition to those that every process has. Its method is called from
// the thread of the Server.
type Page interface {
	// Answer returns the content for a query, which is encoded as JSON.
	Answer(query *fasthttp.Args) (any, error)
}

// Config holds the construction parameters of a Server.
type Config struct {
	Address string // IP:port of the operators' pages
	Log     *logrus.Entry
	Status  StatusSource
	Tracer  *tracing.Tracer
	Rings   []*ring.Ring    // rings that are exported as metrics; see AddRing
	Pages   map[string]Page // further pages, by path
}

// Server answers requests for the operators' pages and supervises the threads that
// do so.
type Server struct {
	config     Config
	metrics    *metrics.Set
	supervisor *supervisor.Supervisor
}

// New returns a server of the operators' pages.
func New(config Config) *Server {
	s := &Server{config: config, metrics: metrics.NewSet()}
	inbox := ring.New(ring.Config{Name: "lantern", Capacity: inboxCapacity})
	for _, r := range append(config.Rings, inbox) {
		s.AddRing(r)
	}
	s.supervisor = supervisor.New(supervisor.Config{Name: "lantern", Log: config.Log})
	s.supervisor.Add(httpserver.New(httpserver.Config{
		Address:    config.Address,
		Inbox:      inbox,
		Log:        config.Log,
		MaxHeader:  httpserver.DefaultMaxHeader,
		MaxBody:    maxBody,
		MaxUnsent:  64 * httpserver.DefaultMaxUnsent,
		Account:    memory.NewBudgetOf(maxHeld),
		MaxConns:   maxConns,
		SlowSender: httpserver.DefaultSlowSender,
		Idle:       httpserver.DefaultIdle,
	}))
	s.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "lantern", Inbox: inbox, Handler: s, Period: tickPeriod}))
	return s
}

// Serve answers requests until ctx is done.
func (s *Server) Serve(ctx context.Context) error { return s.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (s *Server) String() string { return "lantern" }

// AddRing exports the depth, the capacity and the number of refused items of a
// ring as metrics.
func (s *Server) AddRing(r *ring.Ring) {
	label := fmt.Sprintf("{ring=%q}", r.Name())
	s.metrics.NewGauge("sesamewell_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	s.metrics.NewGauge("sesamewell_ring_capacity"+label, func() float64 { return float64(r.Capacity()) })
	s.metrics.NewGauge("sesamewell_ring_refused_total"+label, func() float64 { return float64(r.Refused()) })
}

// Start does nothing, since the pages have no state.
func (s *Server) Start(time.Time) error { return nil }

// Tick does nothing.
func (s *Server) Tick(time.Time) error { return nil }

// Handle answers one request for a page.
func (s *Server) Handle(_ time.Time, message any) error {
	if call, ok := message.(*httpserver.Call); ok {
		call.Reply(s.respond(call.Request()))
	}
	return nil
}

func (s *Server) respond(request *fasthttp.Request) *fasthttp.Response {
	path := string(request.URI().Path())
	response := &fasthttp.Response{}
	response.Header.SetContentType("text/plain; charset=utf-8")
	page, further := s.config.Pages[path]
	switch {
	case further:
		writePage(response, page, request.URI().QueryArgs())
	case path == "/healthz":
		response.SetBodyString("ok\n")
	case path == "/readyz":
		WriteReadiness(response, s.config.Status.Ready())
	case path == "/metrics":
		s.writeMetrics(response)
	case path == "/status":
		writeJSON(response, s.config.Status.Status())
	case strings.HasPrefix(path, "/traces/"):
		writeJSON(response, s.config.Tracer.Find(strings.TrimPrefix(path, "/traces/")))
	case strings.HasPrefix(path, "/requests/"):
		writeJSON(response, s.config.Tracer.FindRequest(strings.TrimPrefix(path, "/requests/")))
	default:
		response.SetStatusCode(fasthttp.StatusNotFound)
		response.SetBodyString("no such page; try /healthz, /readyz, /metrics, /status, /traces/ID or /requests/ID\n")
	}
	return response
}

// WriteReadiness writes the response of a readiness page: 200 if err is nil, or
// else 503 with the text of err.
func WriteReadiness(response *fasthttp.Response, err error) {
	if err == nil {
		response.SetBodyString("ready\n")
		return
	}
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.SetBodyString("not ready: " + err.Error() + "\n")
}

func (s *Server) writeMetrics(response *fasthttp.Response) {
	var page bytes.Buffer
	s.metrics.WritePrometheus(&page)
	metrics.WritePrometheus(&page, true)
	response.SetBodyRaw(page.Bytes())
}

// writePage writes the answer of a further page: 400 if the query is to blame for an
// error, or else 503.
func writePage(response *fasthttp.Response, page Page, query *fasthttp.Args) {
	content, err := page.Answer(query)
	if err == nil {
		writeJSON(response, content)
		return
	}
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	if errors.Is(err, ErrBadQuery) {
		response.SetStatusCode(fasthttp.StatusBadRequest)
	}
	response.SetBodyString(err.Error() + "\n")
}

func writeJSON(response *fasthttp.Response, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.SetStatusCode(fasthttp.StatusInternalServerError)
		response.SetBodyString(err.Error())
		return
	}
	response.Header.SetContentType("application/json")
	response.SetBodyRaw(append(body, '\n'))
}
