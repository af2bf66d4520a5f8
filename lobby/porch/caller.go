package porch

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/wicket"
)

// caller is responsible for one caller's connection, which has one request at a
// time. It belongs to the event loop.
type caller struct {
	porch     *Porch
	conn      gnet.Conn
	prober    bool // it is the platform, which asks for readiness
	exchange  *exchange
	need      int // bytes without which parsing again is of no use
	proceeded bool
	partial   bool      // a request has begun to arrive
	since     time.Time // of the last request's end, or of the first byte of this one
	last      bool      // the connection closes after this answer
	closed    bool
}

// advance takes the next request out of the connection's buffer.
func (c *caller) advance(now time.Time) {
	for !c.closed && c.exchange == nil {
		buffered, _ := c.conn.Peek(-1)
		if blank := wicket.LeadingBlank(buffered); blank > 0 {
			_, _ = c.conn.Discard(blank)
			buffered = buffered[blank:]
		}
		if len(buffered) == 0 || len(buffered) < c.need {
			return
		}
		if !c.partial {
			c.partial, c.since = true, now
		}
		limits := c.porch.limits.Load()
		parsed, err := wicket.Parse(buffered, int(limits.MaxHeader()), int(limits.MaxBody()))
		if err != nil {
			c.reject(wicket.AsRefusal(err))
			return
		}
		if parsed.Request() == nil {
			c.await(parsed)
			return
		}
		_, _ = c.conn.Discard(parsed.Used())
		c.need, c.proceeded, c.partial = 0, false, false
		c.last = c.last || parsed.Request().Header.ConnectionClose()
		c.receive(now, parsed.Request())
	}
}

func (c *caller) await(parsed wicket.Parsed) {
	c.need = parsed.Need()
	if parsed.Expects() && !c.proceeded {
		c.proceeded = true
		c.write(wicket.Proceed)
	}
}

func (c *caller) receive(now time.Time, request *fasthttp.Request) {
	if c.prober {
		c.answerProbe(now, request)
		return
	}
	c.porch.open(now, c, request)
}

// answerProbe tells the platform whether this process takes connections.
func (c *caller) answerProbe(now time.Time, request *fasthttp.Request) {
	status := fasthttp.StatusNotFound
	if string(request.URI().Path()) == c.porch.config.ReadyPath {
		status = fasthttp.StatusServiceUnavailable
		if c.porch.config.Readiness.Ready() {
			status = fasthttp.StatusOK
		}
	}
	var head fasthttp.ResponseHeader
	c.porch.config.Codec.Refusal(&head, "", status, 0)
	head.SetContentLength(0)
	c.write(head.AppendBytes(nil))
	c.finish(now)
}

// reject answers a request that could not be parsed and closes the connection,
// since the start of the next request cannot be found.
func (c *caller) reject(refusal *wicket.Refusal) {
	var head fasthttp.ResponseHeader
	c.porch.config.Codec.Refusal(&head, "", refusal.Status(), 0)
	head.SetContentLength(0)
	head.SetConnectionClose()
	c.write(head.AppendBytes(nil))
	c.abort()
}

// finish makes the connection free for its next request.
func (c *caller) finish(now time.Time) {
	c.exchange, c.since = nil, now
	if c.last {
		c.abort()
	}
}

// write sends bytes, or ends the connection of a caller that does not read.
func (c *caller) write(out []byte) {
	if c.closed {
		return
	}
	if _, err := c.conn.Write(out); err != nil || c.conn.OutboundBuffered() > maxUnread {
		c.abort()
	}
}

// abort closes the connection once what was written is on its way.
func (c *caller) abort() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.conn.Close()
}

// sweep closes a connection that has been idle, or has sent a request too
// slowly, for longer than the limits.
func (c *caller) sweep(now time.Time) {
	if c.exchange != nil || c.closed {
		return
	}
	limits, age := c.porch.limits.Load(), now.Sub(c.since)
	switch {
	case c.partial && age > limits.SlowSender():
		c.reject(wicket.ErrSlowSender)
	case !c.partial && (age > limits.Idle() || c.porch.leaving(now)):
		c.abort()
	}
}
