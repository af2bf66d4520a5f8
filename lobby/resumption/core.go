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
	// joinPeriod is the time after a lobby has read the store, which has one version of a service,
	// for which it tells nobody that it knows another one, so that streams begin there nowhere.
	// Lobbies that were killed together start within it.
	joinPeriod = 3 * time.Second
	// settlePeriod is the time after which all lobbies in touch have read that a version is
	// listed, whether or not they have said so.
	settlePeriod     = 4 * time.Second
	expiryPeriod     = 5 * time.Second
	digestsPerStream = 2   // since some are lost
	maxTold          = 256 // streams in one digest
)

// digestEntry is a stream that is to be told to the other lobbies.
type digestEntry struct {
	stream  httpmeta.StreamID
	digests int // that are still to contain it
}

// Core decides at which software version a stream may go on. It does no I/O and is not safe
// for concurrent use.
type Core struct {
	streams    *table
	versions   versions
	saver      saver
	several    map[string]bool      // services with several versions, whose streams are saved
	onlyAtLoad map[string]string    // by service, the only version at which streams may have begun when the store was read
	keptAtLoad map[string]bool      // services of which the store had a version then
	loaded     time.Time            // time at which the store had been read; zero before
	lossy      bool                 // the store had lost what was saved lately and may have lacked versions
	listed     time.Time            // time of the last list of backend servers
	peers      map[string]time.Time // times at which the last digests of the other lobbies were sent
	expired    time.Time            // time of the last check for what is over
	digest     []digestEntry        // streams for the next digests, oldest first
}

// New returns a core that knows nothing.
func New() *Core {
	return &Core{
		streams: newTable(), versions: make(versions), several: make(map[string]bool), onlyAtLoad: make(map[string]string), keptAtLoad: make(map[string]bool), peers: make(map[string]time.Time),
	}
}

// SetBackends records the list of backend servers, and the time before it was read, zero if
// another lobby has read it.
func (c *Core) SetBackends(now, read time.Time, backends []deployment.Backend) {
	first := c.listed.IsZero()
	c.listed = read
	c.versions.list(now, first, backends)
	c.updateSeveral(now)
}

// Readiness returns whether streams may begin at an origin. They may once the store has its
// version, so that lobbies that start later know of it, and all others know of it too. lobbies is
// the number of lobbies.
func (c *Core) Readiness(now time.Time, origin Origin, lobbies int) Readiness {
	version := c.versions.of(origin)
	if version == nil {
		return Ready // the service has very many
	}
	overdue := !c.versions.several(origin.service) || now.Sub(version.since) >= settlePeriod
	fresh := version.first && c.knowsAll(now) && !c.keptAtLoad[origin.service]
	if overdue || fresh || c.mayName(now, origin) && version.knownTo(now, lobbies-1) {
		version.shared = true
	}
	switch {
	case version.saved && version.shared:
		return Ready
	case overdue:
		return Overdue
	default:
		return Pending
	}
}

// mayName reports whether the others may be told that this lobby knows an origin. From then on
// streams may begin there, so none that nobody knows are taken for earlier ones any more.
func (c *Core) mayName(now time.Time, origin Origin) bool {
	atLoad, ok := c.onlyAtLoad[origin.service]
	return !c.loaded.IsZero() && (!ok || atLoad == origin.version || now.Sub(c.loaded) >= joinPeriod)
}

// Began records that a stream has begun at an origin, or gone on there. It is remembered until
// its caller's timeout ends. The origin has no version while that is not known.
func (c *Core) Began(now time.Time, stream httpmeta.StreamID, origin Origin, until time.Time) {
	until = until.Add(retentionSlack)
	if latest := now.Add(maxRetention); until.After(latest) {
		until = latest
	}
	known, ok := c.streams.records[stream]
	savedWithout := ok && known.origin.version == ""
	c.add(stream, record{origin: origin, source: SourceOwn, learnt: now, until: until})
	c.digest = append(c.digest, digestEntry{stream: stream, digests: digestsPerStream})
	c.digest = c.digest[max(len(c.digest)-maxStreams, 0):]
	if c.several[origin.service] || origin.version == "" || savedWithout {
		c.saver.add(stream)
	}
}

