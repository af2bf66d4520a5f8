package inifile

// processSettings are the settings of all programs.
var processSettings = []SettingConfig{
	{Section: "process", Key: "log-level", Kind: Text, Default: "info", Doc: "lowest level that is logged: debug, info, warning or error"},
	{Section: "process", Key: "descriptors", Kind: Integer, Default: "0", Min: "0", Max: "16777216", Doc: "file descriptors that the process may open, if fewer than the operating system allows; 0 for as many as it allows"},
	{Section: "process", Key: "drain-limit", Kind: Duration, Default: "10m", Min: "1s", Max: "1h", Doc: "longest time that a planned stop waits for open requests"},
}

// entryAndSideSettings are the settings that the entry and the side share.
var entryAndSideSettings = []SettingConfig{
	{Section: "process", Key: "instance", Kind: Text, Required: true, Doc: "name of this instance in the inventory"},
	{Section: "process", Key: "domain", Kind: Text, Required: true, Doc: "failure domain of this instance"},
	{Section: "process", Key: "secret", Kind: Text, Doc: "secret that all processes of the fleet share, of 16 bytes or more; links between processes prove it and are encrypted with it; may be missing only where all links are on loopback"},
	{Section: "process", Key: "operator", Kind: Address, Required: true, Doc: "address of the operators' pages (metrics, health, traces)"},
	{Section: "platform", Key: "log", Kind: Address, Required: true, Doc: "address of the append-only log service"},
	{Section: "platform", Key: "log-timeout", Kind: Duration, Default: "2s", Min: "100ms", Max: "30s", Doc: "limit on one append or one read beyond its long poll"},
	{Section: "platform", Key: "poll", Kind: Duration, Default: "1s", Min: "50ms", Max: "10s", Doc: "longest time that one read of the log waits for news"},
	{Section: "platform", Key: "freshness", Kind: Duration, Default: "3s", Min: "300ms", Max: "30s", Doc: "time after which a process that cannot tell whether its configuration is current stops to act on it"},
	{Section: "platform", Key: "peers", Kind: List, Doc: "link addresses of other processes, from which the configuration is read when the log service does not answer at the start"},
	{Section: "platform", Key: "list", Kind: Address, Doc: "address of the platform's list of live and leaving instances; empty for none"},
	{Section: "traces", Key: "kept", Kind: Integer, Default: "4096", Min: "16", Max: "100000", Doc: "recent spans kept in memory"},
	{Section: "traces", Key: "sampling", Kind: Integer, Default: "100", Min: "0", Max: "100", Doc: "share of requests that are traced, in per cent"},
	{Section: "traces", Key: "otlp", Kind: Address, Doc: "address of an OTLP collector over HTTP; empty for none"},
}

