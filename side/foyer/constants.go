package foyer

import "time"

// Named limits of the foyer.
const (
	tombstoneLife = 2 * time.Minute  // time for which an ended attempt's id is kept
	entrySilence  = 30 * time.Second // an entry that has not read for so long is gone
	maxReadWait   = 10 * time.Second // longest wait of one read
	maxPagesBytes = 1 << 20          // bytes of answers in one reply
	pageOverhead  = 64               // bytes counted for a page beside its data
	tickPeriod    = time.Second      // time between checks of what is due by time alone
)
