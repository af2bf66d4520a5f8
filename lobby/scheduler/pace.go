package scheduler

import "time"

const (
	// firstPace is the time to read a token that is assumed before any was read.
	defaultTokenTime = 45 * time.Microsecond
	// paceRange bounds how far a model's pace may lie from the first one.
	tokenTimeRange = 8
	// paceWeight is the weight of one observation.
	observationWeight = 0.1
	// paceTokens is the shortest prompt that is observed.
	minObservedTokens = 300
	// readDelay is the part of an observation that is no reading: the way there
	// and back, and one step of the engine.
	observationOverhead = 12 * time.Millisecond
)

// paces is responsible for how fast engines read the prompts of each model,
// learnt from requests that found nothing before them.
type prefillEstimator struct {
	perToken map[string]time.Duration
}

func newPrefillEstimator() *prefillEstimator {
	return &prefillEstimator{perToken: make(map[string]time.Duration)}
}

// of returns the time to read one token.
func (p *prefillEstimator) tokenTime(model string) time.Duration {
	if pace, ok := p.perToken[model]; ok {
		return pace
	}
	return defaultTokenTime
}

// read returns the time to read so many tokens.
func (p *prefillEstimator) promptTime(model string, tokens int64) time.Duration {
	return time.Duration(tokens) * p.tokenTime(model)
}

// observe notes that a prompt of so many tokens began after a time.
func (p *prefillEstimator) observe(model string, tokens int64, took time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	seen := (took - observationOverhead) / time.Duration(tokens)
	seen = min(max(seen, defaultTokenTime/tokenTimeRange), defaultTokenTime*tokenTimeRange)
	pace := p.tokenTime(model)
	p.perToken[model] = pace + time.Duration(float64(seen-pace)*observationWeight)
}
