package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
)

var start = time.Unix(1_000_000, 0)

const testInventory = `[instance near]
role = side
link = 127.0.0.1:1
domain = a
backend = engine-1
[instance far]
role = side
link = 127.0.0.1:2
domain = b
backend = engine-2
[backend engine-1]
kind = engine
memory = 1GiB
slots = 4
[backend engine-2]
kind = engine
memory = 1GiB
slots = 4
`

func newCore(t *testing.T) *Core {
	t.Helper()
	inventory, err := fleetstate.ParseInventory("inv.ini", []byte(testInventory))
	if err != nil {
		t.Fatal(err)
	}
	core := NewCore(CoreConfig{Domain: "a", MaxAttempts: 3, Probes: 4, RetryShare: 0.2, Random: rand.New(rand.NewPCG(1, 2))})
	core.Handle(start, NewInventoryChanged(inventory))
	return core
}

// handle passes a message to the core and replies to its probes as idle sides do.
// It returns the other actions.
func handle(core *Core, message Message) []Action {
	var rest []Action
	for _, action := range core.Handle(start, message) {
		probe, ok := action.(Probe)
		if !ok {
			rest = append(rest, action)
			continue
		}
		rest = append(rest, handle(core, idleReport(probe))...)
	}
	return rest
}

func idleReport(probe Probe) ProbeReply {
	estimate := protocol.NewEstimate(protocol.EstimateConfig{Request: probe.query.Request(), Resident: true})
	return NewProbeReply(probe.side, protocol.NewReport(protocol.ReportConfig{Side: "i1", Slots: 4, Estimates: []protocol.Estimate{estimate}}))
}

func testRequest(idempotent bool) Request {
	return NewRequest(RequestConfig{ID: "r", Model: "m", Idempotent: idempotent, Deadline: start.Add(time.Minute)})
}

func accepted(side, attempt string) SubmitReply {
	receipt := protocol.NewReceipt(protocol.ReceiptConfig{Attempt: attempt, Accepted: true})
	return NewSubmitReply(side, protocol.NewReceipts(protocol.ReceiptsConfig{Side: "i1", Receipts: []protocol.Receipt{receipt}}))
}

func refused(side, attempt, code string) SubmitReply {
	receipt := protocol.NewReceipt(protocol.ReceiptConfig{Attempt: attempt, Code: code})
	return NewSubmitReply(side, protocol.NewReceipts(protocol.ReceiptsConfig{Side: "i1", Receipts: []protocol.Receipt{receipt}}))
}

func readReply(side, incarnation string, config protocol.PageConfig) ReadReply {
	return NewReadReply(side, protocol.NewPages(protocol.PagesConfig{Side: incarnation, Pages: []protocol.Page{protocol.NewPage(config)}}))
}

// outcome is the part of the core's actions that the tests compare.
type outcome struct {
	Sends     []string
	Data      string
	Complete  bool
	Refusal   string
	Outcome   string
	Cancelled []string
}

func summarize(actions []Action) outcome {
	var o outcome
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			o.Sends = append(o.Sends, a.side)
		case Deliver:
			o.Data += string(a.data)
			o.Complete = o.Complete || a.complete
		case Refuse:
			o.Refusal, o.Outcome = a.refusal.Code(), a.refusal.Outcome()
		case Cancel:
			o.Cancelled = append(o.Cancelled, a.side)
		}
	}
	return o
}

