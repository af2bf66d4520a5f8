package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/fairqueue"
)

// lateShare is the share of the work of queued requests that those which miss their
// objective get while others wait. A late answer is of little use to its caller, but must
// come before the caller gives up.
const lateShare = 0.05

// enqueue queues a request until a backend server can run it: its model may still
// be loading, or all backend servers that hold it are full. A request that is not
// expected to start before its queue deadline is refused at once, with the time
// after which it is expected to.
func (c *Core) enqueue(now time.Time, req *openRequest) {
	_, alreadyQueued := c.queued[req.number]
	mayWait := !req.mayHaveRun || req.resuming()
	if !c.hasHome(req) {
		c.refuseNotRun(now, req, noHome, noBackendRetryAfter)
		return
	}
	if !c.hasVersion(req) {
		c.refuseNotRun(now, req, noVersion, 0)
		return
	}
	if !c.drainStart.IsZero() || !mayWait || c.evacuatedOnly(req) {
		c.refuseUnserved(now, req, noBackend, max(c.freeQueueDelay(now, req), noBackendRetryAfter))
		return
	}
	if alreadyQueued && now.Before(req.queueDeadline()) {
		return
	}
	turns := c.turnsFor(now, req.queueKey(), req.tried)
	turnDelay := turns.delay(now, c.queuedLike(req))
	c.recordWithheld(turns, turnDelay)
	delay := max(c.loadDelay(now, req), c.holdDelay(now, req, req.tried), turnDelay)
	if !now.Add(delay).Before(req.queueDeadline()) {
		c.refuseUnserved(now, req, noBackend, max(delay, c.freeQueueDelay(now, req), retryAfter))
		return
	}
	if !c.hasPlace(now, req) {
		c.refuseUnserved(now, req, noBackend, max(c.freeQueueDelay(now, req), noBackendRetryAfter))
		return
	}
	c.joinQueue(now, req)
	c.refuseIfLate(now, req)
}

// refuseIfLate refuses a request that has joined the queue if so much work precedes it
// that it is not expected to start before its queue deadline.
func (c *Core) refuseIfLate(now time.Time, req *openRequest) {
	if delay := c.queueDelay(now, req); !req.resuming() && now.Add(delay).After(req.queueDeadline()) {
		c.refuseUnserved(now, req, noBackend, delay)
	}
}

// placeNew places a request that has arrived. While others wait for the same backend
// servers, capacity that has become free goes to the first of the queue that can take it.
// That may be the new one, so it is refused by the forecast only afterwards.
func (c *Core) placeNew(now time.Time, req *openRequest) {
	_, contended := c.waiting[req.queueKey()]
	if !contended || !c.drainStart.IsZero() || len(c.queued) >= maxQueued {
		c.place(now, req)
		return
	}
	chosen, ok := c.choose(now, req)
	if _, admitted := c.config.Quarantine.Admit(now, req.number, req.request); !admitted || !ok {
		c.place(now, req)
		return
	}
	c.joinQueue(now, req)
	c.placeNext(now, chosen.server)
	if _, waits := c.queued[req.number]; waits {
		c.refuseIfLate(now, req)
	}
}

// joinQueue adds a request to the queue and counts its work in the averages of its service.
func (c *Core) joinQueue(now time.Time, req *openRequest) {
	c.weights.observe(req.service, req.tenant, c.expectedWork(req), float64(req.request.PromptTokens()+req.request.MaxOutputTokens()))
	c.addToQueue(now, req)
}

// addToQueue adds a request to the queue of those that wait for the same backend servers.
func (c *Core) addToQueue(now time.Time, req *openRequest) {
	key := req.queueKey()
	q, ok := c.waiting[key]
	if !ok {
		q = fairqueue.New(fairqueue.Config{LateShare: lateShare})
		c.waiting[key] = q
	}
	c.queued[req.number] = req
	c.places.take(req.tenant.Name())
	q.Add(now, c.queueEntry(req))
}

