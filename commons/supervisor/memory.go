package supervisor

import "runtime/debug"

// memoryShare is the part of a process's memory beyond which the garbage
// collector works harder, in per cent.
const memoryLimitPercent = 60

// LimitMemory has the garbage collector keep the process well below the bytes of
// memory that it may use.
func LimitMemory(bytes int64) { debug.SetMemoryLimit(bytes * memoryLimitPercent / 100) }
