package idempotency

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/testkit"
)

// blockingLog blocks each append until release is signalled, and fails the first
// one.
type blockingLog struct {
	entered chan struct{}
	release chan struct{}
	records chan []byte
}

func (l *blockingLog) Append(record []byte) (int64, error) {
	l.entered <- struct{}{}
	<-l.release
	l.records <- record
	if len(l.records) == 1 {
		return 0, logclient.ErrUnavailable
	}
	return 0, nil
}

func TestWaitingIntentsShareOneAppend(t *testing.T) {
	const waiting = 100
	log := testkit.DiscardLog()
	service := &blockingLog{entered: make(chan struct{}), release: make(chan struct{}), records: make(chan []byte, 2)}
	inbox := ring.New(ring.Config{Name: "test", Capacity: 1})
	a := newAppender(Config{LogService: service, Log: log, Capacity: 2 * waiting}, inbox)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- a.Serve(ctx) }()
	for i := range waiting + 1 {
		if err := a.inbox.Put(AppendIntent{intent: NewIntent(IntentConfig{Run: fmt.Sprint("run-", i)})}); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			<-service.entered
		}
	}
	service.release <- struct{}{}
	<-service.entered
	service.release <- struct{}{}
	got := []int{countIntents(t, <-service.records), countIntents(t, <-service.records)}
	if diff := cmp.Diff([]int{1, waiting}, got); diff != "" {
		t.Errorf("intents in each append (-want +got):\n%s", diff)
	}
	refused, err := inbox.Take(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"run-0"}, refused.(NotAppended).runs); diff != "" {
		t.Errorf("runs reported as not appended (-want +got):\n%s", diff)
	}
	cancel()
	<-stopped
}

func countIntents(t *testing.T, data []byte) int {
	t.Helper()
	record, err := fleetstate.DecodeRecord(data)
	if err != nil {
		t.Fatal(err)
	}
	batch, ok := DecodeBatch(record)
	if !ok {
		t.Fatalf("%s carries no batch", data)
	}
	return len(batch.Intents())
}
