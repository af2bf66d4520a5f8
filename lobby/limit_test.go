package main

import (
	"strings"
	"testing"
	"time"
)

// most returns the largest number of requests that arrived within a span, from a time after
// the first one on, of the lobbies whose first request had arrived a while before.
func (b *faultyBackend) most(span, from, known time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Time
	for _, arrivals := range b.arrivals {
		if first.IsZero() || arrivals[0].Before(first) {
			first = arrivals[0]
		}
	}
	var counted []time.Time
	for _, arrivals := range b.arrivals {
		for _, at := range arrivals {
			if at.Sub(first) >= from && at.Sub(arrivals[0]) >= known {
				counted = append(counted, at)
			}
		}
	}
	most := 0
	for _, end := range counted {
		n := 0
		for _, at := range counted {
			if !at.After(end) && end.Sub(at) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerThatNamesARateIsNotOverrun plays load through two lobbies before a backend server
// that names a rate in all answers. It guards against lobbies that do not hear it, or that
// keep it each by itself.
func TestServerThatNamesARateIsNotOverrun(t *testing.T) {
	const rate = 4
	cases := map[string]*faultyBackend{
		"stream":  {answer: strings.Replace(soundAnswer, "Server-Stamp", "Server-Limit: 4\r\nServer-Stamp", 1)},
		"refusal": {answer: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nServer-Limit: 4\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"},
		"failure": {answer: "HTTP/1.1 500 Oops\r\nServer-Limit: 4.0\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, faulty := range cases {
		t.Run(name, func(t *testing.T) {
			_, callers, _ := fleetOfTwo(t, faulty)
			for lobby, address := range callers {
				sendUntilArrival(t, faulty, lobby, address)
			}
			playLoad(t, callers, 8*time.Second)
			if n, bound := faulty.most(4*time.Second, 3*time.Second, time.Second), rate*3/2*4+5; n > bound {
				t.Errorf("%d requests within 4 s, more than %d", n, bound)
			}
		})
	}
}
