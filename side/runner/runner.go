// Package runner runs attempts at the backend server. A fixed set of threads
// sends them over HTTP, one at a time each.
package runner

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/eventstream"
	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/side/dispatcher"
)

// Headers between a side and its backend server.
const (
	tenantHeader = "X-Sesamewell-Tenant" // tenant of a request
	rateHeader   = "X-Sesamewell-Rate"   // in an answer: requests per second that the backend server takes
)

// Limits of a runner.
const (
	readBufferBytes = 16 << 10         // maximum number of bytes in one read from the backend server
	maxPieces       = 64               // pieces of answers that may wait in the dispatcher's ring
	putTimeout      = 10 * time.Second // longest wait for room in the dispatcher's ring
	dialTimeout     = 2 * time.Second
)

// streamEnd is the last event of a complete stream in the OpenAI API.
var streamEnd = []byte("data: [DONE]")

// Dispatcher receives the answers and the ends of attempts. PutWithin waits up to
// limit for room.
type Dispatcher interface {
	PutWithin(ctx context.Context, message dispatcher.Message, limit time.Duration) error
}

// Config holds the construction parameters of a Pool.
type Config struct {
	Address     string        // IP:port of the backend server
	IdleTimeout time.Duration // longest time without a byte sent or received, and without an event of a stream
	Threads     int           // number of attempts that run at once
	Tracer      *tracing.Tracer
	Log         *logrus.Entry
}

// Pool holds the runners of one backend server and finds the one that runs a given
// attempt. Run and Stop are safe for concurrent use.
type Pool struct {
	config Config
	jobs   *ring.Ring
	pieces chan struct{} // one element for each piece that waits in the dispatcher's ring

	mu       sync.Mutex
	attempts map[string]*attemptState
}

// attemptState is the state of an attempt that is queued or runs.
type attemptState struct {
	runner  *Runner // nil while the attempt is queued
	stopped bool
}

// New returns a pool. Its threads run once Runners are added to a supervisor.
func New(config Config) *Pool {
	return &Pool{
		config:   config,
		jobs:     ring.New(ring.Config{Name: "runner", Capacity: config.Threads}),
		pieces:   make(chan struct{}, maxPieces),
		attempts: make(map[string]*attemptState),
	}
}

// Jobs returns the ring of queued attempts.
func (p *Pool) Jobs() *ring.Ring { return p.jobs }

// Run queues an attempt for the next free runner without blocking. It returns an
// error if the ring is full.
func (p *Pool) Run(run dispatcher.Run) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.jobs.Put(run); err != nil {
		return err
	}
	p.attempts[run.Submit().Attempt()] = &attemptState{}
	return nil
}

// Stop ends an attempt: it closes the connection of the runner that runs it. An
// attempt that has not been sent is not sent at all.
func (p *Pool) Stop(attempt string) {
	p.mu.Lock()
	state, ok := p.attempts[attempt]
	var runner *Runner
	if ok {
		state.stopped, runner = true, state.runner
	}
	p.mu.Unlock()
	if runner != nil {
		runner.interrupt(attempt)
	}
}

// PieceTaken reports that the dispatcher has taken a piece of an answer.
func (p *Pool) PieceTaken() { <-p.pieces }

