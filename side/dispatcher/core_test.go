package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

var start = time.Unix(1_000_000, 0)

// sink keeps what the core answered.
type replyRecorder struct {
	items []any
}

func (s *replyRecorder) Put(item any) error {
	s.items = append(s.items, item)
	return nil
}

// bench is a core together with what its actions did.
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

func (b *harness) handle(message Message) {
	b.perform(b.core.Handle(b.now, message))
}

func (b *harness) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			b.started = append(b.started, a.submit.Attempt())
		case Stop:
			b.stopped = append(b.stopped, a.attempt)
		case Drained:
			b.drained = true
		}
	}
}

// submit sends attempts and returns the causes of refusals, "" for accepted.
func (b *harness) submit(config notice.BatchConfig) []string {
	reply := &replyRecorder{}
	b.handle(NewBatchReceived(notice.NewBatch(config), reply))
	var codes []string
	for _, receipt := range reply.items[0].(notice.Receipts).Receipts() {
		codes = append(codes, receipt.Code())
	}
	return codes
}

// read makes one read that must be answered at once.
func (b *harness) read(t *testing.T, config notice.ReadConfig) notice.Pages {
	t.Helper()
	reply := &replyRecorder{}
	b.handle(NewReadRequested(b.nextRead(config), reply))
	if len(reply.items) == 0 {
		t.Fatal("the read was not answered")
	}
	return reply.items[0].(notice.Pages)
}

// numbered returns an entry's next read.
func (b *harness) nextRead(config notice.ReadConfig) notice.Read {
	b.lastRead++
	config.Entry, config.Number = "e1", b.lastRead
	return notice.NewRead(config)
}

func idempotentSubmit(id string) notice.Submit {
	return notice.NewSubmit(notice.SubmitConfig{Attempt: id, Idempotent: true, Remaining: time.Minute})
}

func urgentSubmit(id string) notice.Submit {
	return notice.NewSubmit(notice.SubmitConfig{Attempt: id, Urgent: true, Remaining: time.Minute})
}

