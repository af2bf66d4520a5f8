package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

const (
	// maxHotBytes is the size of the hot parts in one digest, whatever the size of the
	// fleet, and minHotPeriod and hotPeriodPerLobby the time between two digests with
	// them: each lobby gets at most maxHotBytes in hotPeriodPerLobby.
	maxHotBytes       = 512
	minHotPeriod      = time.Second
	hotPeriodPerLobby = 10 * time.Millisecond
	hotPartBytes      = 12  // of one part in a digest at most
	hotGroupBytes     = 20  // of what precedes the parts of one model at a backend server, without the names
	maxTrackedHot     = 512 // hot parts that are counted between two digests
)

// hotPart identifies a part at a backend server.
type hotPart struct {
	backend string
	start   int64 // start time of the backend server
	model   string
	key     uint32
}

// hotUse is how often a part was sent.
type hotUse struct {
	tokens int64
	sends  int
}

// hotParts counts what this lobby has sent repeatedly since its last digest with hot
// parts.
type hotParts struct{ uses map[hotPart]hotUse }

func newHotParts() *hotParts { return &hotParts{uses: make(map[hotPart]hotUse)} }

// add records parts that were sent again to a backend server.
func (h *hotParts) add(backend deployment.Backend, model string, parts []promptPart) {
	for _, part := range parts {
		key := hotPart{backend: backend.ID(), start: backend.StartTime(), model: model, key: part.key}
		use, known := h.uses[key]
		if !known && len(h.uses) >= maxTrackedHot {
			continue
		}
		h.uses[key] = hotUse{tokens: part.tokens, sends: use.sends + 1}
	}
}

// take returns the parts that save most prefill, as far as they fit maxHotBytes, and
// begins to count anew.
func (h *hotParts) take() []protocol.HotPartsConfig {
	saved := func(p hotPart) int64 { return h.uses[p].tokens * int64(h.uses[p].sends) }
	hottest := slices.SortedFunc(maps.Keys(h.uses), func(a, b hotPart) int {
		return cmp.Or(cmp.Compare(saved(b), saved(a)), cmp.Compare(a.backend, b.backend), cmp.Compare(a.model, b.model), cmp.Compare(a.key, b.key))
	})
	var groups []protocol.HotPartsConfig
	size := 0
	for _, part := range hottest {
		i := slices.IndexFunc(groups, func(g protocol.HotPartsConfig) bool {
			return g.Backend == part.backend && g.StartTime == part.start && g.Model == part.model
		})
		needed := hotPartBytes
		if i < 0 {
			needed += hotGroupBytes + len(part.backend) + len(part.model)
		}
		if size += needed; size > maxHotBytes {
			break
		}
		if i < 0 {
			i = len(groups)
			groups = append(groups, protocol.HotPartsConfig{Backend: part.backend, StartTime: part.start, Model: part.model})
		}
		groups[i].Parts = append(groups[i].Parts, protocol.HotPartConfig{Key: part.key, Tokens: h.uses[part].tokens})
	}
	clear(h.uses)
	return groups
}

// hotToSend returns the hot parts if they are due, else nil.
func (c *Core) hotToSend(now time.Time) []protocol.HotPartsConfig {
	if now.Sub(c.lastHot) < max(minHotPeriod, time.Duration(c.lobbyCount)*hotPeriodPerLobby) {
		return nil
	}
	c.lastHot = now
	return c.hot.take()
}

// learnHot records what another lobby has sent repeatedly to backend servers that still
// run and still have the model.
func (c *Core) learnHot(now time.Time, groups []protocol.HotPartsConfig) {
	for _, group := range groups {
		s, ok := c.servers[group.Backend]
		if !ok || s.backend.StartTime() != group.StartTime || !s.hasModel(group.Model) {
			continue
		}
		for _, part := range group.Parts {
			if part.Tokens > 0 && part.Tokens <= maxPartTokens {
				s.cache.learn(now, group.Model, promptPart{key: part.Key, tokens: part.Tokens})
			}
		}
		s.cache.evict(c.cacheCapacity(s))
	}
}
