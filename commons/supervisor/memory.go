package supervisor

import "runtime/debug"

// memoryLimitPercent is the soft limit of the Go runtime, in per cent of the
// memory that the process may use; beyond it the garbage collector runs more
// often.
const memoryLimitPercent = 60

// LimitMemory sets the soft memory limit of the Go runtime for a process that may
// use the given number of bytes, so that it stays well below that number.
func LimitMemory(bytes int64) { debug.SetMemoryLimit(bytes * memoryLimitPercent / 100) }