var entrySettings = []SettingConfig{
	{Section: "gate", Key: "listen", Kind: Address, Required: true, Doc: "address for callers"},
	{Section: "gate", Key: "max-header", Kind: Bytes, Default: "16KiB", Min: "1KiB", Max: "16KiB", Doc: "largest request header"},
	{Section: "gate", Key: "max-body", Kind: Bytes, Default: "4MiB", Min: "1KiB", Max: "64MiB", Doc: "largest request body"},
	{Section: "process", Key: "memory", Kind: Bytes, Default: "0", Min: "0", Max: "1024GiB", Doc: "memory that the process may use; 0 for as much as the machine has"},
	{Section: "gate", Key: "max-bodies", Kind: Bytes, Default: "256MiB", Min: "1MiB", Max: "64GiB", Doc: "bytes of requests and answers that are held at once, each body counted twice, and 35% of [process] memory if that is less; beyond it requests are refused and connections closed, first those of callers that hold most"},
	{Section: "gate", Key: "max-answer", Kind: Bytes, Default: "16MiB", Min: "64KiB", Max: "256MiB", Doc: "largest answer that is not streamed"},
	{Section: "gate", Key: "max-unsent", Kind: Bytes, Default: "1MiB", Min: "16KiB", Max: "64MiB", Doc: "bytes of answer that a slow reader may leave unsent"},
	{Section: "gate", Key: "max-connections", Kind: Integer, Default: "8192", Min: "1", Max: "100000", Doc: "open connections of callers"},
	{Section: "gate", Key: "slow-sender", Kind: Duration, Default: "10s", Min: "100ms", Max: "5m", Doc: "limit from the first byte of a request to the end of its head, and on each pause in its body"},
	{Section: "gate", Key: "min-upload", Kind: Bytes, Default: "16KiB", Min: "0", Max: "1GiB", Doc: "bytes a second at which a body has to arrive beyond slow-sender; 0 to give a whole request no more time than that"},
	{Section: "gate", Key: "idle", Kind: Duration, Default: "75s", Min: "1s", Max: "1h", Doc: "limit on an open connection without a request"},
	{Section: "gate", Key: "request-limit", Kind: Duration, Default: "10m", Min: "1s", Max: "1h", Doc: "longest time that a request may take in all"},
	{Section: "gate", Key: "default-output", Kind: Integer, Default: "1024", Min: "1", Max: "1000000", Doc: "output tokens assumed when a request sets no maximum"},
	{Section: "gate", Key: "inbox", Kind: Integer, Default: "16384", Min: "16", Max: "1000000", Doc: "capacity of the gate's ring, in messages"},
	{Section: "link", Key: "listen", Kind: Address, Required: true, Doc: "address for other processes of the system"},
	{Section: "platform", Key: "snapshot-period", Kind: Duration, Default: "10m", Min: "1s", Max: "24h", Doc: "time without a snapshot in the log after which this instance appends one; a third of the log's retention or less"},
	{Section: "platform", Key: "snapshot-records", Kind: Integer, Default: "5000", Min: "10", Max: "10000000", Doc: "records without a snapshot in the log after which this instance appends one; a third of what the log keeps or less"},
	{Section: "booking", Key: "inbox", Kind: Integer, Default: "4096", Min: "16", Max: "1000000", Doc: "capacity of the rings of requests that may run once, in messages"},
	{Section: "booking", Key: "pending", Kind: Integer, Default: "1024", Min: "1", Max: "100000", Doc: "requests with an Idempotency-Key that may be open"},
	{Section: "booking", Key: "append-limit", Kind: Duration, Default: "3s", Min: "100ms", Max: "1m", Doc: "longest wait for the log to show an announced run before the request is refused as not run"},
	{Section: "booking", Key: "wait", Kind: Duration, Default: "10s", Min: "0s", Max: "10m", Doc: "longest wait of a repeated request for the outcome of the first"},
	{Section: "booking", Key: "max-outcome", Kind: Bytes, Default: "64KiB", Min: "0", Max: "512KiB", Doc: "largest answer that is stored for repeated requests"},
	{Section: "booking", Key: "kept", Kind: Bytes, Default: "4MiB", Min: "0", Max: "1GiB", Doc: "stored answers in all; beyond it the oldest are dropped"},
	{Section: "booking", Key: "kept-for", Kind: Duration, Default: "24h", Min: "1m", Max: "8760h", Doc: "age at which a stored answer is dropped"},
	{Section: "booking", Key: "intents", Kind: Integer, Default: "20000", Min: "16", Max: "10000000", Doc: "Idempotency-Keys that are remembered; further ones are refused"},
	{Section: "booking", Key: "remember", Kind: Duration, Default: "720h", Min: "1h", Max: "87600h", Doc: "age at which an Idempotency-Key is forgotten, after which it may run again"},
	{Section: "booking", Key: "appends", Kind: Integer, Default: "200", Min: "1", Max: "100000", Doc: "appends per second of all entries together for requests that may run once"},
	{Section: "rates", Key: "inbox", Kind: Integer, Default: "16384", Min: "16", Max: "1000000", Doc: "capacity of the ring of requests that need tokens, in messages"},
	{Section: "usher", Key: "inbox", Kind: Integer, Default: "16384", Min: "16", Max: "1000000", Doc: "capacity of the usher's ring, in messages"},
	{Section: "usher", Key: "max-attempts", Kind: Integer, Default: "3", Min: "1", Max: "10", Doc: "attempts for one request in all"},
	{Section: "planner", Key: "inbox", Kind: Integer, Default: "4096", Min: "16", Max: "100000", Doc: "capacity of the planner's rings, in messages"},
	{Section: "planner", Key: "threads", Kind: Integer, Default: "8", Min: "1", Max: "64", Doc: "calls to sides that the planner makes at once"},
	{Section: "planner", Key: "timeout", Kind: Duration, Default: "1s", Min: "50ms", Max: "30s", Doc: "limit on one call of the planner"},
	{Section: "planner", Key: "period", Kind: Duration, Default: "1s", Min: "100ms", Max: "1m", Doc: "time between two decisions of the planner"},
	{Section: "planner", Key: "idle", Kind: Duration, Default: "10s", Min: "100ms", Max: "10m", Doc: "time between two looks at a backend server that loads nothing"},
	{Section: "planner", Key: "retry", Kind: Duration, Default: "3s", Min: "100ms", Max: "10m", Doc: "time until a change of the plan that shows no effect is decided again"},
	{Section: "planner", Key: "takeover", Kind: Duration, Default: "10s", Min: "500ms", Max: "10m", Doc: "silence of the planner after which another entry takes its place"},
	{Section: "planner", Key: "silence", Kind: Duration, Default: "5s", Min: "200ms", Max: "10m", Doc: "time without an answer after which a backend server counts as down"},
	{Section: "planner", Key: "absence", Kind: Duration, Default: "1m", Min: "1s", Max: "24h", Doc: "time down after which the copies of a backend server no longer count"},
	{Section: "planner", Key: "average", Kind: Duration, Default: "1m", Min: "1s", Max: "1h", Doc: "time over which the demand for a model is averaged"},
	{Section: "planner", Key: "load-limit", Kind: Duration, Default: "2m", Min: "1s", Max: "1h", Doc: "time after which a planned copy that is not resident no longer counts"},
	{Section: "usher", Key: "probes", Kind: Integer, Default: "4", Min: "1", Max: "16", Doc: "sides that are asked for their load before a request is placed"},
	{Section: "usher", Key: "retry-share", Kind: Integer, Default: "20", Min: "0", Max: "100", Doc: "retries as a share of recent requests, in per cent"},
	{Section: "line", Key: "inbox", Kind: Integer, Default: "1024", Min: "16", Max: "1000000", Doc: "capacity of each side's ring, in messages"},
	{Section: "line", Key: "idle", Kind: Duration, Default: "15s", Min: "10s", Max: "1h", Doc: "time without use after which the connection to a side is closed"},
	{Section: "line", Key: "read-wait", Kind: Duration, Default: "250ms", Min: "10ms", Max: "10s", Doc: "longest time that one read of answers waits at a side"},
	{Section: "line", Key: "timeout", Kind: Duration, Default: "1s", Min: "50ms", Max: "2s", Doc: "silence beyond the expected answer after which a connection is replaced"},
}

