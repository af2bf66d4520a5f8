// Package guide is the stand-in for a model engine: it batches continuously,
// one token for each running request at every step.
package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/standin/server"
)

// defaultTokens is the length of an answer when the request sets no maximum.
const defaultMaxTokens = 16

// Config holds the construction parameters of an Engine.
type Config struct {
	Step        time.Duration // time between two tokens of one answer
	Trail       *tracing.Tracer
	Orders      OrderHandlerConfig
	Crash       func() // ends the process
	CrashMarker string // text in a request's body at which to crash; empty for none
}

// Engine is responsible for the answers in the batch.
type Engine struct {
	config       Config
	batch        []*generation
	orderHandler *orderHandler
	received     bytes.Buffer
	runs         int
}

// answer is responsible for one running request.
type generation struct {
	call      *httpserver.Call
	span      *tracing.Span
	model     string
	chat      bool
	stream    bool
	maxTokens int
	generated int
	text      strings.Builder
}

// New returns an engine with an empty batch.
func New(config Config) *Engine {
	return &Engine{config: config, orderHandler: newOrderHandler(config.Orders)}
}

// Start does nothing: the batch outlives a restart of the duty.
func (e *Engine) Start(time.Time) error { return nil }

// Handle processes one call.
func (e *Engine) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *httpserver.Call:
		e.receive(now, m)
	case httpserver.Disconnect:
		e.cancel(now, m.Call())
	}
	return nil
}

// Tick makes one token for each answer in the batch.
func (e *Engine) Tick(now time.Time) error {
	running := e.batch[:0]
	for _, a := range e.batch {
		if !e.step(now, a) {
			running = append(running, a)
		}
	}
	clear(e.batch[len(running):])
	e.batch = running
	e.orderHandler.tick(now, e.inUse)
	return nil
}

func (e *Engine) receive(now time.Time, call *httpserver.Call) {
	request := call.Request()
	path := string(request.URI().Path())
	switch {
	case path == "/received":
		server.ReplyJSON(call, fasthttp.StatusOK, received{Runs: e.runs, Bytes: e.received.String()})
	case strings.HasPrefix(path, ordersPath):
		e.orderHandler.receive(now, call, path)
	case strings.HasPrefix(path, "/traces/"):
		server.ReplyJSON(call, fasthttp.StatusOK, e.config.Trail.Find(strings.TrimPrefix(path, "/traces/")))
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.startGeneration(now, call, path)
	default:
		server.ReplyStatus(call, fasthttp.StatusNotFound)
	}
}

// inUse reports whether a running answer needs a model or an adapter.
func (e *Engine) inUse(name string) bool {
	return slices.ContainsFunc(e.batch, func(a *generation) bool {
		return a.model == name || e.orderHandler.baseModel(a.model) == name
	})
}

// failure is the JSON form of a refusal.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

func notResident(model string) errorBody {
	var f errorBody
	f.Error.Message = fmt.Sprintf("model %q is not loaded; the request was not run", model)
	f.Error.Code = "model_not_resident"
	return f
}

// received is the JSON form of what the engine has been sent.
type received struct {
	Runs  int    `json:"runs"`
	Bytes string `json:"bytes"`
}

func (e *Engine) startGeneration(now time.Time, call *httpserver.Call, path string) {
	request := call.Request()
	e.received.Write(request.Header.Header())
	e.received.Write(request.Body())
	e.crashIfMarked(request.Body())
	var asked struct {
		Model         string `json:"model"`
		Stream        bool   `json:"stream"`
		MaxTokens     int    `json:"max_tokens"`
		MaxCompletion int    `json:"max_completion_tokens"`
	}
	if err := json.Unmarshal(request.Body(), &asked); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	if !e.orderHandler.canRun(asked.Model) {
		server.ReplyJSON(call, fasthttp.StatusNotFound, notResident(asked.Model))
		return
	}
	e.runs++
	a := &generation{
		call:      call,
		span:      e.config.Trail.Start(now, string(request.Header.Peek("traceparent")), "engine"),
		model:     asked.Model,
		chat:      path == "/v1/chat/completions",
		stream:    asked.Stream,
		maxTokens: max(asked.MaxTokens, asked.MaxCompletion),
	}
	if a.maxTokens == 0 {
		a.maxTokens = defaultMaxTokens
	}
	e.batch = append(e.batch, a)
}

// step makes the next token and reports whether the answer has ended.
func (e *Engine) step(now time.Time, a *generation) bool {
	token := fmt.Sprintf("token%d ", a.generated)
	a.generated++
	a.text.WriteString(token)
	last := a.generated >= a.maxTokens
	if a.stream {
		if a.sendToken(token, last) != nil {
			a.span.End(now, "caller left")
			return true
		}
	}
	if !last {
		return false
	}
	a.span.SetAttribute("tokens", fmt.Sprint(a.generated))
	a.span.End(now, "")
	if a.stream {
		a.call.End()
		return true
	}
	server.ReplyJSON(a.call, fasthttp.StatusOK, a.fullResponse())
	return true
}

// send writes one token of a stream, and the end after the last.
func (a *generation) sendToken(token string, last bool) error {
	if a.generated == 1 {
		response := &fasthttp.Response{}
		response.Header.SetContentType("text/event-stream")
		if err := a.call.Begin(response); err != nil {
			return err
		}
	}
	var out bytes.Buffer
	if err := writeEvent(&out, a.chunk(token, last)); err != nil {
		return err
	}
	if last {
		out.WriteString("data: [DONE]\n\n")
	}
	return a.call.Write(out.Bytes())
}

func writeEvent(out *bytes.Buffer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	message := &sse.Message{}
	message.AppendData(string(data))
	_, err = message.WriteTo(out)
	return err
}

// choice is one choice of an answer or of a chunk.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *content `json:"delta,omitempty"`
	Message *content `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (a *generation) chunk(token string, last bool) completion {
	c := choice{Delta: &content{Content: token}}
	object := "chat.completion.chunk"
	if !a.chat {
		c, object = choice{Text: &token}, "text_completion"
	}
	if last {
		stop := "stop"
		c.Finish = &stop
	}
	return completion{ID: "answer", Object: object, Model: a.model, Choices: []choice{c}}
}

func (a *generation) fullResponse() completion {
	text, stop := a.text.String(), "stop"
	c := choice{Message: &content{Role: "assistant", Content: text}, Finish: &stop}
	object := "chat.completion"
	if !a.chat {
		c, object = choice{Text: &text, Finish: &stop}, "text_completion"
	}
	prompt := len(a.call.Request().Body()) / 4
	return completion{
		ID: "answer", Object: object, Model: a.model, Choices: []choice{c},
		Usage: &usage{Prompt: prompt, Completion: a.generated, Total: prompt + a.generated},
	}
}

func (e *Engine) cancel(now time.Time, call *httpserver.Call) {
	for i, a := range e.batch {
		if a.call == call {
			a.span.End(now, "caller left")
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			return
		}
	}
}
