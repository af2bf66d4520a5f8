package steward

import "time"

const (
	// firstPace is the time to read a token that is assumed before any was read.
	firstPace = 45 * time.Microsecond
	// paceRange bounds how far a model's pace may lie from the first one.
	paceRange = 8
	// paceWeight is the weight of one observation.
	paceWeight = 0.1
	// paceTokens is the shortest prompt that is observed.
	paceTokens = 300
	// readDelay is the part of an observation that is no reading: the way there
	// and back, and one step of the engine.
	readDelay = 12 * time.Millisecond
)

// paces is responsible for how fast engines read the prompts of each model,
// learnt from requests that found nothing before them.
type paces struct {
	perToken map[string]time.Duration
}

func newPaces() *paces { return &paces{perToken: make(map[string]time.Duration)} }

// of returns the time to read one token.
func (p *paces) of(model string) time.Duration {
	if pace, ok := p.perToken[model]; ok {
		return pace
	}
	return firstPace
}

// read returns the time to read so many tokens.
func (p *paces) read(model string, tokens int64) time.Duration {
	return time.Duration(tokens) * p.of(model)
}

// observe notes that a prompt of so many tokens began after a time.
func (p *paces) observe(model string, tokens int64, took time.Duration) {
	if tokens < paceTokens {
		return
	}
	seen := (took - readDelay) / time.Duration(tokens)
	seen = min(max(seen, firstPace/paceRange), firstPace*paceRange)
	pace := p.of(model)
	p.perToken[model] = pace + time.Duration(float64(seen-pace)*paceWeight)
}
