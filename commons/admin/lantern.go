// Package lantern serves the operators' pages of a process: health, readiness,
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
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
)

const (
	inboxCapacity = 64 // requests for operators' pages that may wait
	tickPeriod    = time.Second
)

// Status tells whether the process takes work and what it is doing. Its
// methods are called from the lantern's thread.
type StatusSource interface {
	// Ready returns nil, or why the process takes no work.
	Ready() error
	// Status returns a value that is shown as JSON.
	Status() any
}

// Config holds the construction parameters of a Lantern.
type Config struct {
	Address string // IP:port of the operators' pages
	Log     *logrus.Entry
	Status  StatusSource
	Tracer  *tracing.Tracer
	Rings   []*ring.Ring // rings whose depth and refusals are metrics
}

// Lantern is responsible for answering operators.
type Server struct {
	config     Config
	metrics    *metrics.Set
	supervisor *supervisor.Supervisor
}

// New returns the supervisor of the operators' pages.
func New(config Config) *Server {
	l := &Server{config: config, metrics: metrics.NewSet()}
	inbox := ring.New(ring.Config{Name: "lantern", Capacity: inboxCapacity})
	for _, r := range append(config.Rings, inbox) {
		l.AddRing(r)
	}
	l.supervisor = supervisor.New(supervisor.Config{Name: "lantern", Log: config.Log})
	l.supervisor.Add(httpserver.New(httpserver.Config{
		Address:    config.Address,
		Inbox:      inbox,
		Log:        config.Log,
		MaxHeader:  httpserver.DefaultMaxHeader,
		MaxBody:    httpserver.DefaultMaxBody,
		MaxUnsent:  64 * httpserver.DefaultMaxUnsent,
		MaxConns:   httpserver.DefaultMaxConns,
		SlowSender: httpserver.DefaultSlowSender,
		Idle:       httpserver.DefaultIdle,
	}))
	l.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "lantern", Inbox: inbox, Handler: l, Period: tickPeriod}))
	return l
}

// Serve answers operators until ctx ends.
func (l *Server) Serve(ctx context.Context) error { return l.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (l *Server) String() string { return "lantern" }

// Watch makes a ring's depth, capacity and refusals metrics.
func (l *Server) AddRing(r *ring.Ring) {
	label := fmt.Sprintf("{ring=%q}", r.Name())
	l.metrics.NewGauge("sesamewell_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	l.metrics.NewGauge("sesamewell_ring_capacity"+label, func() float64 { return float64(r.Capacity()) })
	l.metrics.NewGauge("sesamewell_ring_refused_total"+label, func() float64 { return float64(r.Refused()) })
}

// Start does nothing: the pages have no state.
func (l *Server) Start(time.Time) error { return nil }

// Tick does nothing.
func (l *Server) Tick(time.Time) error { return nil }

// Handle answers one request.
func (l *Server) Handle(_ time.Time, message any) error {
	if call, ok := message.(*httpserver.Call); ok {
		call.Reply(l.respond(call.Request()))
	}
	return nil
}

func (l *Server) respond(request *fasthttp.Request) *fasthttp.Response {
	path := string(request.URI().Path())
	response := &fasthttp.Response{}
	response.Header.SetContentType("text/plain; charset=utf-8")
	switch {
	case path == "/healthz":
		response.SetBodyString("ok\n")
	case path == "/readyz":
		WriteReadiness(response, l.config.Status.Ready())
	case path == "/metrics":
		l.writeMetrics(response)
	case path == "/status":
		writeJSON(response, l.config.Status.Status())
	case strings.HasPrefix(path, "/traces/"):
		writeJSON(response, l.config.Tracer.Find(strings.TrimPrefix(path, "/traces/")))
	case strings.HasPrefix(path, "/requests/"):
		writeJSON(response, l.config.Tracer.FindRequest(strings.TrimPrefix(path, "/requests/")))
	default:
		response.SetStatusCode(fasthttp.StatusNotFound)
		response.SetBodyString("no such page; try /healthz, /readyz, /metrics, /status, /traces/ID or /requests/ID\n")
	}
	return response
}

// Readiness fills the answer of a readiness page.
func WriteReadiness(response *fasthttp.Response, err error) {
	if err == nil {
		response.SetBodyString("ready\n")
		return
	}
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.SetBodyString("not ready: " + err.Error() + "\n")
}

func (l *Server) writeMetrics(response *fasthttp.Response) {
	var page bytes.Buffer
	l.metrics.WritePrometheus(&page)
	metrics.WritePrometheus(&page, true)
	response.SetBodyRaw(page.Bytes())
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