// reservePiece waits up to putTimeout until one more piece may wait for the dispatcher.
func (p *Pool) reservePiece(ctx context.Context) error {
	select {
	case p.pieces <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(putTimeout)
	defer timer.Stop()
	select {
	case p.pieces <- struct{}{}:
		return nil
	case <-timer.C:
		return errors.Wrap(ring.ErrFull, "pieces of answers")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Runners returns the threads, to be added to a supervisor. They report to a
// dispatcher.
func (p *Pool) Runners(to Dispatcher) []*Runner {
	runners := make([]*Runner, 0, p.config.Threads)
	for range p.config.Threads {
		runners = append(runners, newRunner(p, to))
	}
	return runners
}

// assign records the runner of an attempt and reports whether the attempt was
// stopped before.
func (p *Pool) assign(attempt string, runner *Runner) (stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.attempts[attempt]
	if !ok {
		state = &attemptState{}
		p.attempts[attempt] = state
	}
	state.runner = runner
	return state.stopped
}

func (p *Pool) remove(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, attempt)
}

// Runner runs one attempt at a time on its own thread.
type Runner struct {
	pool       *Pool
	dispatcher Dispatcher
	client     *fasthttp.HostClient
	buffer     []byte

	mu         sync.Mutex
	attempt    string
	stopped    bool
	conn       net.Conn
	cancelDial context.CancelFunc // aborts the current dial
}

func newRunner(pool *Pool, to Dispatcher) *Runner {
	r := &Runner{pool: pool, dispatcher: to, buffer: make([]byte, readBufferBytes)}
	r.client = &fasthttp.HostClient{
		Addr:                     pool.config.Address,
		Dial:                     r.dial,
		MaxConns:                 1,
		StreamResponseBody:       true,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return r
}

// String returns the thread's name, which supervision events carry.
func (r *Runner) String() string { return "runner" }

// Serve runs attempts until ctx ends or the dispatcher's ring stays full.
func (r *Runner) Serve(ctx context.Context) error {
	for {
		job, err := r.pool.jobs.Take(ctx)
		if err != nil {
			return err
		}
		run, ok := job.(dispatcher.Run)
		if !ok {
			continue
		}
		if err := r.run(ctx, run); err != nil {
			return err
		}
	}
}

// run runs one attempt. It returns an error if the end of the attempt cannot be
// reported to the dispatcher.
func (r *Runner) run(ctx context.Context, run dispatcher.Run) error {
	submit := run.Submit()
	started := time.Now()
	span := r.pool.config.Tracer.Start(started.Add(-run.Queued()), submit.Trace(), "side")
	span.SetAttribute("attempt", submit.Attempt())
	span.SetAttribute("waited", run.Queued().String())
	span.AddEvent(started, "dispatched")
	r.begin(submit.Attempt())
	defer r.end(submit.Attempt())
	code, mayHaveRun := r.exchange(ctx, submit, span)
	span.End(time.Now(), code)
	return r.dispatcher.PutWithin(ctx, dispatcher.NewAttemptEnded(submit.Attempt(), code, mayHaveRun), putTimeout)
}

// exchange sends the request and passes the answer on. It returns an empty code if
// the answer is complete, else the cause, and whether the request may have run.
func (r *Runner) exchange(ctx context.Context, submit protocol.Submit, span *tracing.Span) (code string, mayHaveRun bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	r.fillRequest(request, submit, span)
	if err := r.client.Do(request, response); err != nil {
		return r.failureCode(err), r.dialed()
	}
	defer func() { _ = response.CloseBodyStream() }()
	header := dispatcher.NewHeaderReceived(submit.Attempt(), response.StatusCode(), string(response.Header.ContentType())).
		WithLimit(httpmeta.ParseRate(string(response.Header.Peek(rateHeader))))
	if err := r.dispatcher.PutWithin(ctx, header, putTimeout); err != nil {
		return protocol.CodeSideOverloaded, true
	}
	if err := r.copyBody(ctx, submit, response, span); err != nil {
		return r.failureCode(err), true
	}
	return "", true
}

func (r *Runner) fillRequest(request *fasthttp.Request, submit protocol.Submit, span *tracing.Span) {
	request.Header.SetMethod(submit.Method())
	request.SetRequestURI("http://" + r.pool.config.Address + submit.Path())
	request.Header.SetContentType(submit.ContentType())
	request.Header.Set("X-Request-Id", submit.Request())
	request.Header.Set(tenantHeader, submit.Tenant())
	request.Header.Set("traceparent", span.Traceparent())
	request.SetConnectionClose()
	request.SetBodyRaw(submit.Body())
}

func (r *Runner) copyBody(ctx context.Context, submit protocol.Submit, response *fasthttp.Response, span *tracing.Span) error {
	body := response.BodyStream()
	if body == nil {
		return r.putChunk(ctx, submit.Attempt(), response.Body())
	}
	if response.Header.ContentLength() == closeDelimited {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer has neither a length nor chunked coding")
	}
	var tail []byte
	var scanner eventstream.Scanner
	progress := time.Now() // time of the last event of a stream
	for first := true; ; first = false {
		n, err := body.Read(r.buffer)
		if n > 0 {
			if first {
				span.AddEvent(time.Now(), "first byte")
			}
			if scanner.Scan(r.buffer[:n]) {
				progress = time.Now()
			}
			if submit.Stream() && time.Since(progress) > r.pool.config.IdleTimeout {
				return errors.Wrap(os.ErrDeadlineExceeded, "bytes arrived, but no event")
			}
			tail = keepTail(tail, r.buffer[:n])
			if err := r.putChunk(ctx, submit.Attempt(), r.buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if submit.Stream() && response.StatusCode() == fasthttp.StatusOK && scanner.InEvent() {
				return errors.Wrap(io.ErrUnexpectedEOF, "stream broken off within an event")
			}
			return checkStreamEnd(submit, response, tail)
		}
		if err != nil {
			return err
		}
	}
}

// closeDelimited is the content length that fasthttp sets for a body that ends
// when the connection closes. Such a body cannot be distinguished from a
// truncated one.
const closeDelimited = -2

func (r *Runner) putChunk(ctx context.Context, attempt string, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := r.pool.reservePiece(ctx); err != nil {
		return err
	}
	if err := r.dispatcher.PutWithin(ctx, dispatcher.NewChunkReceived(attempt, bytes.Clone(data)), putTimeout); err != nil {
		r.pool.PieceTaken()
		return err
	}
	return nil
}

// checkStreamEnd returns an error if a stream of a model did not end with its last
// event.
func checkStreamEnd(submit protocol.Submit, response *fasthttp.Response, tail []byte) error {
	if submit.Model() == "" || !submit.Stream() || response.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	rest, ended := bytes.CutSuffix(bytes.TrimRight(tail, "\r\n"), streamEnd)
	if ended && (len(rest) == 0 || rest[len(rest)-1] == '\n' || rest[len(rest)-1] == '\r') {
		return nil
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream ended without its last event")
}

func keepTail(tail, data []byte) []byte {
	const kept = 64 // bytes; more than the last event has
	tail = append(tail, data...)
	return bytes.Clone(tail[max(len(tail)-kept, 0):])
}

// failureCode returns the cause that is reported for an error.
func (r *Runner) failureCode(err error) string {
	if !r.dialed() {
		return protocol.CodeBackendUnreachable
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) {
		return protocol.CodeBackendSilent
	}
	return protocol.CodeAnswerCut
}

func (r *Runner) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if !r.setCancelDial(cancel) {
		return nil, errStopped
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil, errors.CombineErrors(errStopped, conn.Close())
	}
	r.conn = conn
	return httpclient.Check(&idleTimeoutConn{Conn: conn, idleTimeout: r.pool.config.IdleTimeout}), nil
}

// errStopped is returned by dial if the attempt was stopped before it was sent.
var errStopped = errors.New("attempt was stopped")

// setCancelDial records the function that aborts the dial. It reports false if the
// attempt has been stopped already.
func (r *Runner) setCancelDial(cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelDial = cancel
	return !r.stopped
}

func (r *Runner) dialed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil
}

func (r *Runner) begin(attempt string) {
	r.mu.Lock()
	r.attempt, r.stopped, r.conn, r.cancelDial = attempt, false, nil, nil
	r.mu.Unlock()
	if r.pool.assign(attempt, r) {
		r.interrupt(attempt)
	}
}

func (r *Runner) end(attempt string) {
	r.pool.remove(attempt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = ""
}

func (r *Runner) interrupt(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt {
		return
	}
	r.stopped = true
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// idleTimeoutConn is a connection whose reads and writes fail if no data passes
// within idleTimeout.
type idleTimeoutConn struct {
	net.Conn

	idleTimeout time.Duration
}

// Read fails with os.ErrDeadlineExceeded if no data arrives within the idle
// timeout.
func (c *idleTimeoutConn) Read(into []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}

// Write fails with os.ErrDeadlineExceeded if the data is not sent within the idle
// timeout.
func (c *idleTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
