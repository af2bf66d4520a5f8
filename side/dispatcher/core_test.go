package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

var start = time.Unix(1_000_000, 0)

// replyRecorder is a ReplySink that records all replies.
type replyRecorder struct {
	items []any
}

func (r *replyRecorder) Put(item any) error {
	r.items = append(r.items, item)
	return nil
}

// harness runs a core in virtual time and records its actions.
type harness struct {
	core     *Core
	now      time.Time
	started  []string
	stopped  []string
	drained  bool
	lastRead uint64
}

func newHarness(change func(config *CoreConfig)) *harness {
	config := CoreConfig{Incarnation: "i1", Concurrency: 1, QueueLimit: 2, MaxBuffered: 100}
	if change != nil {
		change(&config)
	}
	return &harness{core: NewCore(config), now: start}
}

func (h *harness) handle(message Message) {
	h.execute(h.core.Handle(h.now, message))
}

func (h *harness) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			h.started = append(h.started, a.submit.Attempt())
		case Stop:
			h.stopped = append(h.stopped, a.attempt)
		case Drained:
			h.drained = true
		}
	}
}

// submit submits a batch and returns the refusal codes of its attempts, "" for
// those that were accepted.
func (h *harness) submit(config protocol.BatchConfig) []string {
	reply := &replyRecorder{}
	h.handle(NewBatchReceived(protocol.NewBatch(config), reply))
	var codes []string
	for _, receipt := range reply.items[0].(protocol.Receipts).Receipts() {
		codes = append(codes, receipt.Code())
	}
	return codes
}

// read sends a read, which must be answered at once, and returns the pages.
func (h *harness) read(t *testing.T, config protocol.ReadConfig) protocol.Pages {
	t.Helper()
	reply := &replyRecorder{}
	h.handle(NewReadRequested(h.nextRead(config), reply))
	if len(reply.items) == 0 {
		t.Fatal("the read was not answered")
	}
	return reply.items[0].(protocol.Pages)
}

// nextRead returns the next read of entry e1.
func (h *harness) nextRead(config protocol.ReadConfig) protocol.Read {
	h.lastRead++
	config.Entry, config.Number = "e1", h.lastRead
	return protocol.NewRead(config)
}

func idempotentSubmit(id string) protocol.Submit {
	return protocol.NewSubmit(protocol.SubmitConfig{Attempt: id, Idempotent: true, Remaining: time.Minute})
}

func urgentSubmit(id string) protocol.Submit {
	return protocol.NewSubmit(protocol.SubmitConfig{Attempt: id, Urgent: true, Remaining: time.Minute})
}

func batch(submits ...protocol.Submit) protocol.BatchConfig {
	return protocol.BatchConfig{Entry: "e1", Submits: submits}
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		before func(h *harness)
		batch  protocol.BatchConfig
		codes  []string
		runs   []string
	}{
		"runs at once":      {batch: batch(idempotentSubmit("a")), codes: []string{""}, runs: []string{"a"}},
		"is queued":         {batch: batch(idempotentSubmit("a"), idempotentSubmit("b")), codes: []string{"", ""}, runs: []string{"a"}},
		"queue is full":     {batch: batch(idempotentSubmit("a"), idempotentSubmit("b"), idempotentSubmit("c"), idempotentSubmit("d")), codes: []string{"", "", "", protocol.CodeQueueFull}, runs: []string{"a"}},
		"copy runs once":    {batch: batch(idempotentSubmit("a"), idempotentSubmit("a")), codes: []string{"", ""}, runs: []string{"a"}},
		"draining":          {before: func(h *harness) { h.handle(Drain{}) }, batch: batch(idempotentSubmit("a")), codes: []string{protocol.CodeDraining}},
		"other incarnation": {batch: protocol.BatchConfig{Entry: "e1", Side: "i0", Submits: []protocol.Submit{idempotentSubmit("a")}}, codes: []string{protocol.CodeRestarted}},
		"cancelled earlier": {before: func(h *harness) { h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{"a"}}) }, batch: batch(idempotentSubmit("a")), codes: []string{""}},
		"this incarnation":  {batch: protocol.BatchConfig{Entry: "e1", Side: "i1", Submits: []protocol.Submit{idempotentSubmit("a")}}, codes: []string{""}, runs: []string{"a"}},
		"copy of a refusal": {before: func(h *harness) {
			h.submit(batch(idempotentSubmit("a"), idempotentSubmit("b"), idempotentSubmit("c"), idempotentSubmit("d")))
			h.handle(NewAttemptEnded("a", "", true))
		}, batch: batch(idempotentSubmit("d")), codes: []string{protocol.CodeQueueFull}, runs: []string{"a", "b"}},
		"copy after its end": {before: finishAttempt("a"), batch: batch(idempotentSubmit("a")), codes: []string{""}, runs: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			if tc.before != nil {
				tc.before(h)
			}
			codes := h.submit(tc.batch)
			if diff := cmp.Diff(tc.codes, codes); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, h.started); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// finishAttempt returns a function that runs an attempt to its end and confirms its
