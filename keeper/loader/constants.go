package loader

import "time"

const (
	tickPeriod        = time.Second
	loadingPollPeriod = 100 * time.Millisecond  // time between two polls of an engine that loads a model or whose state is unknown
	maxAdapterLoads   = 4                       // maximum number of adapters that an engine loads at once
	ordersToSwap      = 2                       // orders that load an adapter and unload another one after it, which is always to be possible
	ordersToReload    = 3                       // orders that unload an adapter, load it again, and unload another one after it
	unloadPatience    = 250 * time.Millisecond  // time after which an adapter to unload is taken to wait for its runs, and another one may go for it
	fetchTimeout      = 1500 * time.Millisecond // longest time that a Fetch call waits for the core's answer
	maxPause          = 10 * time.Minute        // longest time without calls to an engine, whatever it states
	putTimeout        = 5 * time.Second         // longest wait for room in the loader's inbox
	ringCapacity      = 1024                    // capacity of each ring in messages
)