// add records where a stream began, and that its version has streams.
func (c *Core) add(stream httpmeta.StreamID, next record) {
	c.streams.add(stream, next)
	if version := c.versions.of(next.origin); version != nil {
		version.hasStreams = true
		version.keep(next.until)
	}
}

// Find returns what is known of the origin of a stream that a caller takes up, whose request
// goes to a service. lobbies is the number of lobbies.
func (c *Core) Find(now time.Time, stream httpmeta.StreamID, service string, lobbies int) Finding {
	if r, ok := c.streams.records[stream]; ok && r.until.After(now) {
		if r.unclear() || r.origin.version == "" {
			return Finding{source: SourceUnknown, age: now.Sub(r.learnt)}
		}
		return Finding{origin: r.origin, source: r.source, age: now.Sub(r.learnt)}
	}
	finding := Finding{age: now.Sub(c.listed)}
	only, single := c.versions.only(service)
	atLoad, ok := c.onlyAtLoad[service]
	earlier := NewOrigin(service, atLoad)
	switch {
	case c.loaded.IsZero():
		finding.source = SourceUnread
	case c.isStale(now, lobbies):
		finding.source = SourceStale
	case !c.knowsAll(now):
		finding.source = SourceRestored
	case single && !c.versions.several(service):
		finding.origin, finding.source = NewOrigin(service, only), SourceOnly
	case ok && now.Sub(c.loaded) < joinPeriod && !c.versions.streamsElsewhere(earlier):
		finding.origin, finding.source = earlier, SourceEarlier
	default:
		finding.source = SourceUnknown
	}
	return finding
}

// knowsAll reports whether this lobby knows all versions of which streams may be open: what it
// read from the store lacked none, or all streams of those that it may have lacked are over.
func (c *Core) knowsAll(now time.Time) bool {
	return !c.loaded.IsZero() && (!c.lossy || now.Sub(c.loaded) >= maxRetention)
}

// isStale reports whether versions may be listed of which this lobby has not heard.
func (c *Core) isStale(now time.Time, lobbies int) bool {
	return now.Sub(c.listed) > maxListAge && !c.heardAll(now, lobbies)
}

// heardAll reports whether all other lobbies have been heard lately, so that this one knows of
// the streams that have begun there.
func (c *Core) heardAll(now time.Time, lobbies int) bool {
	heard := 0
	for _, last := range c.peers {
		if now.Sub(last) <= peerLifetime {
			heard++
		}
	}
	return lobbies > 1 && heard >= lobbies-1
}

// UpdatePeer records what another lobby tells, and when it was sent: what has waited on its way is no
// news of the moment.
func (c *Core) UpdatePeer(now, sent time.Time, digest protocol.Digest) {
	if sent.After(c.peers[digest.Sender()]) {
		c.peers[digest.Sender()] = sent
	}
	for _, group := range digest.Streams() {
		if len(group.Streams) == 0 {
			c.learnVersion(now, sent, digest.Sender(), group)
			continue
		}
		c.learn(now, group, SourcePeer)
	}
	c.updateSeveral(now)
}

// learnVersion records that another lobby knows a version.
func (c *Core) learnVersion(now, sent time.Time, sender string, group protocol.StreamsConfig) {
	if version := c.versions.learn(now, NewOrigin(group.Service, group.Version)); version != nil {
		version.saved = version.saved || group.Saved
		if sent.After(version.named[sender]) {
			version.named[sender] = sent
		}
		version.keep(now.Add(min(group.Left, maxRetention)))
	}
}

// Load records what the store keeps, or a part of it. complete is set with the last part.
func (c *Core) Load(now time.Time, saved protocol.SavedStreams, complete bool) {
	for _, config := range saved.Versions() {
		if version := c.versions.learn(now, NewOrigin(config.Service, config.Version)); version != nil {
			version.saved, version.shared = true, version.shared || c.loaded.IsZero()
			version.keep(now.Add(maxRetention))
		}
	}
	for _, group := range saved.Streams() {
		if origin := NewOrigin(group.Service, group.Version); origin.version == "" || c.versions.of(origin) != nil { // else it is over
			c.learn(now, group, SourceStore)
		}
	}
	c.updateSeveral(now)
	c.lossy = saved.Lossy()
	if complete && c.loaded.IsZero() {
		c.loaded = now
		for service := range c.versions {
			c.keptAtLoad[service] = c.versions.saved(service)
			if only, ok := c.versions.only(service); ok && !c.lossy {
				c.onlyAtLoad[service] = only
			}
		}
	}
}

