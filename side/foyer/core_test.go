package foyer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

var start = time.Unix(1_000_000, 0)

// sink keeps what the core answered.
type sink struct {
	items []any
}

func (s *sink) Put(item any) error {
	s.items = append(s.items, item)
	return nil
}

// bench is a core together with what its actions did.
type bench struct {
	core    *Core
	now     time.Time
	runs    []string
	stops   []string
	drained bool
	reads   uint64
}

func newBench(change func(config *CoreConfig)) *bench {
	config := CoreConfig{Incarnation: "i1", Concurrency: 1, Queue: 2, MaxBuffered: 100}
	if change != nil {
		change(&config)
	}
	return &bench{core: NewCore(config), now: start}
}

func (b *bench) handle(message Message) {
	b.carryOut(b.core.Handle(b.now, message))
}

func (b *bench) carryOut(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AnswerBatch:
			a.Send()
		case AnswerRead:
			a.Send()
		case AnswerProbe:
			a.Send()
		case Run:
			b.runs = append(b.runs, a.submit.Attempt())
		case Stop:
			b.stops = append(b.stops, a.attempt)
		case Drained:
			b.drained = true
		}
	}
}

// submit sends attempts and returns the causes of refusals, "" for accepted.
func (b *bench) submit(config notice.BatchConfig) []string {
	reply := &sink{}
	b.handle(NewBatchArrived(notice.NewBatch(config), reply))
	var codes []string
	for _, receipt := range reply.items[0].(notice.Receipts).Receipts() {
		codes = append(codes, receipt.Code())
	}
	return codes
}

// read makes one read that must be answered at once.
func (b *bench) read(t *testing.T, config notice.ReadConfig) notice.Pages {
	t.Helper()
	reply := &sink{}
	b.handle(NewReadArrived(b.numbered(config), reply))
	if len(reply.items) == 0 {
		t.Fatal("the read was not answered")
	}
	return reply.items[0].(notice.Pages)
}

// numbered returns an entry's next read.
func (b *bench) numbered(config notice.ReadConfig) notice.Read {
	b.reads++
	config.Entry, config.Number = "e1", b.reads
	return notice.NewRead(config)
}

func attemptOf(id string) notice.Submit {
	return notice.NewSubmit(notice.SubmitConfig{Attempt: id, Idempotent: true, Remaining: time.Minute})
}

func urgent(id string) notice.Submit {
	return notice.NewSubmit(notice.SubmitConfig{Attempt: id, Urgent: true, Remaining: time.Minute})
}