var sideSettings = []SettingConfig{
	{Section: "desk", Key: "listen", Kind: Address, Required: true, Doc: "address for entries and other sides"},
	{Section: "process", Key: "memory", Kind: Bytes, Default: "0", Min: "0", Max: "1024GiB", Doc: "memory that the process may use; 0 for as much as the machine has"},
	{Section: "desk", Key: "max-message", Kind: Bytes, Default: "8MiB", Min: "64KiB", Max: "256MiB", Doc: "largest message of another process; more than [gate] max-body of any entry, and than 3MiB. Twice as many bytes may be in calls that have not been answered"},
	{Section: "desk", Key: "linger", Kind: Duration, Default: "2ms", Min: "0s", Max: "100ms", Doc: "time for which answers are gathered before they are sent"},
	{Section: "foyer", Key: "inbox", Kind: Integer, Default: "16384", Min: "16", Max: "1000000", Doc: "capacity of the foyer's ring, in messages"},
	{Section: "foyer", Key: "queue", Kind: Integer, Default: "256", Min: "0", Max: "100000", Doc: "requests that may wait for the backend server"},
	{Section: "foyer", Key: "prefix-blocks", Kind: Integer, Default: "16384", Min: "64", Max: "1000000", Doc: "blocks of recent prompts that are remembered, to send like prompts to the same backend server"},
	{Section: "foyer", Key: "max-buffered", Kind: Bytes, Default: "8MiB", Min: "64KiB", Max: "256MiB", Doc: "bytes of one answer that an entry has not yet confirmed"},
	{Section: "foyer", Key: "max-held", Kind: Bytes, Default: "1GiB", Min: "1MiB", Max: "1024GiB", Doc: "half of it bytes of requests that wait or run, a quarter of it bytes of answers that entries have not yet confirmed, which are copied while they grow; 35% of [process] memory if that is less. Beyond it requests are refused, and the answer of which most is left ends"},
	{Section: "orders", Key: "inbox", Kind: Integer, Default: "1024", Min: "16", Max: "100000", Doc: "capacity of the rings for orders to the backend server, in messages"},
	{Section: "orders", Key: "timeout", Kind: Duration, Default: "1s", Min: "50ms", Max: "30s", Doc: "limit on one call to the backend server about its memory"},
	{Section: "orders", Key: "longest-delay", Kind: Duration, Default: "10s", Min: "100ms", Max: "10m", Doc: "longest time from sending an order until it takes effect"},
	{Section: "orders", Key: "send-limit", Kind: Duration, Default: "1s", Min: "50ms", Max: "1m", Doc: "longest time from a decision until its order is sent"},
	{Section: "orders", Key: "retry", Kind: Duration, Default: "3s", Min: "100ms", Max: "10m", Doc: "time until an order without effect is given again"},
	{Section: "orders", Key: "report", Kind: Duration, Default: "500ms", Min: "50ms", Max: "1m", Doc: "time between two looks at the backend server's memory"},
	{Section: "orders", Key: "grace", Kind: Duration, Default: "10s", Min: "100ms", Max: "10m", Doc: "time for which a model is left without a live copy before another backend server takes it up without the planner"},
	{Section: "orders", Key: "linger", Kind: Duration, Default: "1m", Min: "0s", Max: "1h", Doc: "time for which a model that is no longer planned stays while nothing needs its memory"},
	{Section: "orders", Key: "list-period", Kind: Duration, Default: "2s", Min: "50ms", Max: "1m", Doc: "time between two looks at the platform's list of instances"},
	{Section: "orders", Key: "settle", Kind: Duration, Default: "2s", Min: "0s", Max: "1m", Doc: "time from the last advertisement of a model until it is unloaded"},
	{Section: "orders", Key: "loads", Kind: Integer, Default: "2", Min: "1", Max: "64", Doc: "models that the backend server loads at once"},
	{Section: "backend", Key: "address", Kind: Address, Required: true, Doc: "address of the backend server"},
	{Section: "backend", Key: "name", Kind: Text, Required: true, Doc: "name of the backend server in the inventory"},
	{Section: "backend", Key: "concurrency", Kind: Integer, Default: "32", Min: "1", Max: "1024", Doc: "requests that the backend server runs at once"},
	{Section: "backend", Key: "silence", Kind: Duration, Default: "30s", Min: "100ms", Max: "10m", Doc: "longest pause within an answer before the backend server counts as silent"},
}

