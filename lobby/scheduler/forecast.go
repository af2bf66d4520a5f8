package scheduler

import "time"

const (
	// registrationDelay is the time from the start of backend servers until they
	// are listed, and planDelay that from then, or from the first request for a
	// model that is not loaded, until its load begins.
	registrationDelay = 2 * time.Second
	planDelay         = 400 * time.Millisecond
	// overdueShare is the remaining part of the time to load a model that is assumed
	// when the model should have been loaded by now.
	overdueShare = 0.5
	startWindow  = time.Second            // averaging time of the rate at which queued requests start
	minObserved  = 300 * time.Millisecond // shortest observation of that rate that is used
	minRate      = 0.5                    // requests per second; the least rate that is assumed
)

// forecast estimates how long queued requests wait until a backend server can run
// them: for models without a loaded copy by the time to load one, else by the rate
// at which queued requests for the model have started lately.
type forecast struct {
	queues   map[queueKey]*queueRate
	absences map[queueKey]time.Time // time since which no backend server has the model
	updated  time.Time
}

// queueKey identifies the queued requests that the same backend servers can run. The
// model is empty for a service without models, or for all models of the service.
type queueKey struct {
	service, model string
	homes          homes
	pin            pin
}

// waitingLoad is the number and the work of queued requests.
type waitingLoad struct {
	requests int
	work     float64
}

// queueRate is the rate at which queued requests start.
type queueRate struct {
	since   time.Time   // start of the observation
	waiting waitingLoad // queued requests at the last update
	started float64     // work of the requests started since the last update
	rate    float64     // work per second
}

func newForecast() *forecast {
	return &forecast{queues: make(map[queueKey]*queueRate), absences: make(map[queueKey]time.Time)}
}

// requestStarted records that a request has left the queue for a backend server.
func (f *forecast) requestStarted(key queueKey, work float64) {
	if q, ok := f.queues[key]; ok {
		q.started += work
	}
}

// update updates the rates. waiting is the load of queued requests by key.
func (f *forecast) update(now time.Time, waiting map[queueKey]waitingLoad) {
	span := now.Sub(f.updated).Seconds()
	f.updated = now
	for key, q := range f.queues {
		if q.waiting.requests > 0 && span > 0 {
			window := min(startWindow.Seconds(), now.Sub(q.since).Seconds())
			q.rate += (q.started/span - q.rate) * min(span/window, 1)
		}
		if q.waiting, q.started = waiting[key], 0; q.waiting.requests == 0 {
			delete(f.queues, key)
		}
	}
	for key, load := range waiting {
		if _, ok := f.queues[key]; !ok {
			f.queues[key] = &queueRate{since: now, waiting: load}
		}
	}
}

// observedFor reports whether the rate at which queued requests start has been observed
// for a time.
func (f *forecast) observedFor(now time.Time, key queueKey, span time.Duration) bool {
	q, ok := f.queues[key]
	return ok && now.Sub(q.since) >= span
}

// startDelay returns the estimated wait of a queued request with an amount of work ahead
// of it. It returns zero if the queue has not been observed long enough or waits for a
// load.
func (f *forecast) startDelay(now time.Time, key queueKey, ahead float64) time.Duration {
	if _, absent := f.absences[key]; absent || !f.observedFor(now, key, minObserved) {
		return 0
	}
	return time.Duration(ahead / f.queues[key].workRate() * float64(time.Second))
}

// requestRate returns the rate at which queued requests start, in requests of average
// work per second.
func (q *queueRate) requestRate() float64 { return q.workRate() / q.averageWork() }

// averageWork returns the average work of the queued requests.
func (q *queueRate) averageWork() float64 {
	if q.waiting.requests == 0 {
		return 1
	}
	return q.waiting.work / float64(q.waiting.requests)
}

// workRate returns the rate at which queued work starts, at least minRate.
func (q *queueRate) workRate() float64 { return max(q.rate, minRate*q.averageWork()) }

// absence records that no backend server has what a key stands for. It returns the
// time since which that is so.
func (f *forecast) absence(now time.Time, key queueKey) time.Time {
	since, ok := f.absences[key]
	if !ok {
		since = now
		f.absences[key] = since
	}
	return since
}

// remaining returns the rest of a time that began at a given moment, and overdueShare
// of its last part if it is over.
func remaining(now, since time.Time, expected, last time.Duration) time.Duration {
	return max(expected-now.Sub(since), time.Duration(overdueShare*float64(last)))
}

// availability tells what the usable backend servers for a key have of its model.
type availability struct {
	gone   bool // there are none, or most of those listed have been replaced
	loaded bool // one has loaded the model
	onDisk bool // one has it on its disk
}

func (c *Core) availability(key queueKey) availability {
	var a availability
	usable, replaced := 0, 0
	for _, s := range c.byService[key.service] {
		if !c.inHome(key.homes, s) || !key.pin.allows(s) { // a doubt ends soon
			continue
		}
		if s.replaced {
			replaced++
		}
		if s.usable() {
			usable++
			a.loaded = a.loaded || s.hasModel(key.model)
			a.onDisk = a.onDisk || s.backend.HasLocalCopy(key.model)
		}
	}
	a.gone = replaced >= usable
	return a
}

// loadDelay returns the estimated time until a backend server has loaded the model
// of a request, zero if one has it.
func (c *Core) loadDelay(now time.Time, req *openRequest) time.Duration {
	service, _ := c.configuration.Service(req.service)
	engine, ok := service.Engine()
	if !ok {
		return 0
	}
	key := req.queueKey()
	a := c.availability(key)
	if a.loaded {
		return 0
	}
	if a.gone { // the disks still have what had been loaded
		load := engine.ModelLoadTime(key.model, true)
		return remaining(now, c.forecast.absence(now, queueKey{service: key.service, homes: key.homes, pin: key.pin}), registrationDelay+planDelay+load, load)
	}
	if !engine.HasModel(key.model) { // callers may name any
		return planDelay
	}
	load := engine.ModelLoadTime(key.model, a.onDisk)
	return remaining(now, c.forecast.absence(now, key), planDelay+load, load)
}

// awaitsLoad reports whether queued requests wait until a model is loaded.
func (c *Core) awaitsLoad() bool {
	for _, req := range c.queued {
		if _, absent := c.forecast.absences[req.queueKey()]; absent {
			return true
		}
	}
	return false
}

// endAbsences ends the absences of what a backend server has by now. The rates that
// were observed meanwhile say nothing about the time after.
func (c *Core) endAbsences() {
	for key := range c.forecast.absences {
		if a := c.availability(key); a.loaded || !a.gone && key.model == "" {
			delete(c.forecast.absences, key)
			delete(c.forecast.queues, key)
		}
	}
}
