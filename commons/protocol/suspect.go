package protocol

import "time"

// CrashConfig describes how one start of a backend server ended while requests of a
// suspect were unanswered there.
type CrashConfig struct {
	Backend   string
	StartTime int64          // Unix milliseconds
	Age       time.Duration  // time since the crash when the digest was sent
	Cleared   bool           // a later request of the suspect has been answered
	Alone     bool           // the backend server ran nothing else
	Copies    map[string]int // copies of the request that were unanswered there, by the RPC address of their lobby
}

// SuspectConfig describes what may have crashed backend servers, and its crashes.
type SuspectConfig struct {
	Kind    uint8  // as commons/quarantine numbers them
	ID      string // differs from those of other suspects of the kind
	Rank    int    // suspects of a higher rank are more specific
	Sound   bool   // it had been answered before one of its crashes
	Crashes []CrashConfig
}
