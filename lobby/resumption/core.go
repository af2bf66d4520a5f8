package resumption

import (
	"cmp"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
)

const (
	// maxListAge is the age of the list of backend servers up to which it tells all versions
	// of a service, unless another lobby has been heard since.
	maxListAge   = 2500 * time.Millisecond
	peerLifetime = time.Second // time after its receipt for which another lobby's digest tells that no others serve
	expiryPeriod = 5 * time.Second
	tellings     = 3       // digests in which a stream is told, since some are lost
	maxTold      = 256     // streams in one digest
	maxSaved     = 1 << 12 // streams in one save
	// The time between two saves grows with the number of lobbies, which share the store's
	// rate of writes.
	minSavePeriod      = 250 * time.Millisecond
	savePeriodPerLobby = 50 * time.Millisecond
)

// telling is a stream that is to be told to the other lobbies.
type telling struct {
	stream httpmeta.StreamID
	times  int // digests that are still to tell it
}

// Core decides at which software version a stream may go on. It does no I/O and is not safe
// for concurrent use.
type Core struct {
	streams  *table
	versions versions
	loaded   bool      // the store has been read since the start
	listed   time.Time // time of the last list of backend servers
	heard    time.Time // time of the last digest of another lobby
	expired  time.Time // time of the last check for what is over
	lastSave time.Time
	removed  []protocol.SoftwareVersionConfig // versions to be removed from the store
	untold   []telling                        // own streams that are to be told to the other lobbies, oldest first
	unsaved  []httpmeta.StreamID              // own streams that are to be saved, oldest first
	told     map[string]bool                  // services with several versions whose own streams are told and saved
}

// New returns a core that knows nothing.
func New() *Core {
	return &Core{streams: newTable(), versions: make(versions), told: make(map[string]bool)}
}

// SetBackends records the list of backend servers.
func (c *Core) SetBackends(now time.Time, backends []deployment.Backend) {
	c.listed = now
	c.versions.list(now, backends)
	c.tellMixed(now)
}

// Began records that a stream has begun at an origin, or gone on there. It is remembered until
// its caller's timeout ends.
func (c *Core) Began(now time.Time, stream httpmeta.StreamID, origin Origin, until time.Time) {
	until = until.Add(retentionSlack)
	if latest := now.Add(maxRetention); until.After(latest) {
		until = latest
	}
	c.streams.add(stream, record{origin: origin, source: SourceOwn, learnt: now, until: until})
	if c.told[origin.service] {
		c.tell(stream)
	}
}

// Find returns what is known of the origin of a stream that a caller takes up, whose request
// goes to a service.
func (c *Core) Find(now time.Time, stream httpmeta.StreamID, service string) Finding {
	if r, ok := c.streams.records[stream]; ok && r.until.After(now) {
		if r.unclear {
			return Finding{source: SourceUnknown, age: now.Sub(r.learnt)}
		}
		return Finding{origin: r.origin, source: r.source, age: now.Sub(r.learnt)}
	}
	age := now.Sub(c.listed)
	only, ok := c.versions.only(service)
	switch {
	case !c.loaded:
		return Finding{source: SourceUnread}
	case !ok:
		return Finding{source: SourceUnknown, age: age}
	case age > maxListAge && now.Sub(c.heard) > peerLifetime:
		return Finding{source: SourceStale, age: age}
	default:
		return Finding{origin: NewOrigin(service, only), source: SourceOnly, age: age}
	}
}

// UpdatePeer records what another lobby tells.
func (c *Core) UpdatePeer(now time.Time, digest protocol.Digest) {
	c.heard = now
	c.learn(now, digest.Streams(), SourcePeer)
}

// Load records what the store keeps.
func (c *Core) Load(now time.Time, saved protocol.SavedStreams) {
	c.loaded = true
	for _, config := range saved.Versions() {
		if version := c.versions.learn(now, NewOrigin(config.Service, config.Version)); version != nil {
			version.saved = true
		}
	}
	c.learn(now, saved.Streams(), SourceStore)
}

// Restored records that the store has lost what was saved lately. All that this lobby knows
// of its own is saved again.
func (c *Core) Restored(now time.Time) {
	c.versions.markUnsaved()
	clear(c.told)
	c.tellMixed(now)
}

