package resumption

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
)

const (
	// maxListAge is the age of the list of backend servers up to which it tells all versions
	// of a service. Later all other lobbies must have been heard within peerLifetime.
	maxListAge   = 2500 * time.Millisecond
	peerLifetime = time.Second
	// maxSaveTime is the time after which streams begin at a version that the store has not
	// been able to take.
	maxSaveTime  = 3 * time.Second
	expiryPeriod = 5 * time.Second
	resendPeriod = 10 * time.Second // time after which a save without an answer is repeated
	tellings     = 2                // digests in which a stream is told, since some are lost
	maxTold      = 256              // streams in one digest
	maxSaved     = 1 << 12          // streams in one save
	// The time between two saves grows with the number of lobbies, which share the store's
	// rate of writes.
	minSavePeriod      = 250 * time.Millisecond
	savePeriodPerLobby = 50 * time.Millisecond
)

// digestEntry is a stream that is to be told to the other lobbies.
type digestEntry struct {
	stream  httpmeta.StreamID
	digests int // that are still to contain it
}

// Core decides at which software version a stream may go on. It does no I/O and is not safe
// for concurrent use.
type Core struct {
	streams  *table
	versions versions
	mixed    map[string]bool      // services with several versions, whose streams are saved
	earlier  map[string]string    // by service, the only version at which streams began before the store was read
	loaded   time.Time            // time at which the store had been read; zero before
	listed   time.Time            // time of the last list of backend servers
	peers    map[string]time.Time // times of the last digests of the other lobbies
	expired  time.Time            // time of the last check for what is over
	digest   []digestEntry        // streams for the next digests, oldest first

	unsaved  []httpmeta.StreamID              // own streams that are to be saved, oldest first
	removed  []protocol.SoftwareVersionConfig // versions that are to be removed from the store
	saving   *protocol.StreamsSave            // the save that the store has not answered; nil if there is none
	lastSave time.Time                        // time of the last save
	reread   bool                             // what the last save said of Mixed
}

// New returns a core that knows nothing.
func New() *Core {
	return &Core{
		streams: newTable(), versions: make(versions), mixed: make(map[string]bool), earlier: make(map[string]string), peers: make(map[string]time.Time),
	}
}

// SetBackends records the list of backend servers.
func (c *Core) SetBackends(now time.Time, backends []deployment.Backend) {
	c.listed = now
	c.versions.list(now, backends)
	c.updateMixed(now)
}

// MayBegin reports whether resumable streams may begin at an origin: the store has its version,
// so that a lobby that starts later knows of it, or has not been able to take it for long.
func (c *Core) MayBegin(now time.Time, origin Origin) bool {
	version, ok := c.versions[origin.service][origin.version]
	return !ok || version.saved || now.Sub(version.since) >= maxSaveTime
}

// Began records that a stream has begun at an origin, or gone on there. It is remembered until
// its caller's timeout ends.
func (c *Core) Began(now time.Time, stream httpmeta.StreamID, origin Origin, until time.Time) {
	until = until.Add(retentionSlack)
	if latest := now.Add(maxRetention); until.After(latest) {
		until = latest
	}
	c.add(stream, record{origin: origin, source: SourceOwn, learnt: now, until: until})
	c.digest = append(c.digest, digestEntry{stream: stream, digests: tellings})
	c.digest = c.digest[max(len(c.digest)-maxStreams, 0):]
	if c.mixed[origin.service] {
		c.save(stream)
	}
}

// add records where a stream began, and until when its version may have streams.
func (c *Core) add(stream httpmeta.StreamID, next record) {
	c.streams.add(stream, next)
	if version, ok := c.versions[next.origin.service][next.origin.version]; ok && next.until.After(version.until) {
		version.until = next.until
	}
}

func (c *Core) save(stream httpmeta.StreamID) {
	c.unsaved = append(c.unsaved, stream)
	c.unsaved = c.unsaved[max(len(c.unsaved)-maxStreams, 0):]
}

// Find returns what is known of the origin of a stream that a caller takes up, whose request
// goes to a service. lobbies is the number of lobbies.
func (c *Core) Find(now time.Time, stream httpmeta.StreamID, service string, lobbies int) Finding {
	if r, ok := c.streams.records[stream]; ok && r.until.After(now) {
		if r.unclear {
			return Finding{source: SourceUnknown, age: now.Sub(r.learnt)}
		}
		return Finding{origin: r.origin, source: r.source, age: now.Sub(r.learnt)}
	}
	finding := Finding{age: now.Sub(c.listed)}
	only, single := c.versions.only(service)
	earlier, ok := c.earlier[service]
	switch {
	case c.loaded.IsZero():
		finding.source = SourceUnread
	case !c.upToDate(now, lobbies):
		finding.source = SourceStale
	case single:
		finding.origin, finding.source = NewOrigin(service, only), SourceOnly
	case ok && now.Sub(c.loaded) <= earlierPeriod:
		finding.origin, finding.source = NewOrigin(service, earlier), SourceEarlier
	default:
		finding.source = SourceUnknown
	}
	return finding
}

// upToDate reports whether no other lobby can have begun streams at a version of which this one
// does not know: the list is new enough to name it, or all others have been heard.
func (c *Core) upToDate(now time.Time, lobbies int) bool {
	if now.Sub(c.listed) <= maxListAge {
		return true
	}
	heard := 0
	for _, last := range c.peers {
		if now.Sub(last) <= peerLifetime {
			heard++
		}
	}
	return lobbies > 1 && heard >= lobbies-1
}

