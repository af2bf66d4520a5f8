// Package lantern serves the operators' pages of a process: health, readiness,
// metrics, status and recent traces.
package lantern

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

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/trail"
)

const (
	inboxCapacity = 64 // requests for operators' pages that may wait
	tickPeriod    = time.Second
)

// Status tells whether the process takes work and what it is doing. Its
// methods are called from the lantern's thread.
type Status interface {
	// Ready returns nil, or why the process takes no work.
	Ready() error
	// Status returns a value that is shown as JSON.
	Status() any
}

// Config holds the construction parameters of a Lantern.
type Config struct {
	Address string // IP:port of the operators' pages
	Log     *logrus.Entry
	Status  Status
	Trail   *trail.Trail
	Rings   []*ring.Ring // rings whose depth and refusals are metrics
}

// Lantern is responsible for answering operators.
type Lantern struct {
	config Config
	set    *metrics.Set
	crew   *crew.Crew
}

// New returns the supervisor of the operators' pages.
func New(config Config) *Lantern {
	l := &Lantern{config: config, set: metrics.NewSet()}
	inbox := ring.New(ring.Config{Name: "lantern", Capacity: inboxCapacity})
	for _, r := range append(config.Rings, inbox) {
		l.Watch(r)
	}
	l.crew = crew.New(crew.Config{Name: "lantern", Log: config.Log})
	l.crew.Add(httpserver.New(httpserver.Config{
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
	l.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "lantern", Inbox: inbox, Handler: l, Period: tickPeriod}))
	return l
}

// Serve answers operators until ctx ends.
func (l *Lantern) Serve(ctx context.Context) error { return l.crew.Serve(ctx) }

// String returns the supervisor's name.
func (l *Lantern) String() string { return "lantern" }

// Watch makes a ring's depth, capacity and refusals metrics.
func (l *Lantern) Watch(r *ring.Ring) {
	label := fmt.Sprintf("{ring=%q}", r.Name())
	l.set.NewGauge("sesamewell_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	l.set.NewGauge("sesamewell_ring_capacity"+label, func() float64 { return float64(r.Capacity()) })
	l.set.NewGauge("sesamewell_ring_refused_total"+label, func() float64 { return float64(r.Refused()) })
}

// Start does nothing: the pages have no state.
func (l *Lantern) Start(time.Time) error { return nil }

// Tick does nothing.
func (l *Lantern) Tick(time.Time) error { return nil }

// Handle answers one request.
func (l *Lantern) Handle(_ time.Time, message any) error {
	if call, ok := message.(*httpserver.Call); ok {
		call.Reply(l.answer(call.Request()))
	}
	return nil
}

func (l *Lantern) answer(request *fasthttp.Request) *fasthttp.Response {
	path := string(request.URI().Path())
	response := &fasthttp.Response{}
	response.Header.SetContentType("text/plain; charset=utf-8")
	switch {
	case path == "/healthz":
		response.SetBodyString("ok\n")
	case path == "/readyz":
		Readiness(response, l.config.Status.Ready())
	case path == "/metrics":
		l.writeMetrics(response)
	case path == "/status":
		writeJSON(response, l.config.Status.Status())
	case strings.HasPrefix(path, "/traces/"):
		writeJSON(response, l.config.Trail.Find(strings.TrimPrefix(path, "/traces/")))
	case strings.HasPrefix(path, "/requests/"):
		writeJSON(response, l.config.Trail.FindRequest(strings.TrimPrefix(path, "/requests/")))
	default:
		response.SetStatusCode(fasthttp.StatusNotFound)
		response.SetBodyString("no such page; try /healthz, /readyz, /metrics, /status, /traces/ID or /requests/ID\n")
	}
	return response
}

// Readiness fills the answer of a readiness page.
func Readiness(response *fasthttp.Response, err error) {
	if err == nil {
		response.SetBodyString("ready\n")
		return
	}
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.SetBodyString("not ready: " + err.Error() + "\n")
}

func (l *Lantern) writeMetrics(response *fasthttp.Response) {
	var page bytes.Buffer
	l.set.WritePrometheus(&page)
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