// answer.
func finishAttempt(id string) func(h *harness) {
	return func(h *harness) {
		h.submit(batch(idempotentSubmit(id)))
		h.handle(NewAttemptEnded(id, "", true))
		reply := &replyRecorder{}
		position := protocol.NewPosition(protocol.PositionConfig{Attempt: id, Ended: true})
		h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Positions: []protocol.Position{position}}), reply))
	}
}

func TestUrgentAttemptsRunFirst(t *testing.T) {
	h := newHarness(func(config *CoreConfig) { config.QueueLimit = 10 })
	h.submit(batch(idempotentSubmit("first")))
	h.submit(batch(idempotentSubmit("waits"), urgentSubmit("u1"), urgentSubmit("u2")))
	for range 3 {
		h.handle(NewAttemptEnded(h.started[len(h.started)-1], "", true))
	}
	if diff := cmp.Diff([]string{"first", "u1", "u2", "waits"}, h.started); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestAnswerIsResentAfterLostReply(t *testing.T) {
	cases := map[string]struct {
		confirmed int64
		resume    bool
		want      string
		offset    int64
	}{
		"in order":              {confirmed: 6, want: "-rest", offset: 6},
		"reply lost":            {confirmed: 0, resume: true, want: "first6-rest", offset: 0},
		"reply partly received": {confirmed: 3, resume: true, want: "st6-rest", offset: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			h.submit(batch(idempotentSubmit("a")))
			h.handle(NewChunkReceived("a", []byte("first6")))
			h.read(t, protocol.ReadConfig{Wait: time.Second})
			h.handle(NewChunkReceived("a", []byte("-rest")))
			h.handle(NewAttemptEnded("a", "", true))
			position := protocol.NewPosition(protocol.PositionConfig{Attempt: "a", Offset: tc.confirmed})
			pages := h.read(t, protocol.ReadConfig{Wait: time.Second, Resume: tc.resume, Positions: []protocol.Position{position}}).Pages()
			if len(pages) != 1 {
				t.Fatalf("%d pages, want 1", len(pages))
			}
			if diff := cmp.Diff(tc.want, string(pages[0].Data())); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.offset, pages[0].Offset()); diff != "" {
				t.Errorf("offset (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(protocol.AnswerComplete, pages[0].State()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	notIdempotent := protocol.NewSubmit(protocol.SubmitConfig{Attempt: "a", Remaining: time.Minute})
	cases := map[string]struct {
		submit protocol.Submit
		stops  []string
	}{
		"idempotent":     {submit: idempotentSubmit("a"), stops: []string{"a"}},
		"not idempotent": {submit: notIdempotent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			h.submit(batch(tc.submit, idempotentSubmit("waits")))
			h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{"a", "waits"}})
			if diff := cmp.Diff(tc.stops, h.stopped); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(0, h.core.Queued()); diff != "" {
				t.Errorf("queued (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDrainWaitsForConfirmations(t *testing.T) {
	h := newHarness(nil)
	h.submit(batch(idempotentSubmit("a")))
	h.handle(Drain{})
	h.handle(NewAttemptEnded("a", "", true))
	if h.drained {
		t.Error("drained before the entry confirmed the answer")
	}
	h.read(t, protocol.ReadConfig{Wait: time.Second})
	position := protocol.NewPosition(protocol.PositionConfig{Attempt: "a", Ended: true})
	h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Positions: []protocol.Position{position}}), &replyRecorder{}))
	if !h.drained {
		t.Error("not drained after the entry confirmed the answer")
	}
}

func TestSilentEntryTimesOut(t *testing.T) {
	h := newHarness(nil)
	h.submit(batch(idempotentSubmit("a"), idempotentSubmit("b")))
	h.now = h.now.Add(entryTimeout + time.Second)
	h.execute(h.core.Tick(h.now))
	if diff := cmp.Diff([]string{"a"}, h.stopped); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, h.core.Queued()); diff != "" {
		t.Errorf("queued (-want +got):\n%s", diff)
	}
}

func TestQueuedAttemptExpiresWithoutRunning(t *testing.T) {
	h := newHarness(nil)
	h.submit(batch(idempotentSubmit("a")))
	h.submit(batch(protocol.NewSubmit(protocol.SubmitConfig{Attempt: "b", Remaining: time.Second})))
	h.now = h.now.Add(2 * time.Second)
	h.execute(h.core.Tick(h.now))
	pages := h.read(t, protocol.ReadConfig{Wait: time.Second}).Pages()
	if len(pages) != 1 {
		t.Fatalf("%d pages, want 1", len(pages))
	}
	if diff := cmp.Diff(protocol.CodeDeadlineExceeded, pages[0].Code()); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
	if pages[0].MayHaveRun() {
		t.Error("attempt that never ran is reported as run")
	}
}

func TestSupersededReadGetsNoPages(t *testing.T) {
	cases := map[string]func(h *harness, superseded *replyRecorder){
		"replaced by a later one": func(h *harness, superseded *replyRecorder) {
			h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Wait: time.Second}), superseded))
		},
		"arrives after a later one": func(h *harness, superseded *replyRecorder) {
			h.lastRead += 2
			late := protocol.NewRead(protocol.ReadConfig{Entry: "e1", Number: h.lastRead - 1, Wait: time.Second})
			h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Wait: time.Second}), &replyRecorder{}))
			h.handle(NewReadRequested(late, superseded))
		},
	}
	for name, earlier := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			h.submit(batch(idempotentSubmit("a")))
			h.handle(NewChunkReceived("a", []byte("lost")))
			h.read(t, protocol.ReadConfig{Wait: time.Second})
			superseded := &replyRecorder{}
			earlier(h, superseded)
			pages := h.read(t, protocol.ReadConfig{Wait: time.Second, Resume: true}).Pages()
			if len(pages) != 1 {
				t.Fatalf("%d pages, want 1", len(pages))
			}
			if diff := cmp.Diff("lost", string(pages[0].Data())); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if len(superseded.items) != 1 || superseded.items[0] != error(ErrSuperseded) {
				t.Errorf("the superseded read was answered with %v", superseded.items)
			}
		})
	}
}

func TestReadWaitsForFlushDelay(t *testing.T) {
	h := newHarness(func(config *CoreConfig) { config.FlushDelay = 2 * time.Millisecond })
	h.submit(batch(idempotentSubmit("a")))
	reply := &replyRecorder{}
	h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Wait: time.Second}), reply))
	h.handle(NewChunkReceived("a", []byte("1")))
	if diff := cmp.Diff(h.now.Add(2*time.Millisecond), h.core.Alarm()); diff != "" {
		t.Errorf("alarm (-want +got):\n%s", diff)
	}
	h.handle(NewChunkReceived("a", []byte("2")))
	h.now = h.core.Alarm()
	h.execute(h.core.Tick(h.now))
	if len(reply.items) != 1 {
		t.Fatalf("%d answers, want 1", len(reply.items))
	}
	if diff := cmp.Diff("12", string(reply.items[0].(protocol.Pages).Pages()[0].Data())); diff != "" {
		t.Errorf("data (-want +got):\n%s", diff)
	}
}
