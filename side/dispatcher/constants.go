package dispatcher

import "time"

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// eventEnd ends each event of a stream, which carries one token.
var eventDelimiter = []byte("\n\n")

// keptSlots is the number of slots of which one is kept from tenants that run
// far more than an equal part.
const reservedSlotsDivisor = 6

// Named limits of the foyer.
const (
	tombstoneTTL   = 2 * time.Minute  // time for which an ended attempt's id is kept
	entryTimeout   = 30 * time.Second // an entry that has not read for so long is gone
	maxReadWait    = 10 * time.Second // longest wait of one read
	maxReplyBytes  = 1 << 20          // bytes of answers in one reply
	pageOverhead   = 64               // bytes counted for a page beside its data
	promotionSlack = 30 * time.Second // a patient attempt with less time than this left counts as urgent
	activePeriod   = 10 * time.Second // time after its last request for which a tenant counts as active
	tickPeriod     = time.Second      // time between checks of what is due by time alone
)
