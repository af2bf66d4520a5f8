// Package prefixroute decides which backend server takes a request whose prompt may be
// cached somewhere in part: the one with the lowest expected time to the first token,
// plus what the request costs others there. It addresses loads in which many prompts
// begin with the same parts. Its callers exclude the backend servers that must not or
// cannot take the request; the decision never overrides that.
package prefixroute

import "time"

// evictionShare is the share of the prefill of evicted parts that counts as a cost: what
// is evicted was used least recently, and may not be needed again while it would have
// been kept.
const evictionShare = 0.25

// CandidateConfig holds the construction parameters of a Candidate.
type CandidateConfig struct {
	Rank    int           // candidates of a lower rank are preferred, whatever the others cost
	Wait    time.Duration // time until the backend server begins with the prompt
	Prefill time.Duration // expected prefill time, unless Saved is part of it
	Saved   time.Duration // part of Wait and Prefill that does not arise, since parts of the prompt are cached
	Adapter time.Duration // time to load the adapter
	Link    time.Duration // time on the way to the backend server and back
	Load    time.Duration // delay that one more request causes there, for itself and others
	Evicted time.Duration // prefill time of the parts that the prompt evicts and that other requests use
}

// Candidate is a backend server that can run a request, with what it is expected to cost.
// It is immutable.
type Candidate struct {
	config CandidateConfig
	cost   time.Duration
}

// New returns a Candidate.
func New(config CandidateConfig) Candidate {
	c := Candidate{config: config}
	c.cost = c.FirstToken() + c.Others()
	return c
}

// Rank returns the candidate's rank. Those of a lower rank are preferred.
func (c Candidate) Rank() int { return c.config.Rank }

// FirstToken returns the expected time to the first token.
func (c Candidate) FirstToken() time.Duration {
	return c.config.Wait + c.config.Prefill - c.config.Saved + c.config.Adapter + c.config.Link
}

// Others returns what the request costs other requests.
func (c Candidate) Others() time.Duration {
	return c.config.Load + time.Duration(evictionShare*float64(c.config.Evicted))
}

// Cost returns what decides between candidates of the same rank. A prompt that is cached
// at one backend server is thereby prefilled again at another one exactly if waiting
// costs more than that, which spreads hot prefixes and leaves others where they are.
func (c Candidate) Cost() time.Duration { return c.cost }

// Config returns the parameters that the Candidate was made from.
func (c Candidate) Config() CandidateConfig { return c.config }

// BetterThan reports whether the candidate is preferred to another one.
func (c Candidate) BetterThan(other Candidate) bool {
	if c.config.Rank != other.config.Rank {
		return c.config.Rank < other.config.Rank
	}
	return c.cost < other.cost
}
