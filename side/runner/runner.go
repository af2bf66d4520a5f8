// Package runner carries attempts out at the backend server: a fixed set of
// threads, each of which runs one attempt at a time over HTTP.
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

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/trail"
	"sesamewell.example/side/dispatcher"
)

// Named limits of a runner.
const (
	readBufferBytes = 16 << 10         // bytes read from the backend server at once
	putTimeout      = 10 * time.Second // longest wait for room in the foyer's ring
	dialTimeout     = 2 * time.Second
)

// streamEnd is the last event of a whole stream in the OpenAI API.
var streamEnd = []byte("data: [DONE]")

// Foyer receives what a runner learns.
type Dispatcher interface {
	PutWithin(ctx context.Context, message dispatcher.Message, limit time.Duration) error
}

// Config holds the construction parameters of a Pool.
type Config struct {
	Address     string        // IP:port of the backend server
	IdleTimeout time.Duration // longest pause within an answer
	Threads     int           // attempts run at once
	Trail       *trail.Trail
	Log         *logrus.Entry
}

// Pool is responsible for the runners of one backend server and for reaching
// the one that runs a given attempt.
type Pool struct {
	config Config
	jobs   *ring.Ring

	mu       sync.Mutex
	attempts map[string]*attemptState
}

// place is where an attempt is on its way through the pool.
type attemptState struct {
	runner  *Runner // nil until a runner takes the attempt
	stopped bool
}

// New returns a pool without threads.
func New(config Config) *Pool {
	return &Pool{
		config:   config,
		jobs:     ring.New(ring.Config{Name: "runner", Capacity: config.Threads}),
		attempts: make(map[string]*attemptState),
	}
}

// Jobs returns the ring that feeds the runners.
func (p *Pool) Jobs() *ring.Ring { return p.jobs }

// Run hands an attempt to the next free runner.
func (p *Pool) Run(run dispatcher.Run) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.jobs.Put(run); err != nil {
		return err
	}
	p.attempts[run.Submit().Attempt()] = &attemptState{}
	return nil
}

// Stop ends an attempt: it closes the connection of the runner that has it, or
// keeps it from being sent at all.
func (p *Pool) Stop(attempt string) {
	p.mu.Lock()
	found, ok := p.attempts[attempt]
	var runner *Runner
	if ok {
		found.stopped, runner = true, found.runner
	}
	p.mu.Unlock()
	if runner != nil {
		runner.interrupt(attempt)
	}
}

// Runners returns the threads, to be added to a crew.
func (p *Pool) Runners(foyer Dispatcher) []*Runner {
	runners := make([]*Runner, 0, p.config.Threads)
	for range p.config.Threads {
		runners = append(runners, newRunner(p, foyer))
	}
	return runners
}

// begin notes who runs an attempt and reports whether it was stopped before.
func (p *Pool) assign(attempt string, runner *Runner) (stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.attempts[attempt]
	if !ok {
		found = &attemptState{}
		p.attempts[attempt] = found
	}
	found.runner = runner
	return found.stopped
}

func (p *Pool) remove(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, attempt)
}

// Runner is responsible for one attempt at a time.
type Runner struct {
	pool       *Pool
	dispatcher Dispatcher
	client     *fasthttp.HostClient
	buffer     []byte

	mu         sync.Mutex
	attempt    string
	stopped    bool
	conn       net.Conn
	cancelDial context.CancelFunc // ends a dial
}