// EntrySettings returns the settings of sesamewell-entry.
func EntrySettings() []Setting {
	return newSettings(processSettings, entryAndSideSettings, entrySettings)
}

// SideSettings returns the settings of sesamewell-side.
func SideSettings() []Setting {
	return newSettings(processSettings, entryAndSideSettings, sideSettings)
}

// KeeperSettings returns the settings of sesamewell-keeper.
func KeeperSettings() []Setting {
	return newSettings(processSettings, lobbyAndKeeperSettings, keeperSettings)
}

// LobbySettings returns the settings of sesamewell-lobby.
func LobbySettings() []Setting {
	return newSettings(processSettings, lobbyAndKeeperSettings, lobbySettings)
}

func newSettings(groups ...[]SettingConfig) []Setting {
	var settings []Setting
	for _, group := range groups {
		for _, config := range group {
			settings = append(settings, NewSetting(config))
		}
	}
	return settings
}

// lobbyAndKeeperSettings are the settings that the lobby and the keeper share,
// which do not follow the log.
var lobbyAndKeeperSettings = []SettingConfig{
	{Section: "process", Key: "instance", Kind: Text, Required: true, Doc: "name of this instance"},
	{Section: "process", Key: "memory", Kind: Bytes, Required: true, Doc: "memory that the process may use"},
	{Section: "process", Key: "operator", Kind: Address, Required: true, Doc: "address of the operators' pages (metrics, health, status)"},
	{Section: "door", Key: "listen", Kind: Address, Required: true, Doc: "address for other processes of the system"},
}

