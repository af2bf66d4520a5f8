// Package engine simulates a model engine with continuous batching: each step
// generates one token for every running request.
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

// defaultMaxTokens is the number of tokens generated when the request sets no
// maximum.
const defaultMaxTokens = 16

// Config holds the construction parameters of an Engine.
type Config struct {
	Step        time.Duration // time between two tokens of one request
	Tracer      *tracing.Tracer
	Orders      OrderHandlerConfig
	Crash       func() // ends the process; called when a request contains CrashMarker
	CrashMarker string // crash on a request whose body contains this text; empty disables
}

// Engine runs the requests in the batch. Its methods run on the server's event
// loop.
type Engine struct {
	config       Config
	batch        []*generation
	orderHandler *orderHandler
	received     bytes.Buffer
	runs         int // requests that have begun to run
}

// generation is one running request.
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

// Start does nothing: the batch survives a restart of the event loop.
func (e *Engine) Start(time.Time) error { return nil }

// Handle starts a request or cancels the request of a closed connection.
func (e *Engine) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *httpserver.Call:
		e.receive(now, m)
	case httpserver.Disconnect:
		e.cancel(now, m.Call())
	}
	return nil
}

// Tick generates one token for each request in the batch and then advances
// orders and loads.
func (e *Engine) Tick(now time.Time) error {
	running := e.batch[:0]
	for _, g := range e.batch {
		if !e.step(now, g) {
			running = append(running, g)
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
		server.ReplyJSON(call, fasthttp.StatusOK, e.config.Tracer.Find(strings.TrimPrefix(path, "/traces/")))
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.startGeneration(now, call, path)
	default:
		server.ReplyStatus(call, fasthttp.StatusNotFound)
	}
}

// inUse reports whether a running request needs the model or adapter name.
func (e *Engine) inUse(name string) bool {
	return slices.ContainsFunc(e.batch, func(g *generation) bool {
		return g.model == name || e.orderHandler.baseModel(g.model) == name
	})
}

// errorBody is the JSON form of a refused request.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

func notResident(model string) errorBody {
	var body errorBody
	body.Error.Message = fmt.Sprintf("model %q is not loaded; the request was not run", model)
	body.Error.Code = "model_not_resident"
	return body
}

// received is the JSON form of the requests received so far: the number that
// ran, and the headers and bodies of all of them.
type received struct {
	Runs  int    `json:"runs"`
	Bytes string `json:"bytes"`
}

func (e *Engine) startGeneration(now time.Time, call *httpserver.Call, path string) {
	request := call.Request()
	e.received.Write(request.Header.Header())
	e.received.Write(request.Body())
	e.crashIfMarked(request.Body())
	var params struct {
		Model         string `json:"model"`
		Stream        bool   `json:"stream"`
		MaxTokens     int    `json:"max_tokens"`
		MaxCompletion int    `json:"max_completion_tokens"`
	}
	if err := json.Unmarshal(request.Body(), &params); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	if !e.orderHandler.canRun(params.Model) {
		server.ReplyJSON(call, fasthttp.StatusNotFound, notResident(params.Model))
		return
	}
	e.runs++
	g := &generation{
		call:      call,
		span:      e.config.Tracer.Start(now, string(request.Header.Peek("traceparent")), "engine"),
		model:     params.Model,
		chat:      path == "/v1/chat/completions",
		stream:    params.Stream,
		maxTokens: max(params.MaxTokens, params.MaxCompletion),
	}
	if g.maxTokens == 0 {
		g.maxTokens = defaultMaxTokens
	}
	e.batch = append(e.batch, g)
}

// step generates the next token and reports whether the request has ended.
func (e *Engine) step(now time.Time, g *generation) bool {
	token := fmt.Sprintf("token%d ", g.generated)
	g.generated++
	g.text.WriteString(token)
	last := g.generated >= g.maxTokens
	if g.stream {
		if g.sendToken(token, last) != nil {
			g.span.End(now, "caller left")
			return true
		}
	}
	if !last {
		return false
	}
	g.span.SetAttribute("tokens", fmt.Sprint(g.generated))
	g.span.End(now, "")
	if g.stream {
		g.call.End()
		return true
	}
	server.ReplyJSON(g.call, fasthttp.StatusOK, g.fullResponse())
	return true
}

// sendToken writes one token of a stream, and the end marker after the last one.
func (g *generation) sendToken(token string, last bool) error {
	if g.generated == 1 {
		response := &fasthttp.Response{}
		response.Header.SetContentType("text/event-stream")
		if err := g.call.Begin(response); err != nil {
			return err
		}
	}
	var out bytes.Buffer
	if err := writeEvent(&out, g.chunk(token, last)); err != nil {
		return err
	}
	if last {
		out.WriteString("data: [DONE]\n\n")
	}
	return g.call.Write(out.Bytes())
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

// choice is one element of choices in a completion or a chunk.
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

func (g *generation) chunk(token string, last bool) completion {
	c := choice{Delta: &content{Content: token}}
	object := "chat.completion.chunk"
	if !g.chat {
		c, object = choice{Text: &token}, "text_completion"
	}
	if last {
		stop := "stop"
		c.Finish = &stop
	}
	return completion{ID: "answer", Object: object, Model: g.model, Choices: []choice{c}}
}

func (g *generation) fullResponse() completion {
	text, stop := g.text.String(), "stop"
	c := choice{Message: &content{Role: "assistant", Content: text}, Finish: &stop}
	object := "chat.completion"
	if !g.chat {
		c, object = choice{Text: &text, Finish: &stop}, "text_completion"
	}
	prompt := len(g.call.Request().Body()) / 4
	return completion{
		ID: "answer", Object: object, Model: g.model, Choices: []choice{c},
		Usage: &usage{Prompt: prompt, Completion: g.generated, Total: prompt + g.generated},
	}
}

func (e *Engine) cancel(now time.Time, call *httpserver.Call) {
	for i, g := range e.batch {
		if g.call == call {
			g.span.End(now, "caller left")
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			return
		}
	}
}
