package proof

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// watched is the time over which a process's use is measured.
const watched = 4 * time.Second

// point is one measurement at a size.
type point struct {
	size  float64
	value float64
}

// fit returns the least-squares line through the points and the root mean
// square of its error.
func fit(points []point) (slope, intercept, rms float64) {
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

// slopes collects points by the name of what is measured.
type slopes map[string][]point

func (s slopes) add(name string, size, value float64) {
	s[name] = append(s[name], point{size: size, value: value})
}

// report shows each point, and the line through them.
func (s slopes) report(b *testing.B) {
	b.Helper()
	for name, points := range s {
		slope, intercept, rms := fit(points)
		b.Logf("%s: %.3g + %.3g each, error %.2g, points %v", name, intercept, slope, rms, points)
	}
}

// use is what a process used in the watched time.
type use struct {
	core  float64 // per cent of a core
	bytes float64 // bytes a second on links between processes
}

// watch measures processes at rest or under a load that goes on meanwhile.
func (f *fleet) watch(instances ...string) map[string]use {
	f.t.Helper()
	before := make(map[string]use)
	for _, name := range instances {
		before[name] = f.used(name)
	}
	time.Sleep(watched)
	used := make(map[string]use)
	for _, name := range instances {
		after := f.used(name)
		used[name] = use{
			core:  100 * (after.core - before[name].core) / watched.Seconds(),
			bytes: (after.bytes - before[name].bytes) / watched.Seconds(),
		}
	}
	return used
}

func (f *fleet) used(instance string) use {
	page := f.pages[instance]
	in, out := `sesamewell_link_bytes_total{direction="in"}`, `sesamewell_link_bytes_total{direction="out"}`
	return use{core: f.metric(page, cpuSeconds), bytes: f.metric(page, in) + f.metric(page, out)}
}

func (f *fleet) residentMB(instance string) float64 {
	return f.metric(f.pages[instance], resident) / (1 << 20)
}

func BenchmarkSlopeOfStreams(b *testing.B) {
	const tokens, step = 160, 48 * time.Millisecond
	for range b.N {
		measured := make(slopes)
		for _, streams := range []int{250, 500, 750, 1000} {
			f := newFleet(b)
			f.addEngine("engine-1", streams, step)
			f.addEntry("entry-1", "")
			f.apply()
			var group sync.WaitGroup
			for range streams {
				group.Go(func() {
					if err := wholeChat(f.call(0, chat(tenantKey, tokens)), tokens); err != nil {
						b.Error(err)
					}
				})
			}
			f.awaitRuns(streams, "engine-1")
			for name, used := range f.watch("entry-1", "side-engine-1") {
				measured.add(name+" core %", float64(streams), used.core)
				measured.add(name+" link bytes/s", float64(streams), used.bytes)
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

func BenchmarkSlopeOfModels(b *testing.B) {
	sweep(b, []int{200, 400, 800, 1600}, func(f *fleet, models int) {
		f.addPair()
		for i := range models {
			fmt.Fprintf(&f.inventory, "[model m-%d]\nmemory = 1MiB\n", i)
		}
	})
}

func BenchmarkSlopeOfTenants(b *testing.B) {
	sweep(b, []int{10, 40, 160, 640}, func(f *fleet, tenants int) {
		f.addPair()
		for i := range tenants {
			fmt.Fprintf(&f.inventory, "[tenant t-%d]\nrate = 100\nburst = 1000\n", i)
		}
	})
}

func BenchmarkSlopeOfSides(b *testing.B) {
	sweep(b, []int{4, 8, 16, 32}, func(f *fleet, sides int) {
		for i := range sides {
			f.addEngine(fmt.Sprintf("engine-%d", i+1), 16, time.Millisecond)
		}
		f.addEntry("entry-1", "")
	})
}

func BenchmarkSlopeOfEntries(b *testing.B) {
	sweep(b, []int{2, 4, 8, 16}, func(f *fleet, entries int) {
		f.addEngine("engine-1", 16, time.Millisecond)
		for i := range entries {
			f.addEntry(fmt.Sprintf("entry-%d", i+1), "")
		}
	})
}

// addPair adds one engine with its side, and one entry.
func (f *fleet) addPair() {
	f.addEngine("engine-1", 16, time.Millisecond)
	f.addEntry("entry-1", "")
}

// sweep measures a fleet at rest at each size.
func sweep(b *testing.B, sizes []int, build func(f *fleet, size int)) {
	b.Helper()
	for range b.N {
		measured := make(slopes)
		for _, size := range sizes {
			f := newFleet(b)
			build(f, size)
			begun := time.Now()
			f.apply()
			measured.add("apply seconds", float64(size), time.Since(begun).Seconds())
			f.measureRest(measured, float64(size))
			f.stopAll()
		}
		measured.report(b)
	}
}

// measureRest adds what the first entry and the first side use at rest.
func (f *fleet) measureRest(measured slopes, size float64) {
	for name, used := range f.watch("entry-1", "side-engine-1") {
		measured.add(name+" core %", size, used.core)
		measured.add(name+" link bytes/s", size, used.bytes)
		measured.add(name+" MB", size, f.residentMB(name))
	}
}

// stopAll ends every process of the fleet.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		f.end(p)
	}
	_ = os.Remove(filepath.Join(f.folder, "inventory.ini"))
}