// learn records streams of which another lobby or the store tells. What the store keeps takes
// no place of streams that are remembered.
func (c *Core) learn(now time.Time, group protocol.StreamsConfig, source Source) {
	origin := NewOrigin(group.Service, group.Version)
	if origin.version != "" && c.versions.learn(now, origin) == nil {
		return
	}
	until := now.Add(min(group.Left, maxRetention))
	for _, stream := range group.Streams {
		if source == SourceStore && c.streams.full() {
			return
		}
		c.add(stream, record{origin: origin, source: source, learnt: now, until: until})
	}
}

// SaveAnswered records that the store has taken the save of a serial.
func (c *Core) SaveAnswered(now time.Time, serial uint64) {
	if save := c.saver.answered(serial); save != nil {
		c.versions.markSaved(save.Added())
		c.updateSeveral(now)
	}
}

// Restored records that the store has lost what was saved lately. All that this lobby knows
// of its own is saved again.
func (c *Core) Restored(now time.Time) {
	c.versions.markLost()
	c.saver.open = nil
	clear(c.several)
	c.updateSeveral(now)
}

// updateSeveral has all own streams saved of the services that have several versions now.
func (c *Core) updateSeveral(now time.Time) {
	maps.DeleteFunc(c.several, func(service string, _ bool) bool { return !c.versions.several(service) })
	for service := range c.versions {
		if !c.versions.several(service) || c.several[service] {
			continue
		}
		c.several[service] = true
		for _, stream := range c.streams.order {
			if r, ok := c.streams.records[stream]; ok && r.source == SourceOwn && r.origin.service == service && r.until.After(now) {
				c.saver.add(stream)
			}
		}
	}
}

// ToTell returns the streams for the next digest, the newest first: they are the least known.
// For services with several versions it names these, without streams.
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
	for service := range c.several {
		for name, version := range c.versions[service] {
			if c.mayName(now, NewOrigin(service, name)) {
				groups = append(groups, protocol.StreamsConfig{Service: service, Version: name, Left: max(version.forgetAt.Sub(now), 0), Saved: version.saved})
			}
		}
	}
	slices.SortStableFunc(groups, compareGroups)
	return groups
}

// ToSave returns what is to be saved in the store now, false if nothing is due. lobbies is the
// number of lobbies. Until SaveAnswered follows there is no other save, and this one is repeated.
func (c *Core) ToSave(now time.Time, lobbies int) (protocol.StreamsSave, bool) {
	c.expire(now)
	var all []protocol.SoftwareVersionConfig
	if c.knowsAll(now) && !c.isStale(now, lobbies) {
		all = c.versions.all()
	}
	return c.saver.next(now, savePeriod(lobbies), c.versions, all, len(c.several) > 0, func(streams []httpmeta.StreamID) []protocol.StreamsConfig {
		return c.group(now, streams)
	})
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
	c.saver.remove(c.versions.expire(now))
	maps.DeleteFunc(c.peers, func(_ string, last time.Time) bool { return now.Sub(last) > maxRetention })
	c.updateSeveral(now)
}

// group returns streams by origin, in the order of their origins, without those that are
// forgotten. One that is unclear is in two groups.
func (c *Core) group(now time.Time, streams []httpmeta.StreamID) []protocol.StreamsConfig {
	byOrigin := make(map[Origin]*protocol.StreamsConfig)
	for _, stream := range streams {
		r, ok := c.streams.records[stream]
		if !ok || !r.until.After(now) {
			continue
		}
		for _, origin := range r.origins() {
			config, ok := byOrigin[origin]
			if !ok {
				config = &protocol.StreamsConfig{Service: origin.service, Version: origin.version}
				byOrigin[origin] = config
			}
			config.Streams = append(config.Streams, stream)
			config.Left = max(config.Left, r.until.Sub(now))
		}
	}
	groups := make([]protocol.StreamsConfig, 0, len(byOrigin))
	for _, config := range byOrigin {
		groups = append(groups, *config)
	}
	slices.SortFunc(groups, compareGroups)
	return groups
}

// compareGroups compares groups by their origins.
func compareGroups(a, b protocol.StreamsConfig) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}
