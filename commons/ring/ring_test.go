package ring_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/ring"
)

func TestPut(t *testing.T) {
	cases := map[string]struct {
		capacity int
		puts     int
		close    bool
		want     error
		refused  uint64
	}{
		"space left":          {capacity: 2, puts: 2},
		"full":                {capacity: 2, puts: 3, want: ring.ErrFull, refused: 1},
		"closed":              {capacity: 2, puts: 1, close: true, want: ring.ErrClosed, refused: 1},
		"capacity at least 1": {capacity: 0, puts: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := ring.New(ring.Config{Name: "test", Capacity: tc.capacity})
			if tc.close {
				r.Close()
			}
			var got error
			for i := range tc.puts {
				got = r.Put(i)
			}
			if !errors.Is(got, tc.want) {
				t.Errorf("Put = %v, want %v", got, tc.want)
			}
			if diff := cmp.Diff(tc.refused, r.Refused()); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOrderIsKeptAcrossReaders(t *testing.T) {
	r := ring.New(ring.Config{Name: "test", Capacity: 8})
	read := func(count int) []any {
		var got []any
		for range count {
			item, err := r.TakeWithin(context.Background(), 0)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, item)
		}
		return got
	}
	for i := range 6 {
		if err := r.Put(i); err != nil {
			t.Fatal(err)
		}
	}
	first := read(2)
	if err := r.Put(6); err != nil {
		t.Fatal(err)
	}
	got := append(first, read(5)...)
	if diff := cmp.Diff([]any{0, 1, 2, 3, 4, 5, 6}, got); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
}

func TestClosedRingDeliversStoredItems(t *testing.T) {
	r := ring.New(ring.Config{Name: "test", Capacity: 4})
	if err := r.Put("last"); err != nil {
		t.Fatal(err)
	}
	r.Close()
	if item, err := r.Take(context.Background()); item != "last" || err != nil {
		t.Errorf("Take = %v, %v; want last, nil", item, err)
	}
	if _, err := r.Take(context.Background()); !errors.Is(err, ring.ErrClosed) {
		t.Errorf("Take on a closed, empty ring = %v, want %v", err, ring.ErrClosed)
	}
}

func TestManyReadersTakeEachItemOnce(t *testing.T) {
	const items, readers = 2000, 4
	r := ring.New(ring.Config{Name: "test", Capacity: items})
	var mu sync.Mutex
	taken := make(map[any]int)
	var group sync.WaitGroup
	for range readers {
		group.Go(func() {
			for {
				item, err := r.Take(context.Background())
				if err != nil {
					return
				}
				mu.Lock()
				taken[item]++
				mu.Unlock()
			}
		})
	}
	for i := range items {
		if err := r.Put(i); err != nil {
			t.Error(err)
		}
	}
	r.Close()
	group.Wait()
	for item, count := range taken {
		if count != 1 {
			t.Errorf("item %v was taken %d times", item, count)
		}
	}
	if diff := cmp.Diff(items, len(taken)); diff != "" {
		t.Errorf("distinct items (-want +got):\n%s", diff)
	}
}

func TestTakeReturnsWhenContextEnds(t *testing.T) {
	r := ring.New(ring.Config{Name: "test", Capacity: 1})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := r.Take(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Take = %v, want %v", err, context.Canceled)
	}
	if _, err := r.TakeWithin(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("TakeWithin = %v, want %v", err, context.Canceled)
	}
}

func TestPutWithinParksUntilSpaceIsFree(t *testing.T) {
	const items, writers = 100, 4
	r := ring.New(ring.Config{Name: "test", Capacity: 1})
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for i := range items {
				if err := r.PutWithin(context.Background(), i, time.Hour); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range items * writers {
		if _, err := r.Take(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	group.Wait()
	if err := r.Put("fills"); err != nil {
		t.Fatal(err)
	}
	if err := r.PutWithin(context.Background(), "too many", time.Nanosecond); !errors.Is(err, ring.ErrFull) {
		t.Errorf("PutWithin on a full ring = %v, want %v", err, ring.ErrFull)
	}
}

func TestPutAndTakeDoNotAllocate(t *testing.T) {
	r := ring.New(ring.Config{Name: "test", Capacity: 4})
	item := any(&struct{ n int }{1})
	got := testing.AllocsPerRun(1000, func() {
		if err := r.Put(item); err != nil {
			t.Fatal(err)
		}
		if _, err := r.Take(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
	if diff := cmp.Diff(0.0, got); diff != "" {
		t.Errorf("allocations (-want +got):\n%s", diff)
	}
}

func BenchmarkRing(b *testing.B) {
	r := ring.New(ring.Config{Name: "bench", Capacity: 1024})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range b.N {
			if _, err := r.Take(context.Background()); err != nil {
				return
			}
		}
	}()
	item := any(&struct{ n int }{1})
	b.ReportAllocs()
	for range b.N {
		for r.Put(item) != nil {
			time.Sleep(time.Microsecond)
		}
	}
	<-done
}

func BenchmarkChannel(b *testing.B) {
	c := make(chan any, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range b.N {
			<-c
		}
	}()
	item := any(&struct{ n int }{1})
	b.ReportAllocs()
	for range b.N {
		c <- item
	}
	<-done
}