var keeperSettings = []SettingConfig{
	{Section: "engine", Key: "address", Kind: Address, Required: true, Doc: "address of the backend server beside this process"},
	{Section: "engine", Key: "timeout", Kind: Duration, Default: "500ms", Min: "10ms", Max: "30s", Doc: "limit on one call to the backend server"},
	{Section: "engine", Key: "look", Kind: Duration, Default: "500ms", Min: "10ms", Max: "30s", Doc: "time between two looks at a backend server at rest"},
	{Section: "engine", Key: "watch", Kind: Duration, Default: "10ms", Min: "1ms", Max: "10s", Doc: "time between two looks at a backend server that loads"},
	{Section: "engine", Key: "lease", Kind: Duration, Default: "3s", Min: "100ms", Max: "10m", Doc: "time for which an adapter that was asked for stays loaded"},
	{Section: "engine", Key: "patience", Kind: Duration, Default: "400ms", Min: "10ms", Max: "1s", Doc: "longest time for which a request waits for an adapter"},
	{Section: "engine", Key: "silence", Kind: Duration, Default: "3s", Min: "500ms", Max: "10m", Doc: "silence of a planner after which another one's plan is taken"},
	{Section: "engine", Key: "longest-delay", Kind: Duration, Default: "15s", Min: "100ms", Max: "10m", Doc: "longest time after which the backend server carries out an order that got no answer"},
}

var lobbySettings = []SettingConfig{
	{Section: "process", Key: "domain", Kind: Text, Required: true, Doc: "failure domain of this instance"},
	{Section: "platform", Key: "store", Kind: Address, Required: true, Doc: "address of the platform's store"},
	{Section: "platform", Key: "timeout", Kind: Duration, Default: "1s", Min: "50ms", Max: "30s", Doc: "limit on one call of the store, beyond the wait of a long poll"},
	{Section: "platform", Key: "drain", Kind: Duration, Default: "2s", Min: "200ms", Max: "1h", Doc: "time within which a backend server that leaves must get no new requests; its list is read five times in it, but at least once a second"},
	{Section: "platform", Key: "contact", Kind: Duration, Default: "3s", Min: "200ms", Max: "1h", Doc: "time within which a broken connection to the store has to be noticed"},
	{Section: "porch", Key: "listen", Kind: Address, Required: true, Doc: "address for callers"},
	{Section: "porch", Key: "probe", Kind: Address, Required: true, Doc: "address at which the platform asks for readiness"},
	{Section: "porch", Key: "min-upload", Kind: Bytes, Default: "16KiB", Min: "0", Max: "1GiB", Doc: "bytes a second at which a body has to arrive beyond the configuration's header_timeout_ms; 0 to give a whole request no more time than that"},
	{Section: "porch", Key: "dialers", Kind: Integer, Default: "6", Min: "1", Max: "64", Doc: "connections to backend servers that are made at once"},
	{Section: "steward", Key: "inbox", Kind: Integer, Default: "8192", Min: "16", Max: "1000000", Doc: "capacity of the rings between connections and decisions, in messages"},
	{Section: "keeper", Key: "port", Kind: Integer, Required: true, Min: "1", Max: "65535", Doc: "port of every keeper's door, on the backend server's IP"},
	{Section: "keeper", Key: "threads", Kind: Integer, Default: "8", Min: "2", Max: "64", Doc: "calls to keepers for adapters that are made at once"},
	{Section: "suspects", Key: "remember", Kind: Duration, Default: "24h", Min: "1m", Max: "720h", Doc: "time after its last crash for which a request or part of prompts that has crashed backend servers is remembered; longer than the pause after which it comes again, which is a day for work on a schedule: one that is forgotten crashes three more before it is held back"},
	{Section: "planner", Key: "excess", Kind: Decimal, Default: "1", Doc: "loads from the weight store that may begin, against its rate"},
	{Section: "cold", Key: "overshoot", Kind: Decimal, Default: "1", Min: "0", Max: "1000", Doc: "requests that may reach a cold backend server in one second, as a multiple of the rate that its service states, over all instances"},
	{Section: "cold", Key: "slack", Kind: Decimal, Default: "0", Min: "0", Max: "100000", Doc: "requests that may reach a cold backend server in one second beside that multiple"},

	{Section: "regions", Key: "DOMAIN", Kind: Table, Doc: "region of each failure domain; a domain without one is in no region, and gets no requests that may run in some regions only"},
	{Section: "retries", Key: "ratio", Kind: Decimal, Default: "0.2", Doc: "retries for each request of a service, over all instances"},
	{Section: "retries", Key: "extra", Kind: Decimal, Default: "20", Min: "0", Max: "100000", Doc: "retries of a service beside that share, in one window, over all instances"},
	{Section: "retries", Key: "window", Kind: Duration, Default: "10s", Min: "1s", Max: "1h", Doc: "time over which retries are counted"},
}