// queueEntry returns what the order of the queue depends on.
func (c *Core) queueEntry(req *openRequest) fairqueue.EntryConfig {
	work := c.expectedWork(req)
	return fairqueue.EntryConfig{
		Number: req.number, Customer: req.tenant.Name(), Priority: req.priority(),
		Work: work, Weight: c.weights.weight(req.service, req.tenant), StartBy: c.startBy(req),
	}
}

// leaveQueue removes a request from the queue, if it waits, because it ends.
func (c *Core) leaveQueue(req *openRequest) {
	if _, ok := c.queued[req.number]; ok {
		c.waiting[req.queueKey()].Remove(req.number)
		c.dropQueued(req)
	}
}

// startFromQueue removes a request from the queue, if it waits, because it has got a
// backend server. Its customer is charged for it in either case.
func (c *Core) startFromQueue(req *openRequest) {
	q, contended := c.waiting[req.queueKey()]
	if _, ok := c.queued[req.number]; ok {
		c.forecast.requestStarted(req.queueKey(), c.expectedWork(req))
		q.Serve(req.number)
		c.dropQueued(req)
		return
	}
	if contended {
		q.Charge(c.queueEntry(req))
	}
}

// dropQueued forgets that a request waits.
func (c *Core) dropQueued(req *openRequest) {
	delete(c.queued, req.number)
	c.places.leave(req.tenant.Name())
	if key := req.queueKey(); c.waiting[key].Len() == 0 {
		delete(c.waiting, key)
	}
	if s := req.reserved; s != nil && s.reservedFor == req.number {
		s.reservedFor = 0
	}
}

// waitingWork returns the number and the work of the queued requests by key.
func (c *Core) waitingWork() map[queueKey]waitingLoad {
	loads := make(map[queueKey]waitingLoad, len(c.waiting))
	for key, q := range c.waiting {
		loads[key] = waitingLoad{requests: q.Len(), work: q.Work()}
	}
	return loads
}

// queueDelay returns the estimated time until a queued request starts, zero if the rate
// at which queued requests start has not been observed long enough.
func (c *Core) queueDelay(now time.Time, req *openRequest) time.Duration {
	key := req.queueKey()
	if !c.forecast.observedFor(now, key, startWindow) {
		return 0
	}
	return c.forecast.startDelay(now, key, c.waiting[key].WorkAhead(now, req.number))
}

// queueKey returns the key of the requests that wait for the same backend servers.
func (r *openRequest) queueKey() queueKey {
	return queueKey{service: r.service, model: r.request.Model(), homes: r.homes, pin: r.pin}
}

// queueDeadline returns the time until which the request may stay in the queue.
func (r *openRequest) queueDeadline() time.Time {
	arrived := r.request.Arrived()
	if r.resuming() {
		return r.truncatedAt.Add(time.Duration(float64(r.streamTimeout()) * queueShare))
	}
	if r.route.Kind() == deployment.Stream {
		return arrived.Add(time.Duration(float64(r.streamTimeout()) * queueShare))
	}
	return arrived.Add(time.Duration(float64(r.expires.Sub(arrived)) * queueShare))
}

// streamTimeout returns the time without an event after which the caller is
// assumed to drop a stream.
func (r *openRequest) streamTimeout() time.Duration {
	return min(max(minStreamTimeout, streamTimeoutObjectives*r.route.LatencyObjective(), streamTimeoutGaps*r.route.GapObjective()), r.expires.Sub(r.request.Arrived()))
}

// startBy returns the latest start with which a request is expected to meet its
// objective: that for its answer, or that for the pause in a stream that is resumed.
func (c *Core) startBy(req *openRequest) time.Time {
	if req.resuming() {
		return req.truncatedAt.Add(req.route.GapObjective() - c.answers.allowance(req.route))
	}
	return req.request.Arrived().Add(req.route.LatencyObjective() - req.triedFor - c.answers.allowance(req.route))
}

// priority returns the request's priority. Zero is the most urgent.
func (r *openRequest) priority() int { return r.tenant.PriorityFor(r.route.Priority()) }
