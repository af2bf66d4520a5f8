package rehearsal

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
	stepBase     = 20 * time.Millisecond // one step of the batch
	stepEach     = time.Millisecond      // more for each request in the batch
	prefillToken = 20 * time.Microsecond // each token of a prompt that is not cached
	blockTokens  = 256                   // tokens of one block of a prompt
	cachedBlocks = 160
	chunkTokens  = 8 // tokens that leave the engine together after the first
)

// engine is responsible for a model of continuous batching: every step makes a
// token for each request in the batch and computes new prompts first.
type engine struct {
	world   *world
	batch   []*job
	cache   []int
	cached  map[int]bool
	busy    bool
	dead    bool
	runs    map[string]int // by request, over the engine's life
	onPiece func(attempt string, data []byte)
	onEnd   func(attempt, code string)
}

// job is responsible for one attempt in the batch.
type job struct {
	submit  protocol.Submit
	prompt  prompt
	want    int
	made    int
	unsent  strings.Builder
	started bool
}

// prompt is what an engine must read before the first token.
type prompt struct {
	tokens int
	blocks []int // shared leading blocks, by number
}

func newEngine(w *world) *engine {
	return &engine{world: w, cached: make(map[int]bool), runs: make(map[string]int)}
}

// token returns the bytes of a request's n-th token.
func token(request string, n int) string { return fmt.Sprintf("%s/%d\n\n", request, n) }

// wholeAnswer returns the bytes of a request's answer.
func wholeAnswer(request string, tokens int) string {
	var answer strings.Builder
	for n := range tokens {
		answer.WriteString(token(request, n))
	}
	return answer.String()
}

func (e *engine) run(submit protocol.Submit, prompt prompt, want int) {
	e.runs[submit.Request()]++
	e.batch = append(e.batch, &job{submit: submit, prompt: prompt, want: want})
	if !e.busy {
		e.step()
	}
}

func (e *engine) stop(attempt string) {
	at := slices.IndexFunc(e.batch, func(j *job) bool { return j.submit.Attempt() == attempt })
	if at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
		e.world.after(0, func() { e.onEnd(attempt, protocol.CodeAnswerCut) })
	}
}

// crash ends everything in the batch.
func (e *engine) crash() {
	for _, j := range slices.Clone(e.batch) {
		e.stop(j.submit.Attempt())
	}
}

func (e *engine) step() {
	e.busy = len(e.batch) > 0
	if !e.busy {
		return
	}
	length := stepBase + stepEach*time.Duration(len(e.batch))
	for _, j := range e.batch {
		if !j.started {
			j.started = true
			length += prefillToken * time.Duration(e.uncached(j))
		}
	}
	e.world.after(length, func() {
		for _, j := range slices.Clone(e.batch) {
			e.advance(j)
		}
		e.step()
	})
}

// uncached returns the tokens of a prompt that must be computed, and caches
// all of it.
func (e *engine) uncached(j *job) int {
	tokens := j.prompt.tokens
	for _, block := range j.prompt.blocks {
		if e.cached[block] {
			tokens -= blockTokens
			continue
		}
		e.cached[block] = true
		e.cache = append(e.cache, block)
		if len(e.cache) > cachedBlocks {
			delete(e.cached, e.cache[0])
			e.cache = e.cache[1:]
		}
	}
	return max(tokens, 0)
}

func (e *engine) advance(j *job) {
	if !j.started || e.dead {
		return
	}
	j.unsent.WriteString(token(j.submit.Request(), j.made))
	j.made++
	if j.made > 1 && j.made%chunkTokens != 0 && j.made < j.want {
		return
	}
	e.onPiece(j.submit.Attempt(), []byte(j.unsent.String()))
	j.unsent.Reset()
	if j.made < j.want {
		return
	}
	at := slices.Index(e.batch, j)
	if at < 0 {
		return
	}
	e.batch = slices.Delete(e.batch, at, at+1)
	e.onEnd(j.submit.Attempt(), "")
}
