package proxy

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// errGivenUp reports that an answer was given up since the process holds too many bytes.
var errGivenUp = errors.New("answer given up: the process holds too many bytes")

// charge charges a customer with bytes that cannot be refused: those of answers. If the
// process holds far too many, the largest holder is given up.
func (p *Proxy) charge(customer string, bytes int) {
	if p.config.Memory.Charge(customer, int64(bytes)) {
		p.giveUpLargest()
	}
}

// giveUpLargest ends the exchange with the largest buffered answer, or closes the
// connection of the caller with most unsent bytes, whichever holds more.
func (p *Proxy) giveUpLargest() {
	var largest *exchange
	for _, e := range p.exchanges {
		if e.conn != nil && e.answerBytes >= minGivenUp && (largest == nil || e.answerBytes > largest.answerBytes) {
			largest = e
		}
	}
	var slowest *callerConn
	for c := range p.callers {
		if c.unsent >= minGivenUp && (slowest == nil || c.unsent > slowest.unsent) {
			slowest = c
		}
	}
	log := p.config.Log.WithFields(logrus.Fields{"event": "room", "held": p.config.Memory.Total(), "limit": p.config.Memory.Limit()})
	switch {
	case largest != nil && (slowest == nil || largest.answerBytes >= slowest.unsent):
		log.WithFields(logrus.Fields{"request": largest.meta.ID(), "backend": largest.conn.pool.backend, "bytes": largest.answerBytes}).Warn("largest answer given up: too many bytes are held")
		p.stats.givenUp.Inc()
		largest.conn.resetAndFail(errGivenUp)
		largest.releaseAnswer()
	case slowest != nil:
		log.WithField("bytes", slowest.unsent).Warn("connection of the slowest caller closed: too many bytes are held")
		p.stats.givenUp.Inc()
		slowest.abort()
	}
}
