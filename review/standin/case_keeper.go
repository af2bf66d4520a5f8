package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["keeper"] = playKeeper }

// playKeeper lets two of four model workers send bytes without end in one of twenty
// answers to the question for their state.
func playKeeper(f *fleet, trouble bool) (outcome, error) {
	const (
		length = 60 * time.Second
		every  = 20
	)
	var keepers []*process
	for i := range 4 {
		w, err := startWorker(f, fmt.Sprintf("i-%d", i+1), "storyteller", "model-1")
		if err != nil {
			return outcome{}, err
		}
		w.answer = func(conn net.Conn, request *http.Request, _ []byte) bool { return w.answerBytes(conn, request, 800) }
		var calls atomic.Int64
		if trouble && i < 2 {
			w.report = func(conn net.Conn) bool {
				if calls.Add(1)%every != 0 {
					return w.writeReport(conn)
				}
				f.record.add("%s answers a call for its report with bytes without end", w.id)
				block := string(bytes.Repeat([]byte{' '}, 64<<10))
				sent := 0
				for write(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"); write(conn, block); sent += len(block) {
				}
				f.record.add("%s: the caller has closed after %d MB", w.id, sent>>20)
				return false
			}
		}
		w.serve()
		defer w.stop()
		k, err := f.startKeeper(fmt.Sprintf("side-%d", i+1), w.addr)
		if err != nil {
			return outcome{}, err
		}
		keepers = append(keepers, k)
	}
	f.store.putJSON("keyed.op", "config", configuration(1, "model-1"))
	l, err := f.startLobby("front-1")
	if err != nil {
		return outcome{}, err
	}
	if err := awaitReady(l); err != nil {
		return outcome{}, err
	}
	time.Sleep(length)
	got := outcome{}
	machines := 0
	for _, k := range append(keepers, l.process) {
		k.mu.Lock()
		got.summary = append(got.summary, fmt.Sprintf("%s: %d MB at its peak, limit %d MB, ended %d times", k.name, k.peakMB, k.memoryMB, len(k.ends)))
		if len(k.ends) >= 3 {
			machines++
			got.broken = append(got.broken, fmt.Sprintf("%s ended by itself %d times, first: it %s", k.name, len(k.ends), k.ends[0]))
		}
		k.mu.Unlock()
	}
	if machines < 2 {
		got.broken = nil // the rule asks for two machines at least
	}
	return got, nil
}
