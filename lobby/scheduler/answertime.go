package scheduler

import (
	"time"

	"sesamewell.example/commons/deployment"
)

const (
	answerTimeWeight   = 0.125 // weight of one observation in the average
	answerSpreadWeight = 0.25  // weight of one deviation in the average deviation
	answerSpreads      = 2     // deviations that are added to the average
	maxAllowanceShare  = 0.5   // largest part of an objective that is set aside
)

// answerTimes estimates, by route, the time from sending a request until its answer or
// the first event of its stream. The averages of time and deviation are those of V.
// Jacobson, "Congestion Avoidance and Control" (SIGCOMM 1988).
type answerTimes struct{ routes map[string]*answerTime }

type answerTime struct{ mean, deviation time.Duration }

func newAnswerTimes() *answerTimes { return &answerTimes{routes: make(map[string]*answerTime)} }

// observe updates the estimate of a route.
func (a *answerTimes) observe(route deployment.Route, took time.Duration) {
	t, ok := a.routes[route.Name()]
	if !ok {
		a.routes[route.Name()] = &answerTime{mean: took, deviation: took / answerSpreads}
		return
	}
	difference := took - t.mean
	t.mean += time.Duration(float64(difference) * answerTimeWeight)
	t.deviation += time.Duration(float64(max(difference, -difference)-t.deviation) * answerSpreadWeight)
}

// allowance returns the part of a route's objective that is set aside for the time after
// a request is sent.
func (a *answerTimes) allowance(route deployment.Route) time.Duration {
	expected := prefillAllowance
	if t, ok := a.routes[route.Name()]; ok {
		expected = t.mean + answerSpreads*t.deviation
	}
	return min(expected, time.Duration(float64(route.LatencyObjective())*maxAllowanceShare))
}

// answerCompleted records the time that a complete answer took.
func (c *Core) answerCompleted(now time.Time, req *openRequest) {
	c.runCompleted(req.service, now.Sub(req.sentAt))
	c.recordShareCompletion(now, req)
	if req.route.Kind() != deployment.Stream {
		c.answers.observe(req.route, now.Sub(req.sentAt))
	}
}