func TestRetriesOnlyWhereAllowed(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		messages   []Message
		want       outcome
	}{
		"nearest first": {idempotent: true, want: outcome{Sends: []string{"near"}}},
		"refused, sent elsewhere": {
			messages: []Message{refused("near", "r.1", protocol.CodeQueueFull)},
			want:     outcome{Sends: []string{"near", "far"}},
		},
		"refused everywhere": {
			messages: []Message{refused("near", "r.1", protocol.CodeQueueFull), refused("far", "r.2", protocol.CodeQueueFull)},
			want:     outcome{Sends: []string{"near", "far"}, Refusal: protocol.CodeQueueFull, Outcome: httpserver.NotRun},
		},
		"side not reached": {
			messages: []Message{NewSubmitFailed("near", []string{"r.1"}, false)},
			want:     outcome{Sends: []string{"near", "far"}},
		},
		"receipt lost, not idempotent": {
			messages: []Message{NewSubmitFailed("near", []string{"r.1"}, true)},
			want:     outcome{Sends: []string{"near"}, Refusal: protocol.CodeSideUnreachable, Outcome: httpserver.MayHaveRun},
		},
		"receipt lost, idempotent": {
			idempotent: true,
			messages:   []Message{NewSubmitFailed("near", []string{"r.1"}, true)},
			want:       outcome{Sends: []string{"near", "far"}, Cancelled: []string{"near"}},
		},
		"side lost after its receipt": {
			messages: []Message{accepted("near", "r.1"), NewSideUnreachable("near")},
			want:     outcome{Sends: []string{"near"}, Refusal: protocol.CodeSideUnreachable, Outcome: httpserver.MayHaveRun},
		},
		"side restarted": {
			idempotent: true,
			messages:   []Message{accepted("near", "r.1"), readReply("near", "i2", protocol.PageConfig{Attempt: "other"})},
			want:       outcome{Sends: []string{"near", "far"}},
		},
		"answer cut off before the first byte": {
			idempotent: true,
			messages:   []Message{accepted("near", "r.1"), readReply("near", "i1", protocol.PageConfig{Attempt: "r.1", State: protocol.AnswerFailed, Code: protocol.CodeAnswerCut, MayHaveRun: true})},
			want:       outcome{Sends: []string{"near", "far"}},
		},
		"answer cut off, then refused elsewhere": {
			idempotent: true,
			messages: []Message{
				accepted("near", "r.1"),
				readReply("near", "i1", protocol.PageConfig{Attempt: "r.1", State: protocol.AnswerFailed, Code: protocol.CodeAnswerCut, MayHaveRun: true}),
				refused("far", "r.2", protocol.CodeQueueFull),
			},
			want: outcome{Sends: []string{"near", "far"}, Refusal: protocol.CodeQueueFull, Outcome: httpserver.MayHaveRun},
		},
		"answer cut off after the first byte": {
			idempotent: true,
			messages: []Message{
				accepted("near", "r.1"),
				readReply("near", "i1", protocol.PageConfig{Attempt: "r.1", Data: []byte("tok")}),
				readReply("near", "i1", protocol.PageConfig{Attempt: "r.1", Offset: 3, State: protocol.AnswerFailed, Code: protocol.CodeAnswerCut, MayHaveRun: true}),
			},
			want: outcome{Sends: []string{"near"}, Data: "tok", Refusal: protocol.CodeAnswerCut, Outcome: httpserver.MayHaveRun},
		},
		"backend server not reached": {
			messages: []Message{accepted("near", "r.1"), readReply("near", "i1", protocol.PageConfig{Attempt: "r.1", State: protocol.AnswerFailed, Code: protocol.CodeBackendUnreachable})},
			want:     outcome{Sends: []string{"near", "far"}},
		},
		"request abandoned": {
			messages: []Message{accepted("near", "r.1"), NewAbandoned("r")},
			want:     outcome{Sends: []string{"near"}, Cancelled: []string{"near"}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := newCore(t)
			actions := handle(core, testRequest(tc.idempotent))
			for _, message := range tc.messages {
				actions = append(actions, handle(core, message)...)
			}
			if diff := cmp.Diff(tc.want, summarize(actions)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAnswerIsCompleteAndFromItsAttempt(t *testing.T) {
	part := func(attempt string, offset int64, data string, state protocol.AnswerState) ReadReply {
		return readReply("near", "i1", protocol.PageConfig{Attempt: attempt, Offset: offset, Data: []byte(data), State: state, Status: 200})
	}
	cases := map[string]struct {
		messages []Message
		want     outcome
	}{
		"in order":      {messages: []Message{part("r.1", 0, "one ", protocol.AnswerOpen), part("r.1", 4, "two", protocol.AnswerComplete)}, want: outcome{Data: "one two", Complete: true}},
		"sent twice":    {messages: []Message{part("r.1", 0, "one ", protocol.AnswerOpen), part("r.1", 0, "one two", protocol.AnswerComplete)}, want: outcome{Data: "one two", Complete: true}},
		"other attempt": {messages: []Message{part("r.9", 0, "bad", protocol.AnswerOpen), part("r.1", 0, "good", protocol.AnswerComplete)}, want: outcome{Data: "good", Complete: true}},
		"part missing":  {messages: []Message{part("r.1", 0, "one ", protocol.AnswerOpen), part("r.1", 9, "two", protocol.AnswerComplete)}, want: outcome{Data: "one ", Refusal: protocol.CodeOutOfOrder, Outcome: httpserver.MayHaveRun, Cancelled: []string{"near"}}},
		"after the end": {messages: []Message{part("r.1", 0, "all", protocol.AnswerComplete), part("r.1", 3, "more", protocol.AnswerOpen)}, want: outcome{Data: "all", Complete: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			core := newCore(t)
			handle(core, testRequest(true))
			handle(core, accepted("near", "r.1"))
			var actions []Action
			for _, message := range tc.messages {
				actions = append(actions, handle(core, message)...)
			}
			if diff := cmp.Diff(tc.want, summarize(actions)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDeadlineEndsRequest(t *testing.T) {
	core := newCore(t)
	handle(core, testRequest(true))
	got := summarize(core.Tick(start.Add(2 * time.Minute)))
	want := outcome{Refusal: protocol.CodeDeadlineExceeded, Outcome: httpserver.MayHaveRun, Cancelled: []string{"near"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, core.Open()); diff != "" {
		t.Errorf("open requests (-want +got):\n%s", diff)
	}
}
