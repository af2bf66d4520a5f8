package dispatcher

import "time"

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// eventDelimiter ends each event of a streamed answer. An event carries one token.
var eventDelimiter = []byte("\n\n")

// reservedSlotsDivisor sets the reserved slots: of every reservedSlotsDivisor
// slots, one is reserved for tenants that run fewer attempts than their slot share.
const reservedSlotsDivisor = 6

// Limits and periods of the dispatcher.
const (
	tombstoneTTL   = 2 * time.Minute  // time for which the ID of an ended attempt is kept
	entryTimeout   = 30 * time.Second // time without a read after which an entry counts as lost
	maxReadWait    = 10 * time.Second // longest time for which a read is held open
	maxReplyBytes  = 1 << 20          // maximum size of the pages in one reply
	pageOverhead   = 64               // size of a page without its data
	promotionSlack = 30 * time.Second // a regular attempt with less time than this to its deadline counts as urgent
	activePeriod   = 10 * time.Second // time after its last attempt for which a tenant counts as active
	tickPeriod     = time.Second      // time between two calls of Tick
)
