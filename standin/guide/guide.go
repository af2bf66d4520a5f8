// Package guide is the stand-in for a model engine: it batches continuously,
// one token for each running request at every step.
package guide

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
	"sesamewell.example/standin/stage"
)

// defaultTokens is the length of an answer when the request sets no maximum.
const defaultTokens = 16

// Config holds the construction parameters of an Engine.
type Config struct {
	Step   time.Duration // time between two tokens of one answer
	Trail  *tracing.Tracer
	Orders OrdersConfig
	Crash  func() // ends the process
	Marker string // text in a request's body at which to crash; empty for none
}

// Engine is responsible for the answers in the batch.
type Engine struct {
	config   Config
	batch    []*answer
	orders   *orders
	received bytes.Buffer
	runs     int
}

// answer is responsible for one running request.
type answer struct {
	call   *httpserver.Call
	span   *tracing.Span
	model  string
	chat   bool
	stream bool
	want   int
	made   int
	text   strings.Builder
}

// New returns an engine with an empty batch.
func New(config Config) *Engine { return &Engine{config: config, orders: newOrders(config.Orders)} }

// Start does nothing: the batch outlives a restart of the duty.
func (e *Engine) Start(time.Time) error { return nil }

// Handle processes one call.
func (e *Engine) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *httpserver.Call:
		e.receive(now, m)
	case httpserver.Disconnect:
		e.drop(now, m.Call())
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
	e.orders.tick(now, e.inUse)
	return nil
}

func (e *Engine) receive(now time.Time, call *httpserver.Call) {
	request := call.Request()
	path := string(request.URI().Path())
	switch {
	case path == "/received":
		stage.ReplyJSON(call, fasthttp.StatusOK, received{Runs: e.runs, Bytes: e.received.String()})
	case strings.HasPrefix(path, ordersPath):
		e.orders.receive(now, call, path)
	case strings.HasPrefix(path, "/traces/"):
		stage.ReplyJSON(call, fasthttp.StatusOK, e.config.Trail.Find(strings.TrimPrefix(path, "/traces/")))
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.begin(now, call, path)
	default:
		stage.ReplyStatus(call, fasthttp.StatusNotFound)
	}
}

// inUse reports whether a running answer needs a model or an adapter.
func (e *Engine) inUse(name string) bool {
	return slices.ContainsFunc(e.batch, func(a *answer) bool {
		return a.model == name || e.orders.base(a.model) == name
	})
}

// failure is the JSON form of a refusal.
type failure struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

func notResident(model string) failure {
	var f failure
	f.Error.Message = fmt.Sprintf("model %q is not loaded; the request was not run", model)
	f.Error.Code = "model_not_resident"
	return f
}

// received is the JSON form of what the engine has been sent.
type received struct {
	Runs  int    `json:"runs"`
	Bytes string `json:"bytes"`
}

func (e *Engine) begin(now time.Time, call *httpserver.Call, path string) {
	request := call.Request()
	e.received.Write(request.Header.Header())
	e.received.Write(request.Body())
	e.crash(request.Body())
	var asked struct {
		Model         string `json:"model"`
		Stream        bool   `json:"stream"`
		MaxTokens     int    `json:"max_tokens"`
		MaxCompletion int    `json:"max_completion_tokens"`
	}
	if err := json.Unmarshal(request.Body(), &asked); err != nil {
		stage.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	if !e.orders.runs(asked.Model) {
		stage.ReplyJSON(call, fasthttp.StatusNotFound, notResident(asked.Model))
		return
	}
	e.runs++
	a := &answer{
		call:   call,
		span:   e.config.Trail.Start(now, string(request.Header.Peek("traceparent")), "engine"),
		model:  asked.Model,
		chat:   path == "/v1/chat/completions",
		stream: asked.Stream,
		want:   max(asked.MaxTokens, asked.MaxCompletion),
	}
	if a.want == 0 {
		a.want = defaultTokens
	}
	e.batch = append(e.batch, a)
}

// step makes the next token and reports whether the answer has ended.
func (e *Engine) step(now time.Time, a *answer) bool {
	token := fmt.Sprintf("token%d ", a.made)
	a.made++
	a.text.WriteString(token)
	last := a.made >= a.want
	if a.stream {
		if a.send(token, last) != nil {
			a.span.End(now, "caller left")
			return true
		}
	}
	if !last {
		return false
	}
	a.span.SetAttribute("tokens", fmt.Sprint(a.made))
	a.span.End(now, "")
	if a.stream {
		a.call.End()
		return true
	}
	stage.ReplyJSON(a.call, fasthttp.StatusOK, a.whole())
	return true
}

// send writes one token of a stream, and the end after the last.
func (a *answer) send(token string, last bool) error {
	if a.made == 1 {
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

func (a *answer) chunk(token string, last bool) completion {
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

func (a *answer) whole() completion {
	text, stop := a.text.String(), "stop"
	c := choice{Message: &content{Role: "assistant", Content: text}, Finish: &stop}
	object := "chat.completion"
	if !a.chat {
		c, object = choice{Text: &text, Finish: &stop}, "text_completion"
	}
	prompt := len(a.call.Request().Body()) / 4
	return completion{
		ID: "answer", Object: object, Model: a.model, Choices: []choice{c},
		Usage: &usage{Prompt: prompt, Completion: a.made, Total: prompt + a.made},
	}
}

func (e *Engine) drop(now time.Time, call *httpserver.Call) {
	for i, a := range e.batch {
		if a.call == call {
			a.span.End(now, "caller left")
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			return
		}
	}
}
