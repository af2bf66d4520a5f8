package main

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDrainerTryEnd(t *testing.T) {
	type outcome struct {
		Ended  bool
		Closed int
	}
	cases := map[string]struct {
		age  time.Duration
		open int
		want outcome
	}{
		"accept period not over":            {age: time.Second, want: outcome{}},
		"no open request":                   {age: 3 * time.Second, want: outcome{Ended: true}},
		"one open request":                  {age: 3 * time.Second, open: 1, want: outcome{}},
		"open request after the timeout":    {age: 11 * time.Second, open: 1, want: outcome{Closed: 1}},
		"no open request after the timeout": {age: 11 * time.Second, want: outcome{Ended: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			closed := 0
			d := newDrainer(drainerConfig{
				AcceptPeriod: 2 * time.Second, Timeout: 10 * time.Second,
				Open: func() int { return tc.open }, Close: func() { closed++ },
			})
			got := outcome{Ended: d.tryEnd(tc.age), Closed: closed}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("tryEnd (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDrainerServesDrain(t *testing.T) {
	d := newDrainer(drainerConfig{Timeout: time.Hour, Open: func() int { return 0 }, Close: func() {}})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Serve(ctx) }()
	done, err := d.begin(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Error("the drain did not end")
	}
	cancel()
	<-stopped
}
