package placement

import "time"

const (
	// limitedDemandWindow is the window of the average of the demand while rates are named. The
	// demand contains what is refused for want of a turn and asked for again, and so depends
	// on the plan.
	limitedDemandWindow = 10 * time.Second
	// limitSettleTime is the time from the end of the last limit for which no copies are added
	// to relieve others: the demand contains what was refused before.
	limitSettleTime = 5 * time.Second
)

// limitedDemand averages the demand for the models of a service while backend servers of it
// name rates, and is the demand itself otherwise.
type limitedDemand struct {
	average map[string]float64
	updated time.Time
	limited time.Time // last time at which the capacity of a host was limited
}

// update takes the present demand. It is told whether a backend server names a rate, and
// whether one has done so long enough to limit its capacity.
func (l *limitedDemand) update(now time.Time, demand map[string]float64, named, limited bool) {
	if limited {
		l.limited = now
	}
	weight := 1.0
	if named || l.settling(now) {
		weight = min(now.Sub(l.updated).Seconds()/limitedDemandWindow.Seconds(), 1)
	}
	l.updated = now
	if weight == 1 {
		l.average = demand
		return
	}
	next := make(map[string]float64, len(demand))
	for model, engines := range l.average {
		next[model] = engines * (1 - weight)
	}
	for model, engines := range demand {
		next[model] += engines * weight
	}
	l.average = next
}

// settling reports whether a limit is in force or has ended a short time ago.
func (l *limitedDemand) settling(now time.Time) bool {
	return !l.limited.IsZero() && now.Sub(l.limited) < limitSettleTime
}