func batch(submits ...notice.Submit) notice.BatchConfig {
	return notice.BatchConfig{Entry: "e1", Submits: submits}
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		before func(b *bench)
		batch  notice.BatchConfig
		codes  []string
		runs   []string
	}{
		"runs at once":      {batch: batch(attemptOf("a")), codes: []string{""}, runs: []string{"a"}},
		"waits":             {batch: batch(attemptOf("a"), attemptOf("b")), codes: []string{"", ""}, runs: []string{"a"}},
		"queue is full":     {batch: batch(attemptOf("a"), attemptOf("b"), attemptOf("c"), attemptOf("d")), codes: []string{"", "", "", notice.CodeQueueFull}, runs: []string{"a"}},
		"a copy runs once":  {batch: batch(attemptOf("a"), attemptOf("a")), codes: []string{"", ""}, runs: []string{"a"}},
		"leaving":           {before: func(b *bench) { b.handle(Drain{}) }, batch: batch(attemptOf("a")), codes: []string{notice.CodeLeaving}},
		"other incarnation": {batch: notice.BatchConfig{Entry: "e1", Side: "i0", Submits: []notice.Submit{attemptOf("a")}}, codes: []string{notice.CodeRestarted}},
		"cancelled earlier": {before: func(b *bench) { b.submit(notice.BatchConfig{Entry: "e1", Cancels: []string{"a"}}) }, batch: batch(attemptOf("a")), codes: []string{""}},
		"this incarnation":  {batch: notice.BatchConfig{Entry: "e1", Side: "i1", Submits: []notice.Submit{attemptOf("a")}}, codes: []string{""}, runs: []string{"a"}},
		"copy of a refusal": {before: func(b *bench) {
			b.submit(batch(attemptOf("a"), attemptOf("b"), attemptOf("c"), attemptOf("d")))
			b.handle(NewEnded("a", "", true))
		}, batch: batch(attemptOf("d")), codes: []string{notice.CodeQueueFull}, runs: []string{"a", "b"}},
		"copy after its end": {before: finished("a"), batch: batch(attemptOf("a")), codes: []string{""}, runs: []string{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(nil)
			if tc.before != nil {
				tc.before(b)
			}
			codes := b.submit(tc.batch)
			if diff := cmp.Diff(tc.codes, codes); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.runs, b.runs); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// finished runs an attempt to its end and confirms its answer.
func finished(id string) func(b *bench) {
	return func(b *bench) {
		b.submit(batch(attemptOf(id)))
		b.handle(NewEnded(id, "", true))
		reply := &sink{}
		position := notice.NewPosition(notice.PositionConfig{Attempt: id, Ended: true})
		b.handle(NewReadArrived(b.numbered(notice.ReadConfig{Positions: []notice.Position{position}}), reply))
	}
}

func TestUrgentGoesFirst(t *testing.T) {
	b := newBench(func(config *CoreConfig) { config.Queue = 10 })
	b.submit(batch(attemptOf("first")))
	b.submit(batch(attemptOf("waits"), urgent("u1"), urgent("u2")))
	for range 3 {
		b.handle(NewEnded(b.runs[len(b.runs)-1], "", true))
	}
	if diff := cmp.Diff([]string{"first", "u1", "u2", "waits"}, b.runs); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestAnswerSurvivesALostReply(t *testing.T) {
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
			b := newBench(nil)
			b.submit(batch(attemptOf("a")))
			b.handle(NewPiece("a", []byte("first6")))
			b.read(t, notice.ReadConfig{Wait: time.Second})
			b.handle(NewPiece("a", []byte("-rest")))
			b.handle(NewEnded("a", "", true))
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
		"may be repeated":     {submit: attemptOf("a"), stops: []string{"a"}},
		"may not be repeated": {submit: booking},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(nil)
			b.submit(batch(tc.submit, attemptOf("waits")))
			b.submit(notice.BatchConfig{Entry: "e1", Cancels: []string{"a", "waits"}})
			if diff := cmp.Diff(tc.stops, b.stops); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(0, b.core.Queued()); diff != "" {
				t.Errorf("queued (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDrainWaitsForTheLastConfirmation(t *testing.T) {
	b := newBench(nil)
	b.submit(batch(attemptOf("a")))
	b.handle(Drain{})
	b.handle(NewEnded("a", "", true))
	if b.drained {
		t.Error("drained before the entry had the answer")
	}
	b.read(t, notice.ReadConfig{Wait: time.Second})
	position := notice.NewPosition(notice.PositionConfig{Attempt: "a", Ended: true})
	b.handle(NewReadArrived(b.numbered(notice.ReadConfig{Positions: []notice.Position{position}}), &sink{}))
	if !b.drained {
		t.Error("not drained after the entry had the answer")
	}
}

func TestSilentEntryIsAbandoned(t *testing.T) {
	b := newBench(nil)
	b.submit(batch(attemptOf("a"), attemptOf("b")))
	b.now = b.now.Add(entrySilence + time.Second)
	b.carryOut(b.core.Tick(b.now))
	if diff := cmp.Diff([]string{"a"}, b.stops); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, b.core.Queued()); diff != "" {
		t.Errorf("queued (-want +got):\n%s", diff)
	}
}

func TestQueuedAttemptExpiresWithoutRunning(t *testing.T) {
	b := newBench(nil)
	b.submit(batch(attemptOf("a")))
	b.submit(batch(notice.NewSubmit(notice.SubmitConfig{Attempt: "b", Remaining: time.Second})))
	b.now = b.now.Add(2 * time.Second)
	b.carryOut(b.core.Tick(b.now))
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

func TestReadOfAnEarlierConnectionTakesNothing(t *testing.T) {
	cases := map[string]func(b *bench, dead *sink){
		"replaced by a later one": func(b *bench, dead *sink) {
			b.handle(NewReadArrived(b.numbered(notice.ReadConfig{Wait: time.Second}), dead))
		},
		"comes after a later one": func(b *bench, dead *sink) {
			b.reads += 2
			late := notice.NewRead(notice.ReadConfig{Entry: "e1", Number: b.reads - 1, Wait: time.Second})
			b.handle(NewReadArrived(b.numbered(notice.ReadConfig{Wait: time.Second}), &sink{}))
			b.handle(NewReadArrived(late, dead))
		},
	}
	for name, earlier := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(nil)
			b.submit(batch(attemptOf("a")))
			b.handle(NewPiece("a", []byte("lost")))
			b.read(t, notice.ReadConfig{Wait: time.Second})
			dead := &sink{}
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

func TestReadWaitsForItsLinger(t *testing.T) {
	b := newBench(func(config *CoreConfig) { config.Linger = 2 * time.Millisecond })
	b.submit(batch(attemptOf("a")))
	reply := &sink{}
	b.handle(NewReadArrived(b.numbered(notice.ReadConfig{Wait: time.Second}), reply))
	b.handle(NewPiece("a", []byte("1")))
	if diff := cmp.Diff(b.now.Add(2*time.Millisecond), b.core.Alarm()); diff != "" {
		t.Errorf("alarm (-want +got):\n%s", diff)
	}
	b.handle(NewPiece("a", []byte("2")))
	b.now = b.core.Alarm()
	b.carryOut(b.core.Tick(b.now))
	if len(reply.items) != 1 {
		t.Fatalf("%d answers, want 1", len(reply.items))
	}
	if diff := cmp.Diff("12", string(reply.items[0].(notice.Pages).Pages()[0].Data())); diff != "" {
		t.Errorf("data (-want +got):\n%s", diff)
	}
}