func newRunner(pool *Pool, foyer Dispatcher) *Runner {
	r := &Runner{pool: pool, dispatcher: foyer, buffer: make([]byte, readBufferBytes)}
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

// String returns the duty's name.
func (r *Runner) String() string { return "runner" }

// Serve runs attempts until ctx ends.
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

// run carries one attempt out. Its error means that the foyer cannot be told.
func (r *Runner) run(ctx context.Context, run dispatcher.Run) error {
	submit := run.Submit()
	started := time.Now()
	span := r.pool.config.Trail.Start(started.Add(-run.Queued()), submit.Trace(), "side")
	span.Note("attempt", submit.Attempt())
	span.Note("waited", run.Queued().String())
	span.Mark(started, "dispatched")
	r.begin(submit.Attempt())
	defer r.end(submit.Attempt())
	code, ran := r.exchange(ctx, submit, span)
	span.End(time.Now(), code)
	return r.dispatcher.PutWithin(ctx, dispatcher.NewAttemptEnded(submit.Attempt(), code, ran), putTimeout)
}

// exchange sends the request and passes the answer on. It returns an empty
// code when the answer is whole, else the cause and whether it may have run.
func (r *Runner) exchange(ctx context.Context, submit notice.Submit, span *trail.Span) (code string, ran bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	r.fillRequest(request, submit, span)
	if err := r.client.Do(request, response); err != nil {
		return r.failureCode(err), r.dialed()
	}
	defer func() { _ = response.CloseBodyStream() }()
	began := dispatcher.NewHeaderReceived(submit.Attempt(), response.StatusCode(), string(response.Header.ContentType()))
	if err := r.dispatcher.PutWithin(ctx, began, putTimeout); err != nil {
		return notice.CodeBusy, true
	}
	if err := r.copyBody(ctx, submit, response, span); err != nil {
		return r.failureCode(err), true
	}
	return "", true
}

func (r *Runner) fillRequest(request *fasthttp.Request, submit notice.Submit, span *trail.Span) {
	request.Header.SetMethod(submit.Method())
	request.SetRequestURI("http://" + r.pool.config.Address + submit.Path())
	request.Header.SetContentType(submit.ContentType())
	request.Header.Set("X-Request-Id", submit.Request())
	request.Header.Set("X-Sesamewell-Tenant", submit.Tenant())
	request.Header.Set("traceparent", span.Traceparent())
	request.SetConnectionClose()
	request.SetBodyRaw(submit.Body())
}

func (r *Runner) copyBody(ctx context.Context, submit notice.Submit, response *fasthttp.Response, span *trail.Span) error {
	body := response.BodyStream()
	if body == nil {
		return r.putChunk(ctx, submit.Attempt(), response.Body())
	}
	if response.Header.ContentLength() == closeDelimited {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer has neither a length nor chunked coding")
	}
	var tail []byte
	for first := true; ; first = false {
		n, err := body.Read(r.buffer)
		if n > 0 {
			if first {
				span.Mark(time.Now(), "first byte")
			}
			tail = keepTail(tail, r.buffer[:n])
			if err := r.putChunk(ctx, submit.Attempt(), r.buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return checkStreamEnd(submit, response, tail)
		}
		if err != nil {
			return err
		}
	}
}

// unframed is the content length by which fasthttp marks a body that ends with
// its connection, so that a cut cannot be told from the end.
const closeDelimited = -2

func (r *Runner) putChunk(ctx context.Context, attempt string, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return r.dispatcher.PutWithin(ctx, dispatcher.NewChunkReceived(attempt, bytes.Clone(data)), putTimeout)
}

// checkEnd makes sure that a stream ends with its last event.
func checkStreamEnd(submit notice.Submit, response *fasthttp.Response, tail []byte) error {
	if submit.Model() == "" || !submit.Stream() || response.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	rest, ended := bytes.CutSuffix(bytes.TrimRight(tail, "\r\n"), streamEnd)
	if ended && (len(rest) == 0 || rest[len(rest)-1] == '\n') {
		return nil
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream ended without its last event")
}

func keepTail(tail, data []byte) []byte {
	const kept = 64 // bytes, enough for the last event
	tail = append(tail, data...)
	return bytes.Clone(tail[max(len(tail)-kept, 0):])
}

// failure returns the cause that belongs to an error.
func (r *Runner) failureCode(err error) string {
	if !r.dialed() {
		return notice.CodeUnreachable
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) {
		return notice.CodeSilent
	}
	return notice.CodeCut
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
	return &idleTimeoutConn{Conn: conn, idleTimeout: r.pool.config.IdleTimeout}, nil
}

// errStopped means that the attempt was stopped before it was sent.
var errStopped = errors.New("attempt was stopped")

// allow notes how to end a dial, unless the attempt was stopped already.
func (r *Runner) setCancelDial(abort context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelDial = abort
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

// pacedConn is responsible for breaking off a connection that stays silent.
type idleTimeoutConn struct {
	net.Conn

	idleTimeout time.Duration
}

// Read reads what has arrived and fails when nothing arrives in time.
func (c *idleTimeoutConn) Read(into []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}

// Write writes and fails when the peer takes nothing in time.
func (c *idleTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
