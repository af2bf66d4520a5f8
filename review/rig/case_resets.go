package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the clients that reset their connections.
const (
	playTime       = 45 * time.Second
	resetsFrom     = 3 * time.Second
	resetConns     = 6000 // one after the other
	resetGap       = time.Millisecond
	announcedBytes = 100 << 20 // far over max_body_bytes
	sentBytes      = 60000     // of such a body, before the connection is reset
	bookers        = 4         // ordinary clients
	bookPause      = 200 * time.Millisecond
	allowedShare   = 0.6 // of refused and failed requests
)

func init() { cases["resets"] = resets }

// resets checks that ordinary clients are served while, and after, clients that nobody
// controls announce bodies far over the limit and reset their connections.
func resets(r *rig) int {
	if err := newBookings(r).start("i-desk1", r.prefix+"11:8080", "desk"); err != nil {
		return r.notRun(err)
	}
	if err := r.store.putJSON(operatorTopic, "config", deskConfiguration()); err != nil {
		return r.notRun(err)
	}
	lobby, err := r.fleet.start(machine{name: "front-1", ip: r.prefix + "21", zone: "zone-a", role: "lobby"})
	if err != nil {
		return r.notRun(err)
	}
	if err := lobby.awaitReady(); err != nil {
		return r.notRun(err)
	}
	began := time.Now()
	var wait sync.WaitGroup
	var served, unserved, servedLate, unservedLate atomic.Int64
	for client := range bookers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Since(began) < playTime; n++ {
				id := fmt.Sprintf("ordinary-%d-%d", client, n)
				got := send(lobby.front(), call{method: "POST", path: "/book/seat", id: id, key: "key1", body: "seat", deadline: bookingTimeout})
				late := time.Since(began) > playTime/2
				switch {
				case got.status == http.StatusOK && late:
					servedLate.Add(1)
					fallthrough
				case got.status == http.StatusOK:
					served.Add(1)
				case late:
					unservedLate.Add(1)
					fallthrough
				default:
					unserved.Add(1)
				}
				r.printf("client of %s gets status %d, error %v", id, got.status, got.err)
				time.Sleep(bookPause)
			}
		}()
	}
	if r.trouble {
		time.Sleep(resetsFrom)
		r.printf("%d clients announce %d bytes, send %d and reset, one after the other; %s", resetConns, announcedBytes, sentBytes, held(lobby))
		piece := strings.Repeat("x", sentBytes)
		for n := range resetConns {
			if err := resetBody(lobby.front(), n, piece); err != nil {
				return r.notRun(err)
			}
			time.Sleep(resetGap)
		}
		r.printf("no such client is left; %s", held(lobby))
	}
	wait.Wait()
	r.printf("end; %s", held(lobby))
	total := served.Load() + unserved.Load()
	if served.Load() == 0 {
		return r.notRun(fmt.Errorf("no ordinary request was served"))
	}
	share := float64(unserved.Load()) / float64(total)
	return r.verdict(share > allowedShare, "of %d ordinary requests %.0f%% were refused or failed (%.0f%% are allowed); in the second half of the time %d were served and %d were not",
		total, 100*share, 100*allowedShare, servedLate.Load(), unservedLate.Load())
}

// resetBody sends a part of a body that is far over the limit and resets the connection.
func resetBody(address string, n int, piece string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "POST /book/seat HTTP/1.1\r\nHost: h.example\r\nRequest-Id: large-%d\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key1\r\nContent-Length: %d\r\n\r\n%s", n, announcedBytes, piece)
	return conn.(*net.TCPConn).SetLinger(0)
}

// held returns the bytes of messages that a lobby believes to hold, as its metrics tell.
func held(lobby *process) string {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + net.JoinHostPort(lobby.machine.ip, "9109") + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var lines []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "sesamewell_held_bytes") || strings.HasPrefix(line, "sesamewell_connections{") || strings.HasPrefix(line, "sesamewell_ready") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, ", ")
}
