package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the planned stop.
const (
	freezeTime    = 3500 * time.Millisecond // of the lobby
	clientGap     = 2 * time.Second         // without an event, after which a client leaves
	shortStreams  = 3                       // of one event, open when the lobby is frozen
	prefill       = 300 * time.Millisecond
	calmTime      = 8 * time.Second // from the end of the freeze to the stop, more than contact_ms
	longStreams   = 8               // open when the lobby is stopped
	firstEnd      = 3 * time.Second // from SIGTERM to the end of the first of them
	betweenEnds   = 300 * time.Millisecond
	streamPause   = 100 * time.Millisecond
	lastSixth     = 8 * time.Second * 5 / 6 // of grace_s
	startOfStream = 300 * time.Millisecond  // before SIGTERM
)

func init() { cases["drain"] = drain }

// drain checks that a planned stop of a lobby cuts no stream which its worker ends in time.
// Before, the lobby stood still for some seconds, so that clients left.
func drain(r *rig) int {
	_, lobby, err := r.startChat(1, streamShape)
	if err != nil {
		return r.notRun(err)
	}
	s := &streamClients{rig: r, address: lobby.front()}
	if !s.open("warm-up", 1, 0) {
		return r.notRun(fmt.Errorf("no stream is served at the start"))
	}
	for n := range shortStreams {
		go s.open(fmt.Sprintf("short-%d", n), 1, clientGap)
	}
	if r.trouble {
		time.Sleep(prefill / 3)
		lobby.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		lobby.signal(syscall.SIGCONT)
	}
	time.Sleep(calmTime)
	if !s.open("after", 1, 0) {
		return r.notRun(fmt.Errorf("no stream is served before the stop"))
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	for n := range longStreams {
		length := startOfStream + firstEnd + time.Duration(n)*betweenEnds
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("long-%d", n)
			if !s.open(id, int(length/streamPause), 0) {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, id)
			}
		}()
	}
	time.Sleep(startOfStream)
	stopped := time.Now()
	lobby.signal(syscall.SIGTERM)
	wait.Wait()
	<-lobby.exited
	r.printf("the lobby has ended %.1f s after SIGTERM", time.Since(stopped).Seconds())
	return r.verdict(len(cut) > 0, "of %d streams that were open at SIGTERM and would have ended within %v, %d were cut: %v", longStreams, firstEnd+(longStreams-1)*betweenEnds, len(cut), cut)
}

// streamShape returns the number of events and the pause before each for a path /chat/EVENTS.
func streamShape(path string) (events int, pause time.Duration) {
	events, _ = strconv.Atoi(strings.TrimPrefix(path, "/chat/"))
	if events <= 1 {
		return 1, prefill
	}
	return events, streamPause
}

// streamClients are clients that read streams.
type streamClients struct {
	*rig
	address string
}

// open sends a request for a stream with so many events and reports whether it arrived
// whole. The client leaves after a time, unless it is zero.
func (s *streamClients) open(id string, events int, leave time.Duration) bool {
	deadline := generationTime
	if leave > 0 {
		deadline = leave
	}
	began := time.Now()
	got := send(s.address, call{
		method: "POST", path: fmt.Sprintf("/chat/%d", events), id: id, key: "key1", body: "prompt", deadline: deadline, stated: generationTime,
		headers: fmt.Sprintf("Model: %s\r\nToken-Counts: 60,%d\r\nPrompt-Prefix: aa:20,%x:40\r\n", chatModel, 3*events, id),
	})
	whole := got.status == 200 && strings.Count(got.body, "data:") == events
	s.printf("client of %s: status %d, %d of %d events, error %v, after %.1f s", id, got.status, strings.Count(got.body, "data:"), events, got.err, time.Since(began).Seconds())
	return whole
}