// UpdatePeer records what another lobby tells.
func (c *Core) UpdatePeer(now time.Time, digest protocol.Digest) {
	c.peers[digest.Sender()] = now
	c.learn(now, digest.Streams(), SourcePeer)
}

// Load records what the store keeps, or a part of it. complete is set if all has been read.
func (c *Core) Load(now time.Time, saved protocol.SavedStreams, complete bool) {
	for _, config := range saved.Versions() {
		if version := c.versions.learn(now, NewOrigin(config.Service, config.Version)); version != nil {
			version.saved = true
		}
	}
	c.learn(now, saved.Streams(), SourceStore)
	if complete && c.loaded.IsZero() {
		c.loaded = now
		for service := range c.versions {
			if only, ok := c.versions.only(service); ok {
				c.earlier[service] = only
			}
		}
	}
}

// Saved records that the store has taken the last save.
func (c *Core) Saved(now time.Time) {
	if c.saving == nil {
		return
	}
	c.versions.markSaved(c.saving.Added())
	c.saving = nil
	c.updateMixed(now)
}

// Restored records that the store has lost what was saved lately. All that this lobby knows
// of its own is saved again.
func (c *Core) Restored(now time.Time) {
	c.versions.markLost()
	c.saving = nil
	clear(c.mixed)
	c.updateMixed(now)
}

// learn records streams of which another lobby or the store tells, and the versions at which
// they began. What the store keeps of versions that it does not have any more is over.
func (c *Core) learn(now time.Time, groups []protocol.StreamsConfig, source Source) {
	for _, group := range groups {
		origin := NewOrigin(group.Service, group.Version)
		if _, ok := c.versions[origin.service][origin.version]; !ok && source == SourceStore {
			continue
		}
		version := c.versions.learn(now, origin)
		if version == nil {
			continue
		}
		version.claimed = true
		until := now.Add(min(group.Left, maxRetention))
		for _, stream := range group.Streams {
			if source == SourceStore && c.streams.full() {
				break
			}
			c.add(stream, record{origin: origin, source: source, learnt: now, until: until})
		}
	}
	c.updateMixed(now)
}

// updateMixed has all own streams saved of the services that have several versions now.
func (c *Core) updateMixed(now time.Time) {
	for service := range c.mixed {
		if !c.versions.mixed(service) {
			delete(c.mixed, service)
		}
	}
	for service := range c.versions {
		if !c.versions.mixed(service) || c.mixed[service] {
			continue
		}
		c.mixed[service] = true
		for _, stream := range c.streams.order {
			if r, ok := c.streams.records[stream]; ok && r.source == SourceOwn && r.origin.service == service && r.until.After(now) {
				c.save(stream)
			}
		}
	}
}

// ToTell returns the streams for the next digest, the newest first: they are the least known.
// For services with several versions it has all of them.
func (c *Core) ToTell(now time.Time) []protocol.StreamsConfig {
	from := max(len(c.digest)-maxTold, 0)
	streams := make([]httpmeta.StreamID, 0, len(c.digest)-from)
	kept := c.digest[:from:from]
	for _, next := range c.digest[from:] {
		streams = append(streams, next.stream)
		if next.digests--; next.digests > 0 {
			kept = append(kept, next)
		}
	}
	c.digest = kept
	groups := c.group(now, streams)
	for service := range c.mixed {
		for name, version := range c.versions[service] {
			if version.saved || version.claimed {
				groups = append(groups, protocol.StreamsConfig{Service: service, Version: name})
			}
		}
	}
	slices.SortStableFunc(groups, compareGroups)
	return groups
}

// compareGroups compares groups by their origins.
func compareGroups(a, b protocol.StreamsConfig) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// ToSave returns what is to be saved in the store now, false if nothing is due. lobbies is the
// number of lobbies. There is one save at a time, which is repeated if Saved does not follow.
func (c *Core) ToSave(now time.Time, lobbies int) (protocol.StreamsSave, bool) {
	c.expire(now)
	if c.saving != nil {
		if now.Sub(c.lastSave) < resendPeriod {
			return protocol.StreamsSave{}, false
		}
		c.lastSave = now
		return *c.saving, true
	}
	config := protocol.StreamsSaveConfig{Added: c.versions.unsaved(), Removed: c.removed, Mixed: len(c.mixed) > 0}
	due := now.Sub(c.lastSave) >= max(minSavePeriod, time.Duration(lobbies)*savePeriodPerLobby)
	if len(config.Added)+len(c.removed) == 0 && config.Mixed == c.reread && (!due || len(c.unsaved) == 0) {
		return protocol.StreamsSave{}, false
	}
	n := min(len(c.unsaved), maxSaved)
	config.Streams = c.group(now, c.unsaved[:n])
	save := protocol.NewStreamsSave(config)
	c.saving, c.lastSave, c.reread = &save, now, config.Mixed
	c.removed, c.unsaved = nil, c.unsaved[n:]
	return save, true
}

// Loaded reports whether the store has been read since the start.
func (c *Core) Loaded() bool { return !c.loaded.IsZero() }

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
	maps.DeleteFunc(c.peers, func(_ string, last time.Time) bool { return now.Sub(last) > minRetention })
	c.updateMixed(now)
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
	slices.SortFunc(groups, compareGroups)
	return groups
}
