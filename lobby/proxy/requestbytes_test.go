package proxy_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sesamewell.example/commons/memory"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// freezingAccount has no room once, after a pause like that of a process that is frozen.
type freezingAccount struct {
	*memory.Budget

	freezes atomic.Bool
}

// Admit charges a customer with bytes if there is room for them.
func (a *freezingAccount) Admit(customer string, bytes int64) bool {
	if a.freezes.CompareAndSwap(true, false) {
		time.Sleep(1100 * time.Millisecond) // longer than a sender may pause if there is no room
		return false
	}
	return a.Budget.Admit(customer, bytes)
}

// TestBytesOfRequestsEndWithThem ends requests while their bytes are charged or handed on. A
// request that was refused for want of room while room was looked for on its behalf was
// charged once more and for ever, and so was one whose head could not be decoded.
func TestBytesOfRequestsEndWithThem(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		id      string
		freezes bool // before the second piece of the body is charged
	}{
		"frozen while it arrives":     {id: "r", freezes: true},
		"panic while it is handed on": {id: "panic"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, answerWith("x"))
			account := &freezingAccount{Budget: memory.NewBudgetOf(testMemory)}
			l := newLobbyWith(t, proxy.Config{Codec: panickingCodec{}, Memory: account}, func(s *scheduler.SendConfig) { s.Address = b.address })
			conn := dial(t, l.address)
			piece := chunk(strings.Repeat("x", 10<<10))
			if _, err := fmt.Fprintf(conn, head+"%s", tc.id, piece); err != nil {
				t.Fatal(err)
			}
			awaitCount(t, "callers whose request has arrived in part", 1, l.proxy.Pending)
			account.freezes.Store(tc.freezes)
			if _, err := io.WriteString(conn, strings.Repeat(piece, 4)+"0\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			awaitCount(t, "bytes held after the caller has left", 0, func() int { return int(account.Total()) })
		})
	}
}
