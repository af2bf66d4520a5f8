package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of the clients that name models which don't exist.
const (
	namesTime    = 30 * time.Second
	namesClients = 40
	namesWait    = 100 * time.Millisecond // that they state, too short for a model to be loaded
	nameBytes    = 15000                  // below max_header_bytes
	lobbyMemory  = 284                    // MB
)

func init() { cases["names"] = names }

// names checks that a lobby stays within the memory of its machine while clients name a
// different long model in each request.
func names(r *rig) int {
	_, lobby, err := r.startChat(1, nil)
	if err != nil {
		return r.notRun(err)
	}
	end := time.Now().Add(namesTime)
	clients := namesClients
	if !r.trouble {
		clients = 0
	}
	name := strings.Repeat("x", nameBytes)
	var wait sync.WaitGroup
	for client := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("name-%d-%d", client, n)
				send(lobby.front(), call{method: "POST", path: "/chat/x", id: id, key: "key1", deadline: generationTime, stated: namesWait, headers: fmt.Sprintf("Model: %s-%s\r\nToken-Counts: 60,9\r\n", id, name)})
			}
		}()
	}
	peak := 0
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		peak = peakMemory(lobby.cmd.Process.Pid)
		r.printf("peak of resident memory: %d MB", peak)
	}
	wait.Wait()
	return r.verdict(peak > lobbyMemory, "the lobby took up to %d MB of %d", peak, lobbyMemory)
}

// peakMemory returns the largest resident memory of a process so far in MB.
func peakMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes / 1000
}
