package routingsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/protocol"
)

// Speed of the fake engine. As on a real accelerator, the time between tokens is
// within its target even when all slots are taken.
const (
	stepBase        = 20 * time.Millisecond // duration of one step without requests
	stepPerRequest  = time.Millisecond      // added to a step for each request in the batch
	prefillPerToken = 20 * time.Microsecond // added to a step for each prompt token that is not cached
	blockTokens     = 256                   // tokens in one block of a prompt
	maxCachedBlocks = 160                   // blocks in the prefix cache
	chunkTokens     = 8                     // tokens sent together, after the first token
)

// engine is a fake engine with continuous batching: every step first computes
// the prompts of new requests, then generates one token for each request in the
// batch.
type engine struct {
	sim        *simulation
	batch      []*batchedAttempt
	cacheOrder []int // cached blocks, oldest first
	cached     map[int]bool
	stepping   bool // whether the next step is scheduled
	stopped    bool
	runs       map[string]int // number of started attempts by request
	onChunk    func(attempt string, data []byte)
	onEnd      func(attempt, code string)
}

// batchedAttempt is one attempt in the batch.
type batchedAttempt struct {
	submit       protocol.Submit
	prompt       prompt
	outputTokens int             // length of the complete answer
	generated    int             // tokens generated so far
	unsent       strings.Builder // tokens not yet sent
	prefilled    bool
}

// prompt is the input that an engine computes before the first token.
type prompt struct {
	tokens int
	blocks []int // numbers of the leading blocks, which other prompts may share
}

func newEngine(sim *simulation) *engine {
	return &engine{sim: sim, cached: make(map[int]bool), runs: make(map[string]int)}
}

// token returns the bytes of a request's n-th token.
func token(request string, n int) string { return fmt.Sprintf("%s/%d\n\n", request, n) }

// completeAnswer returns the bytes of a request's complete answer.
func completeAnswer(request string, tokens int) string {
	var answer strings.Builder
	for n := range tokens {
		answer.WriteString(token(request, n))
	}
	return answer.String()
}

// start adds an attempt to the batch.
func (e *engine) start(submit protocol.Submit, prompt prompt, outputTokens int) {
	e.runs[submit.Request()]++
	e.batch = append(e.batch, &batchedAttempt{submit: submit, prompt: prompt, outputTokens: outputTokens})
	if !e.stepping {
		e.step()
	}
}

// cancel removes an attempt from the batch and reports its answer as truncated.
func (e *engine) cancel(attempt string) {
	at := slices.IndexFunc(e.batch, func(a *batchedAttempt) bool { return a.submit.Attempt() == attempt })
	if at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
		e.sim.after(0, func() { e.onEnd(attempt, protocol.CodeAnswerCut) })
	}
}

// cancelAll cancels every attempt in the batch.
func (e *engine) cancelAll() {
	for _, a := range slices.Clone(e.batch) {
		e.cancel(a.submit.Attempt())
	}
}

func (e *engine) step() {
	e.stepping = len(e.batch) > 0
	if !e.stepping {
		return
	}
	duration := stepBase + stepPerRequest*time.Duration(len(e.batch))
	for _, a := range e.batch {
		if !a.prefilled {
			a.prefilled = true
			duration += prefillPerToken * time.Duration(e.cachePrompt(a))
		}
	}
	e.sim.after(duration, func() {
		for _, a := range slices.Clone(e.batch) {
			e.generateToken(a)
		}
		e.step()
	})
}

// cachePrompt caches all blocks of an attempt's prompt and returns the number of
// its tokens that were not cached and so have to be computed.
func (e *engine) cachePrompt(a *batchedAttempt) int {
	tokens := a.prompt.tokens
	for _, block := range a.prompt.blocks {
		if e.cached[block] {
			tokens -= blockTokens
			continue
		}
		e.cached[block] = true
		e.cacheOrder = append(e.cacheOrder, block)
		if len(e.cacheOrder) > maxCachedBlocks {
			delete(e.cached, e.cacheOrder[0])
			e.cacheOrder = e.cacheOrder[1:]
		}
	}
	return max(tokens, 0)
}

// generateToken generates the next token of an attempt, sends the tokens of a
// full chunk, and ends the attempt after its last token.
func (e *engine) generateToken(a *batchedAttempt) {
	if !a.prefilled || e.stopped {
		return
	}
	a.unsent.WriteString(token(a.submit.Request(), a.generated))
	a.generated++
	if a.generated > 1 && a.generated%chunkTokens != 0 && a.generated < a.outputTokens {
		return
	}
	e.onChunk(a.submit.Attempt(), []byte(a.unsent.String()))
	a.unsent.Reset()
	if a.generated < a.outputTokens {
		return
	}
	at := slices.Index(e.batch, a)
	if at < 0 {
		return
	}
	e.batch = slices.Delete(e.batch, at, at+1)
	e.onEnd(a.submit.Attempt(), "")
}
