package e2e

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// sampleTime is the time over which the usage of a process is measured.
const sampleTime = 4 * time.Second

// point is one measurement: a value at a fleet size or load.
type point struct {
	size  float64
	value float64
}

// fitLine returns the least-squares line through the points and its root mean
// square error.
func fitLine(points []point) (slope, intercept, rms float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n, sx, sy, sxx, sxy = n+1, sx+p.size, sy+p.value, sxx+p.size*p.size, sxy+p.size*p.value
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, p := range points {
		rms += math.Pow(p.value-intercept-slope*p.size, 2)
	}
	return slope, intercept, math.Sqrt(rms / n)
}

// measurements holds points by the name of the measured quantity.
type measurements map[string][]point

func (m measurements) add(name string, size, value float64) {
	m[name] = append(m[name], point{size: size, value: value})
}

// report logs the points and the fitted line of each quantity.
func (m measurements) report(b *testing.B) {
	b.Helper()
	for name, points := range m {
		slope, intercept, rms := fitLine(points)
		b.Logf("%s: %.3g + %.3g each, error %.2g, points %v", name, intercept, slope, rms, points)
	}
}

// usage is the CPU and network usage of a process.
type usage struct {
	corePercent float64 // CPU in percent of one core; in totalUsage CPU seconds
	linkBytes   float64 // bytes per second between processes; in totalUsage bytes
}

// measureUsage returns the average usage of processes over sampleTime, idle or
// under a load that continues during it.
func (f *fleet) measureUsage(instances ...string) map[string]usage {
	f.t.Helper()
	before := make(map[string]usage)
	for _, name := range instances {
		before[name] = f.totalUsage(name)
	}
	time.Sleep(sampleTime)
	used := make(map[string]usage)
	for _, name := range instances {
		after := f.totalUsage(name)
		used[name] = usage{
			corePercent: 100 * (after.corePercent - before[name].corePercent) / sampleTime.Seconds(),
			linkBytes:   (after.linkBytes - before[name].linkBytes) / sampleTime.Seconds(),
		}
	}
	return used
}

// totalUsage returns the usage of a process since its start.
func (f *fleet) totalUsage(instance string) usage {
	address := f.operatorAddresses[instance]
	in, out := `sesamewell_link_bytes_total{direction="in"}`, `sesamewell_link_bytes_total{direction="out"}`
	return usage{corePercent: f.metric(address, cpuSeconds), linkBytes: f.metric(address, in) + f.metric(address, out)}
}

func (f *fleet) residentMB(instance string) float64 {
	return f.metric(f.operatorAddresses[instance], residentMemory) / (1 << 20)
}

func BenchmarkCostPerStream(b *testing.B) {
	const tokens, step = 160, 48 * time.Millisecond
	for range b.N {
		measured := make(measurements)
		for _, streams := range []int{250, 500, 750, 1000} {
			f := newFleet(b)
			f.addEngine("engine-1", streams, step)
			f.addEntry("entry-1", "")
			f.apply()
			var group sync.WaitGroup
			for range streams {
				group.Go(func() {
					if err := checkChat(f.call(0, chatRequest(tenantKey, tokens)), tokens); err != nil {
						b.Error(err)
					}
				})
			}
			f.awaitRuns(streams, "engine-1")
			for name, used := range f.measureUsage("entry-1", "side-engine-1") {
				measured.add(name+" core %", float64(streams), used.corePercent)
				measured.add(name+" link bytes/s", float64(streams), used.linkBytes)
				measured.add(name+" MB", float64(streams), f.residentMB(name))
			}
			group.Wait()
			if b.Failed() {
				b.Fatalf("%d streams\n%s\n%s", streams, f.processes["entry-1"].log, f.processes["side-engine-1"].log)
			}
			f.stopAll()
		}
		measured.report(b)
	}
}

func BenchmarkCostPerModel(b *testing.B) {
	sweep(b, []int{200, 400, 800, 1600}, func(f *fleet, models int) {
		f.addEngineAndEntry()
		for i := range models {
			fmt.Fprintf(&f.inventory, "[model m-%d]\nmemory = 1MiB\n", i)
		}
	})
}

func BenchmarkCostPerTenant(b *testing.B) {
	sweep(b, []int{10, 40, 160, 640}, func(f *fleet, tenants int) {
		f.addEngineAndEntry()
		for i := range tenants {
			fmt.Fprintf(&f.inventory, "[tenant t-%d]\nrate = 100\nburst = 1000\n", i)
		}
	})
}

func BenchmarkCostPerSide(b *testing.B) {
	sweep(b, []int{4, 8, 16, 32}, func(f *fleet, sides int) {
		for i := range sides {
			f.addEngine(fmt.Sprintf("engine-%d", i+1), 16, time.Millisecond)
		}
		f.addEntry("entry-1", "")
	})
}

func BenchmarkCostPerEntry(b *testing.B) {
	sweep(b, []int{2, 4, 8, 16}, func(f *fleet, entries int) {
		f.addEngine("engine-1", 16, time.Millisecond)
		for i := range entries {
			f.addEntry(fmt.Sprintf("entry-%d", i+1), "")
		}
	})
}

// addEngineAndEntry adds one engine with its side, and one entry.
func (f *fleet) addEngineAndEntry() {
	f.addEngine("engine-1", 16, time.Millisecond)
	f.addEntry("entry-1", "")
}

// sweep measures an idle fleet at each size.
func sweep(b *testing.B, sizes []int, build func(f *fleet, size int)) {
	b.Helper()
	for range b.N {
		measured := make(measurements)
		for _, size := range sizes {
			f := newFleet(b)
			build(f, size)
			start := time.Now()
			f.apply()
			measured.add("apply seconds", float64(size), time.Since(start).Seconds())
			f.measureIdle(measured, float64(size))
			f.stopAll()
		}
		measured.report(b)
	}
}

// measureIdle adds the usage of the first entry and the first side of an idle
// fleet.
func (f *fleet) measureIdle(measured measurements, size float64) {
	for name, used := range f.measureUsage("entry-1", "side-engine-1") {
		measured.add(name+" core %", size, used.corePercent)
		measured.add(name+" link bytes/s", size, used.linkBytes)
		measured.add(name+" MB", size, f.residentMB(name))
	}
}

// stopAll kills every process of the fleet.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		f.cleanUp(p)
	}
	_ = os.Remove(filepath.Join(f.dir, "inventory.ini"))
}
