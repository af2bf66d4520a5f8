package routingsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/protocol"
)

// Speed of the fake engine, as of an accelerator that keeps the target between
// tokens with all slots taken.
const (
	stepBase        = 20 * time.Millisecond // one step of the batch
	stepPerRequest  = time.Millisecond      // more for each request in the batch
	prefillPerToken = 20 * time.Microsecond // each token of a prompt that is not cached
	blockTokens     = 256                   // tokens of one block of a prompt
	maxCachedBlocks = 160
	chunkTokens     = 8 // tokens that leave the engine together after the first
)

// engine is responsible for a model of continuous batching: every step makes a
// token for each request in the batch and computes new prompts first.
type engine struct {
	sim        *simulation
	batch      []*batchedAttempt
	cacheOrder []int
	cached     map[int]bool
	stepping   bool
	stopped    bool
	runs       map[string]int // by request, over the engine's life
	onChunk    func(attempt string, data []byte)
	onEnd      func(attempt, code string)
}

// job is responsible for one attempt in the batch.
type batchedAttempt struct {
	submit       protocol.Submit
	prompt       prompt
	outputTokens int
	generated    int
	unsent       strings.Builder
	prefilled    bool
}

// prompt is what an engine must read before the first token.
type prompt struct {
	tokens int
	blocks []int // shared leading blocks, by number
}

func newEngine(w *simulation) *engine {
	return &engine{sim: w, cached: make(map[int]bool), runs: make(map[string]int)}
}

// token returns the bytes of a request's n-th token.
func token(request string, n int) string { return fmt.Sprintf("%s/%d\n\n", request, n) }

// wholeAnswer returns the bytes of a request's answer.
func completeAnswer(request string, tokens int) string {
	var answer strings.Builder
	for n := range tokens {
		answer.WriteString(token(request, n))
	}
	return answer.String()
}

func (e *engine) start(submit protocol.Submit, prompt prompt, want int) {
	e.runs[submit.Request()]++
	e.batch = append(e.batch, &batchedAttempt{submit: submit, prompt: prompt, outputTokens: want})
	if !e.stepping {
		e.step()
	}
}

func (e *engine) cancel(attempt string) {
	at := slices.IndexFunc(e.batch, func(j *batchedAttempt) bool { return j.submit.Attempt() == attempt })
	if at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
		e.sim.after(0, func() { e.onEnd(attempt, protocol.CodeAnswerCut) })
	}
}

// crash ends everything in the batch.
func (e *engine) cancelAll() {
	for _, j := range slices.Clone(e.batch) {
		e.cancel(j.submit.Attempt())
	}
}

func (e *engine) step() {
	e.stepping = len(e.batch) > 0
	if !e.stepping {
		return
	}
	length := stepBase + stepPerRequest*time.Duration(len(e.batch))
	for _, j := range e.batch {
		if !j.prefilled {
			j.prefilled = true
			length += prefillPerToken * time.Duration(e.cachePrompt(j))
		}
	}
	e.sim.after(length, func() {
		for _, j := range slices.Clone(e.batch) {
			e.generateToken(j)
		}
		e.step()
	})
}

// uncached returns the tokens of a prompt that must be computed, and caches
// all of it.
func (e *engine) cachePrompt(j *batchedAttempt) int {
	tokens := j.prompt.tokens
	for _, block := range j.prompt.blocks {
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

func (e *engine) generateToken(j *batchedAttempt) {
	if !j.prefilled || e.stopped {
		return
	}
	j.unsent.WriteString(token(j.submit.Request(), j.generated))
	j.generated++
	if j.generated > 1 && j.generated%chunkTokens != 0 && j.generated < j.outputTokens {
		return
	}
	e.onChunk(j.submit.Attempt(), []byte(j.unsent.String()))
	j.unsent.Reset()
	if j.generated < j.outputTokens {
		return
	}
	at := slices.Index(e.batch, j)
	if at < 0 {
		return
	}
	e.batch = slices.Delete(e.batch, at, at+1)
	e.onEnd(j.submit.Attempt(), "")
}