func batch(submits ...notice.Submit) notice.BatchConfig {
	return notice.BatchConfig{Entry: "e1", Submits: submits}
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		before func(b *harness)
		batch  notice.BatchConfig
		codes  []string
		runs   []string
	}{
		"runs at once":      {batch: batch(idempotentSubmit("a")), codes: []string{""}, runs: []string{"a"}},
		"waits":             {batch: batch(idempotentSubmit("a"), idempotentSubmit("b")), codes: []string{"", ""}, runs: []string{"a"}},
		"queue is full":     {batch: batch(idempotentSubmit("a"), idempotentSubmit("b"), idempotentSubmit("c"), idempotentSubmit("d")), codes: []string{"", "", "", notice.CodeQueueFull}, runs: []string{"a"}},
		"a copy runs once":  {batch: batch(idempotentSubmit("a"), idempotentSubmit("a")), codes: []string{"", ""}, runs: []string{"a"}},
		"leaving":           {before: func(b *harness) { b.handle(Drain{}) }, batch: batch(idempotentSubmit("a")), codes: []string{notice.CodeLeaving}},
		"other incarnation": {batch: notice.BatchConfig{Entry: "e1", Side: "i0", Submits: []notice.Submit{idempotentSubmit("a")}}, codes: []string{notice.CodeRestarted}},
		"cancelled earlier": {before: func(b *harness) { b.submit(notice.BatchConfig{Entry: "e1", Cancels: []string{"a"}}) }, batch: batch(idempotentSubmit("a")), codes: []string{""}},
		"this incarnation":  {batch: notice.BatchConfig{Entry: "e1", Side: "i1", Submits: []notice.Submit{idempotentSubmit("a")}}, codes: []string{""}, runs: []string{"a"}},
		"copy of a refusal": {before: func(b *harness) {
			b.submit(batch(idempotentSubmit("a"), idempotentSubmit("b"), idempotentSubmit("c"), idempotentSubmit("d")))
			b.handle(NewAttemptEnded("a", "", true))
		}, batch: batch(idempotentSubmit("d")), codes: []string{notice.CodeQueueFull}, runs: []string{"a", "b"}},
		"copy after its end": {before: finishAttempt("a"), batch: batch(idempotentSubmit("a")), codes: []string{""}, runs: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(nil)
			if tc.before != nil {
				tc.before(b)
			}
			codes := b.submit(tc.batch)
			if diff := cmp.Diff(tc.codes, codes); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, b.started); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// finished runs an attempt to its end and confirms its answer.
func finishAttempt(id string) func(b *harness) {
	return func(b *harness) {
		b.submit(batch(idempotentSubmit(id)))
		b.handle(NewAttemptEnded(id, "", true))
		reply := &replyRecorder{}
		position := notice.NewPosition(notice.PositionConfig{Attempt: id, Ended: true})
		b.handle(NewReadRequested(b.nextRead(notice.ReadConfig{Positions: []notice.Position{position}}), reply))
	}
}

func TestUrgentAttemptsRunFirst(t *testing.T) {
	b := newHarness(func(config *CoreConfig) { config.QueueLimit = 10 })
	b.submit(batch(idempotentSubmit("first")))
	b.submit(batch(idempotentSubmit("waits"), urgentSubmit("u1"), urgentSubmit("u2")))
	for range 3 {
		b.handle(NewAttemptEnded(b.started[len(b.started)-1], "", true))
	}
	if diff := cmp.Diff([]string{"first", "u1", "u2", "waits"}, b.started); diff != "" {
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
		"in order":           {confirmed: 6, want: "-rest", offset: 6},
		"reply lost":         {confirmed: 0, resume: true, want: "first6-rest", offset: 0},
		"half of it arrived": {confirmed: 3, resume: true, want: "st6-rest", offset: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(nil)
			b.submit(batch(idempotentSubmit("a")))
			b.handle(NewChunkReceived("a", []byte("first6")))
			b.read(t, notice.ReadConfig{Wait: time.Second})
			b.handle(NewChunkReceived("a", []byte("-rest")))
			b.handle(NewAttemptEnded("a", "", true))
			position := notice.NewPosition(notice.PositionConfig{Attempt: "a", Offset: tc.confirmed})
			pages := b.read(t, notice.ReadConfig{Wait: time.Second, Resume: tc.resume, Positions: []notice.Position{position}}).Pages()
			if len(pages) != 1 {
				t.Fatalf("%d pages, want 1", len(pages))
			}
			if diff := cmp.Diff(tc.want, string(pages[0].Data())); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.offset, pages[0].Offset()); diff != "" {
				t.Errorf("offset (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(notice.Whole, pages[0].State()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	booking := notice.NewSubmit(notice.SubmitConfig{Attempt: "a", Remaining: time.Minute})
	cases := map[string]struct {
		submit notice.Submit
		stops  []string
	}{
		"may be repeated":     {submit: idempotentSubmit("a"), stops: []string{"a"}},
		"may not be repeated": {submit: booking},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(nil)
			b.submit(batch(tc.submit, idempotentSubmit("waits")))
			b.submit(notice.BatchConfig{Entry: "e1", Cancels: []string{"a", "waits"}})
			if diff := cmp.Diff(tc.stops, b.stopped); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(0, b.core.Queued()); diff != "" {
				t.Errorf("queued (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDrainWaitsForConfirmations(t *testing.T) {
	b := newHarness(nil)
	b.submit(batch(idempotentSubmit("a")))
	b.handle(Drain{})
	b.handle(NewAttemptEnded("a", "", true))
	if b.drained {
		t.Error("drained before the entry had the answer")
	}
	b.read(t, notice.ReadConfig{Wait: time.Second})
	position := notice.NewPosition(notice.PositionConfig{Attempt: "a", Ended: true})
	b.handle(NewReadRequested(b.nextRead(notice.ReadConfig{Positions: []notice.Position{position}}), &replyRecorder{}))
	if !b.drained {
		t.Error("not drained after the entry had the answer")
	}
}

func TestSilentEntryTimesOut(t *testing.T) {
	b := newHarness(nil)
	b.submit(batch(idempotentSubmit("a"), idempotentSubmit("b")))
	b.now = b.now.Add(entryTimeout + time.Second)
	b.perform(b.core.Tick(b.now))
	if diff := cmp.Diff([]string{"a"}, b.stopped); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, b.core.Queued()); diff != "" {
		t.Errorf("queued (-want +got):\n%s", diff)
	}
}

func TestQueuedAttemptExpiresWithoutRunning(t *testing.T) {
	b := newHarness(nil)
	b.submit(batch(idempotentSubmit("a")))
	b.submit(batch(notice.NewSubmit(notice.SubmitConfig{Attempt: "b", Remaining: time.Second})))
	b.now = b.now.Add(2 * time.Second)
	b.perform(b.core.Tick(b.now))
	pages := b.read(t, notice.ReadConfig{Wait: time.Second}).Pages()
	if len(pages) != 1 {
		t.Fatalf("%d pages, want 1", len(pages))
	}
	if diff := cmp.Diff(notice.CodeExpired, pages[0].Code()); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
	if pages[0].Ran() {
		t.Error("an attempt that never ran is said to have run")
	}
}

func TestSupersededReadGetsNoPages(t *testing.T) {
	cases := map[string]func(b *harness, dead *replyRecorder){
		"replaced by a later one": func(b *harness, dead *replyRecorder) {
			b.handle(NewReadRequested(b.nextRead(notice.ReadConfig{Wait: time.Second}), dead))
		},
		"comes after a later one": func(b *harness, dead *replyRecorder) {
			b.lastRead += 2
			late := notice.NewRead(notice.ReadConfig{Entry: "e1", Number: b.lastRead - 1, Wait: time.Second})
			b.handle(NewReadRequested(b.nextRead(notice.ReadConfig{Wait: time.Second}), &replyRecorder{}))
			b.handle(NewReadRequested(late, dead))
		},
	}
	for name, earlier := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(nil)
			b.submit(batch(idempotentSubmit("a")))
			b.handle(NewChunkReceived("a", []byte("lost")))
			b.read(t, notice.ReadConfig{Wait: time.Second})
			dead := &replyRecorder{}
			earlier(b, dead)
			pages := b.read(t, notice.ReadConfig{Wait: time.Second, Resume: true}).Pages()
			if len(pages) != 1 {
				t.Fatalf("%d pages, want 1", len(pages))
			}
			if diff := cmp.Diff("lost", string(pages[0].Data())); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if len(dead.items) != 1 || dead.items[0] != error(ErrSuperseded) {
				t.Errorf("the earlier read was answered with %v", dead.items)
			}
		})
	}
}

func TestReadWaitsForFlushDelay(t *testing.T) {
	b := newHarness(func(config *CoreConfig) { config.FlushDelay = 2 * time.Millisecond })
	b.submit(batch(idempotentSubmit("a")))
	reply := &replyRecorder{}
	b.handle(NewReadRequested(b.nextRead(notice.ReadConfig{Wait: time.Second}), reply))
	b.handle(NewChunkReceived("a", []byte("1")))
	if diff := cmp.Diff(b.now.Add(2*time.Millisecond), b.core.Alarm()); diff != "" {
		t.Errorf("alarm (-want +got):\n%s", diff)
	}
	b.handle(NewChunkReceived("a", []byte("2")))
	b.now = b.core.Alarm()
	b.perform(b.core.Tick(b.now))
	if len(reply.items) != 1 {
		t.Fatalf("%d answers, want 1", len(reply.items))
	}
	if diff := cmp.Diff("12", string(reply.items[0].(notice.Pages).Pages()[0].Data())); diff != "" {
		t.Errorf("data (-want +got):\n%s", diff)
	}
}
