package scheduler

import "time"

const (
	// defaultTokenTime is the assumed prefill time per token of a model without
	// observations.
	defaultTokenTime = 45 * time.Microsecond
	// tokenTimeRange is the largest factor by which an observation may differ
	// from defaultTokenTime, in either direction.
	tokenTimeRange = 8
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.1
	// minObservedTokens is the length of the shortest prompt that is observed.
	minObservedTokens = 300
	// observationOverhead is the part of an observation that is not prefill: the
	// network round trip and one step of the engine.
	observationOverhead = 12 * time.Millisecond
)

// prefillEstimator estimates the prefill time of prompts for each model, from
// requests that were sent to engines with no other prefill pending.
type prefillEstimator struct {
	perToken map[string]time.Duration
}

func newPrefillEstimator() *prefillEstimator {
	return &prefillEstimator{perToken: make(map[string]time.Duration)}
}

// tokenTime returns the estimated prefill time of one token.
func (e *prefillEstimator) tokenTime(model string) time.Duration {
	if estimate, ok := e.perToken[model]; ok {
		return estimate
	}
	return defaultTokenTime
}

// promptTime returns the estimated prefill time of a number of tokens.
func (e *prefillEstimator) promptTime(model string, tokens int64) time.Duration {
	return time.Duration(tokens) * e.tokenTime(model)
}

// observe updates the estimate with the time from sending a prompt until its
// stream started.
func (e *prefillEstimator) observe(model string, tokens int64, took time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	observed := (took - observationOverhead) / time.Duration(tokens)
	observed = min(max(observed, defaultTokenTime/tokenTimeRange), defaultTokenTime*tokenTimeRange)
	estimate := e.tokenTime(model)
	e.perToken[model] = estimate + time.Duration(float64(observed-estimate)*observationWeight)
}
