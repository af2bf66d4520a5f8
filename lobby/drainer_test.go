package main

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDrainerEnded(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		open int
		want bool
	}{
		"too early":         {age: time.Second},
		"no open request":   {age: 3 * time.Second, want: true},
		"one open request":  {age: 3 * time.Second, open: 1},
		"one open for long": {age: time.Hour, open: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDrainer(drainerConfig{MinDuration: 2 * time.Second, Open: func() int { return tc.open }})
			if diff := cmp.Diff(tc.want, d.ended(tc.age)); diff != "" {
				t.Errorf("ended (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDrainerServesDrain(t *testing.T) {
	d := newDrainer(drainerConfig{Open: func() int { return 0 }})
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
