package scheduler

import "time"

// pacer spaces this lobby's requests to one backend server by its share of a bound.
type pacer struct {
	backend   string // ID of the backend server
	shares    *rateShares
	lastSent  time.Time
	priorSent time.Time // lastSent before the send at sentAt
	sentAt    time.Time // time of the last send; zero if it was withdrawn
	share     rateShare
	epoch     int // epoch, standing and rate for which the share was calculated
	standing  standing
	rate      float64
}

func newPacer(backend string, shares *rateShares) pacer {
	return pacer{backend: backend, shares: shares, epoch: -1}
}

// sent records that a request was sent. turn is the time that counts as that of the send
// for the next one.
func (p *pacer) sent(now, turn time.Time) {
	p.priorSent, p.sentAt, p.lastSent = p.lastSent, now, turn
}

// withdrawn records that the request which was sent at a given time never left this
// process. If it was the last one, its turn is free again.
func (p *pacer) withdrawn(sentAt time.Time) {
	if p.sentAt.Equal(sentAt) {
		p.lastSent, p.sentAt = p.priorSent, time.Time{}
	}
}

// currentShare returns this lobby's share of a bound, which changes with the members, the
// standing and the rate.
func (p *pacer) currentShare(now time.Time, bound rateBound) rateShare {
	if standing := p.shares.standing(now); p.epoch != p.shares.epoch || p.standing != standing || p.rate != bound.rate {
		p.share = p.shares.share(now, p.backend, bound)
		p.epoch, p.standing, p.rate = p.shares.epoch, standing, bound.rate
	}
	return p.share
}

// turn returns the time of this lobby's next turn by its share since a given time.
func (p *pacer) turn(share rateShare, since time.Time) time.Time {
	return later(p.lastSent.Add(share.gap), since.Add(share.offset))
}
