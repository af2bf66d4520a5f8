package pitch

import "time"

// pacer is responsible for the rate at which loads begin.
type pacer struct {
	tokens float64
	at     time.Time
}

func newPacer(now time.Time) pacer { return pacer{at: now} }

// allowed returns the loads that may begin now, at most those of one second.
func (p *pacer) allowed(now time.Time, rate int64) int {
	p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*float64(rate), max(float64(rate), 1))
	p.at = now
	return int(p.tokens)
}

// spend counts loads that begin.
func (p *pacer) spend(loads int) { p.tokens -= float64(loads) }
