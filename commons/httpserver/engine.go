package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// ErrEngineEnded is returned by Engine.Serve when the event loops end although nobody has
// stopped them, as when no descriptor is left for a connection. gnet logs the cause.
var ErrEngineEnded = errors.New("event loops have ended by themselves")

// EngineConfig holds the construction parameters of an Engine.
type EngineConfig struct {
	Addresses  []string // IP:port of each listener
	Loops      int      // number of event loops
	ReadBuffer int      // bytes read from a connection at once
	KeepAlive  time.Duration
	Handler    gnet.EventHandler
	Log        *logrus.Entry
}

// Engine runs gnet's event loops as a supervised service, which may be started again
// after it has ended. Each loop accepts its own connections, one after the other, so
// that a handler can keep their number below a limit: OnOpen is called for a connection
// before the next one is accepted.
type Engine struct {
	config EngineConfig
}

// NewEngine returns an engine that starts to listen when Serve is called.
func NewEngine(config EngineConfig) *Engine { return &Engine{config: config} }

// Serve listens until ctx ends, then returns the context's error. It returns another
// error if an address is in use or the event loops end by themselves.
func (e *Engine) Serve(ctx context.Context) error {
	listeners := make([]string, 0, len(e.config.Addresses))
	for _, address := range e.config.Addresses {
		if err := checkAddressFree(address); err != nil {
			return err
		}
		listeners = append(listeners, "tcp://"+address)
	}
	run := &engineRun{EventHandler: e.config.Handler, booted: make(chan gnet.Engine, 1)}
	ended := make(chan struct{})
	defer close(ended)
	stop := context.AfterFunc(ctx, func() { e.stop(run, ended) })
	defer stop()
	err := gnet.Rotate(run, listeners,
		gnet.WithNumEventLoop(e.config.Loops),
		gnet.WithReuseAddr(true),
		gnet.WithReusePort(true),
		gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(e.config.KeepAlive),
		gnet.WithReadBufferCap(e.config.ReadBuffer),
		gnet.WithWriteBufferCap(writeBufferSize),
		gnet.WithLogger(NewLogger(e.config.Log)),
	)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		return errors.Wrapf(err, "listen on %v", e.config.Addresses)
	default:
		return errors.Wrapf(ErrEngineEnded, "listen on %v", e.config.Addresses)
	}
}

// stop stops the event loops of a run, unless it has ended.
func (e *Engine) stop(run *engineRun, ended <-chan struct{}) {
	var engine gnet.Engine
	select {
	case engine = <-run.booted:
	case <-ended:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := engine.Stop(ctx); err != nil {
		e.config.Log.WithField("event", "stop").WithError(err).Warn("event loops did not stop within their time limit")
	}
}

// engineRun is one run of an engine. It passes gnet's events on to the handler.
type engineRun struct {
	gnet.EventHandler

	booted chan gnet.Engine
}

// OnBoot keeps the engine, which stop needs.
func (r *engineRun) OnBoot(engine gnet.Engine) gnet.Action {
	r.booted <- engine
	return r.EventHandler.OnBoot(engine)
}

// checkAddressFree binds the address once without SO_REUSEPORT. Otherwise a second
// process on the same port would silently receive part of the connections instead
// of failing.
func checkAddressFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	return listener.Close()
}
