package testkit

import (
	"math"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	linearParts = 16 // into which the input is divided
	linearLimit = 4  // times the processor time of the parts, between that of linear and of quadratic work
	linearRuns  = 3  // of each, of which the cheapest counts
)

// CheckLinear fails a test if work on 16 n bytes takes much more processor time than work on n
// bytes, done 16 times.
func CheckLinear(t testing.TB, n int, work func(n int)) {
	t.Helper()
	parts := processorTime(t, func() {
		for range linearParts {
			work(n)
		}
	})
	whole := processorTime(t, func() { work(linearParts * n) })
	if whole > linearLimit*parts {
		t.Errorf("%v for %d bytes, %v for the same number in %d parts", whole, linearParts*n, parts, linearParts)
	}
}

// processorTime returns the processor time of the cheapest of some runs.
func processorTime(t testing.TB, run func()) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cheapest := time.Duration(math.MaxInt64)
	for range linearRuns {
		start := threadTime(t)
		run()
		cheapest = min(cheapest, threadTime(t)-start)
	}
	return cheapest
}

func threadTime(t testing.TB) time.Duration {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano())
}
