package proxy

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
)

// errGivenUp reports that an answer was given up since the process holds too many bytes.
var errGivenUp = errors.New("answer given up: the process holds too many bytes")

// charge sets a charge for bytes that cannot be refused, such as those of answers. If the
// process holds far too many, the largest holder is given up.
func (p *Proxy) charge(charge *memory.Charge, bytes int64) {
	if charge.Set(bytes) {
		p.giveUpLargest()
	}
}

// giveUpLargest ends the exchange with the largest buffered answer, or closes the callers'
// connections that hold most, whichever holds more.
func (p *Proxy) giveUpLargest() {
	var largest *exchange
	for _, e := range p.exchanges {
		if e.conn != nil && e.buffered.Bytes() >= minGivenUp && (largest == nil || e.buffered.Bytes() > largest.buffered.Bytes()) {
			largest = e
		}
	}
	callers, excess := p.excessCallers()
	held := int64(0)
	for _, c := range excess {
		held = max(held, c.held())
	}
	if largest != nil && largest.buffered.Bytes() >= held {
		p.giveUpAnswer(largest)
		return
	}
	for _, c := range excess {
		p.stats.givenUp.Inc()
		p.causes.Record(time.Now(), httpserver.Shed, c.address)
		c.abort()
	}
	if len(excess) > 0 {
		p.config.Log.WithFields(logrus.Fields{"event": "room", "held": p.config.Memory.Total(), "limit": p.config.Memory.Limit(), "callers": callers, "closed": len(excess)}).Debug("connections that hold most closed: too many bytes are held")
	}
}

// giveUpAnswer ends an exchange with a large buffered answer.
func (p *Proxy) giveUpAnswer(e *exchange) {
	p.config.Log.WithFields(logrus.Fields{
		"event": "room", "held": p.config.Memory.Total(), "limit": p.config.Memory.Limit(),
		"request": e.meta.ID(), "backend": e.conn.pool.backend, "bytes": e.buffered.Bytes(),
	}).Warn("largest answer given up: too many bytes are held")
	p.stats.givenUp.Inc()
	e.conn.resetAndFail(errGivenUp)
	e.buffered.Set(0)
}

// excessCallers returns the connections of callers to close so that the process holds no
// more than it may, and the number of callers.
func (p *Proxy) excessCallers() (int, []*callerConn) {
	callers := make([]*callerConn, 0, len(p.callers))
	holdings := make([]memory.Holding, 0, len(p.callers))
	for c := range p.callers {
		holdings = append(holdings, memory.NewHolding(c.address, c.held(), len(callers)))
		callers = append(callers, c)
	}
	var excess []*callerConn
	for _, h := range memory.Excess(holdings, p.config.Memory.Total()-p.config.Memory.Limit()) {
		excess = append(excess, callers[h.Index()])
	}
	return len(callers), excess
}

// held returns the number of bytes in the connection's buffers that are charged.
func (c *callerConn) held() int64 { return c.unsent.Bytes() + c.unread.Bytes() }

// senders is the account of the requests that arrive on a connection. If there is no room for
// one, the slowest of those that have not arrived whole on other connections is refused for it.
type senders struct {
	proxy *Proxy
	conn  *callerConn
}

// Admit charges a customer with bytes if there is room for them.
func (s senders) Admit(customer string, bytes int64) bool {
	for {
		if s.proxy.config.Memory.Admit(customer, bytes) {
			return true
		}
		now := time.Now()
		slowest := s.proxy.slowestSender(now, s.conn)
		if slowest == nil {
			return false
		}
		s.proxy.causes.Record(now, httpserver.SlowSender, slowest.address)
		slowest.refuseUnread(now, fasthttp.StatusServiceUnavailable, overloadRetryAfter)
	}
}

// Release gives back bytes that a customer was charged with.
func (s senders) Release(customer string, bytes int64) {
	s.proxy.config.Memory.Release(customer, bytes)
}

// slowestSender returns the connection whose request has been arriving for longest, among
// those with a part of a body that has paused, nil if there is none. It leaves out the one
// whose request is being read: if the process was frozen meanwhile, that seems to have paused.
func (p *Proxy) slowestSender(now time.Time, reading *callerConn) *callerConn {
	for element := p.waiting.receiving.Front(); element != nil; element = element.Next() {
		c := element.Value.(*callerConn)
		if now.Sub(c.since) < minPause {
			return nil
		}
		if c != reading && c.reader != nil && c.reader.Charged() > 0 && now.Sub(c.lastByte) >= minPause {
			return c
		}
	}
	return nil
}
