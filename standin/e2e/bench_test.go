package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// metric returns the value of the metric name of the process whose operators'
// pages are at address.
func (f *fleet) metric(address, name string) float64 {
	f.t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), name+" ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			f.t.Fatal(err)
		}
		return value
	}
	f.t.Fatalf("no metric %s at %s", name, address)
	return 0
}

// Names of metrics that every process exports.
const (
	cpuSeconds     = "process_cpu_seconds_total"
	mallocs        = "go_memstats_mallocs_total"
	residentMemory = "process_resident_memory_bytes"
)

func BenchmarkRequest(b *testing.B) {
	cases := map[string]int{"1token": 1, "101tokens": 101}
	for name, tokens := range cases {
		b.Run(name, func(b *testing.B) {
			f := newFleet(b)
			f.addEngine("engine-1", 16, time.Millisecond)
			f.addEntry("entry-1", "")
			f.apply()
			direct := measure(b, func() answer { return f.callBackend("engine-1", chatRequest("", tokens)) }, tokens)
			entry, side := f.operatorAddresses["entry-1"], f.operatorAddresses["side-engine-1"]
			entryBefore, sideBefore := f.metric(entry, mallocs), f.metric(side, mallocs)
			through := measure(b, func() answer { return f.call(0, chatRequest(tenantKey, tokens)) }, tokens)
			b.ReportMetric((f.metric(entry, mallocs)-entryBefore)/float64(b.N), "entry-allocs/op")
			b.ReportMetric((f.metric(side, mallocs)-sideBefore)/float64(b.N), "side-allocs/op")
			b.ReportMetric(float64((through-direct).Microseconds())/float64(b.N), "added-us/op")
		})
	}
}

// measure returns the duration of b.N consecutive calls.
func measure(b *testing.B, call func() answer, tokens int) time.Duration {
	b.Helper()
	start := time.Now()
	for range b.N {
		if err := checkChat(call(), tokens); err != nil {
			b.Fatal(err)
		}
	}
	return time.Since(start)
}

// callBackend sends a request to a backend server directly, without entry and
// side.
func (f *fleet) callBackend(backend string, config requestConfig) answer {
	bypass := &fleet{t: f.t, entryAddresses: []string{f.backendAddresses[backend]}}
	return bypass.call(0, config)
}

func BenchmarkThousandStreams(b *testing.B) {
	const streams, tokens, step = 1000, 200, 48 * time.Millisecond
	f := newFleet(b)
	f.addEngine("engine-1", streams, step)
	f.addEntry("entry-1", "")
	f.apply()
	for range b.N {
		answers := make([]answer, streams)
		var group sync.WaitGroup
		for i := range answers {
			group.Go(func() { answers[i] = f.call(0, chatRequest(tenantKey, tokens)) })
		}
		f.awaitRuns(streams, "engine-1")
		addresses := map[string]string{"entry": f.operatorAddresses["entry-1"], "side": f.operatorAddresses["side-engine-1"]}
		before := make(map[string]float64)
		start := time.Now()
		for name, address := range addresses {
			before[name] = f.metric(address, cpuSeconds)
		}
		time.Sleep(5 * time.Second)
		for name, address := range addresses {
			used := (f.metric(address, cpuSeconds) - before[name]) / time.Since(start).Seconds()
			b.ReportMetric(used*100, name+"-core-%")
			b.ReportMetric(f.metric(address, residentMemory)/(1<<20), name+"-MB")
		}
		group.Wait()
		for i, got := range answers {
			if err := checkChat(got, tokens); err != nil {
				b.Fatalf("stream %d: %v", i, err)
			}
		}
	}
}

func BenchmarkIdleMemory(b *testing.B) {
	f := newFleet(b)
	f.addEngine("engine-1", 16, time.Millisecond)
	f.addEntry("entry-1", "")
	f.apply()
	for range b.N {
		for name, address := range map[string]string{"entry": f.operatorAddresses["entry-1"], "side": f.operatorAddresses["side-engine-1"]} {
			b.ReportMetric(f.metric(address, residentMemory)/(1<<20), fmt.Sprintf("%s-MB", name))
		}
	}
}