// learn records streams of which another lobby or the store tells.
func (c *Core) learn(now time.Time, groups []protocol.StreamsConfig, source Source) {
	for _, group := range groups {
		origin := NewOrigin(group.Service, group.Version)
		if c.versions.learn(now, origin) == nil {
			continue
		}
		until := now.Add(min(group.Left, maxRetention))
		for _, stream := range group.Streams {
			c.streams.add(stream, record{origin: origin, source: source, learnt: now, until: until})
		}
	}
	c.tellMixed(now)
}

// tellMixed has all own streams told and saved of the services that have several versions now,
// and no more those of the others.
func (c *Core) tellMixed(now time.Time) {
	for service := range c.told {
		if !c.versions.mixed(service) {
			delete(c.told, service)
		}
	}
	for service := range c.versions {
		if !c.versions.mixed(service) || c.told[service] {
			continue
		}
		c.told[service] = true
		for _, stream := range c.streams.order {
			if r, ok := c.streams.records[stream]; ok && r.source == SourceOwn && r.origin.service == service && r.until.After(now) {
				c.tell(stream)
			}
		}
	}
}

func (c *Core) tell(stream httpmeta.StreamID) {
	c.untold = append(c.untold, telling{stream: stream, times: tellings})
	c.unsaved = append(c.unsaved, stream)
	c.untold = c.untold[max(len(c.untold)-maxStreams, 0):]
	c.unsaved = c.unsaved[max(len(c.unsaved)-maxStreams, 0):]
}

// ToTell returns the streams for the next digest, the newest first: they are the least known.
func (c *Core) ToTell(now time.Time) []protocol.StreamsConfig {
	if len(c.untold) == 0 {
		return nil
	}
	from := max(len(c.untold)-maxTold, 0)
	streams := make([]httpmeta.StreamID, 0, len(c.untold)-from)
	kept := c.untold[:from:from]
	for _, next := range c.untold[from:] {
		streams = append(streams, next.stream)
		if next.times--; next.times > 0 {
			kept = append(kept, next)
		}
	}
	c.untold = kept
	return c.group(now, streams)
}

// ToSave returns what is to be saved in the store now, false if nothing is due. lobbies is the
// number of lobbies.
func (c *Core) ToSave(now time.Time, lobbies int) (protocol.StreamsSave, bool) {
	c.expire(now)
	added := c.versions.unsaved()
	due := now.Sub(c.lastSave) >= max(minSavePeriod, time.Duration(lobbies)*savePeriodPerLobby)
	if len(added)+len(c.removed) == 0 && (!due || len(c.unsaved) == 0) {
		return protocol.StreamsSave{}, false
	}
	n := min(len(c.unsaved), maxSaved)
	save := protocol.NewStreamsSave(protocol.StreamsSaveConfig{Added: added, Removed: c.removed, Streams: c.group(now, c.unsaved[:n])})
	c.removed, c.unsaved, c.lastSave = nil, c.unsaved[n:], now
	return save, true
}

// Size returns the number of streams that are remembered, the bytes that they take, and the
// number of those that were forgotten for want of room.
func (c *Core) Size() (streams, bytes, dropped int) {
	return len(c.streams.records), len(c.streams.records) * streamSize, c.streams.dropped
}

// expire forgets what is over, from time to time.
func (c *Core) expire(now time.Time) {
	if now.Sub(c.expired) < expiryPeriod {
		return
	}
	c.expired = now
	c.streams.expire(now)
	c.removed = append(c.removed, c.versions.expire(now)...)
	c.tellMixed(now)
}

// group returns streams by origin, in the order of their origins, without those that are
// forgotten or unclear.
func (c *Core) group(now time.Time, streams []httpmeta.StreamID) []protocol.StreamsConfig {
	byOrigin := make(map[Origin]*protocol.StreamsConfig)
	for _, stream := range streams {
		r, ok := c.streams.records[stream]
		if !ok || r.unclear || !r.until.After(now) {
			continue
		}
		config, ok := byOrigin[r.origin]
		if !ok {
			config = &protocol.StreamsConfig{Service: r.origin.service, Version: r.origin.version}
			byOrigin[r.origin] = config
		}
		config.Streams = append(config.Streams, stream)
		config.Left = max(config.Left, r.until.Sub(now))
	}
	groups := make([]protocol.StreamsConfig, 0, len(byOrigin))
	for _, config := range byOrigin {
		groups = append(groups, *config)
	}
	slices.SortFunc(groups, func(a, b protocol.StreamsConfig) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return groups
}
