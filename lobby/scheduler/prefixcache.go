package scheduler

import (
	"container/list"
	"hash/fnv"
	"io"
	"time"

	"sesamewell.example/commons/httpmeta"
)

const (
	// maxCachedParts is the number of prompt parts that are assumed to be cached by one
	// backend server at most. It bounds memory, and is the only bound for an engine of
	// which the size of the cache is not known.
	maxCachedParts = 512
	// minCacheShare is the share of an engine's memory that is assumed to be left for
	// cached parts however many requests run: the parts that they have in common.
	minCacheShare = 0.1
	// hotPeriod is the time within which a part that is sent twice counts as hot: other
	// requests, of other lobbies too, are likely to begin with it.
	hotPeriod = 30 * time.Second
	// maxPartTokens is the size of the largest part that is believed. It keeps sums of
	// what callers and other lobbies state within their type.
	maxPartTokens = 1 << 24
	// maxEvictionWalk is the number of parts that are looked at to tell what a prompt
	// would evict.
	maxEvictionWalk = 8
)

// promptPart is one part of a prompt, as caches know it. The key is a short hash of the
// model, the adapter and the part's ID: two parts with the same key cost one wrong
// estimate.
type promptPart struct {
	key    uint32
	tokens int64
}

// promptParts returns the leading parts of a request's prompt. Parts beyond the tokens
// that the request states are left out, since callers state both.
func promptParts(request *httpmeta.Request) []promptPart {
	parts := make([]promptPart, 0, len(request.Parts()))
	left := request.PromptTokens()
	for _, part := range request.Parts() {
		if left -= part.Tokens(); part.Tokens() < 0 || part.Tokens() > maxPartTokens || left < 0 || len(parts) == maxCachedParts {
			break
		}
		parts = append(parts, promptPart{key: partKey(request.Model(), request.Adapter(), part.ID()), tokens: part.Tokens()})
	}
	return parts
}

// partKey returns the key of a part. Cached parts are only valid for the same model and
// adapter.
func partKey(model, adapter, id string) uint32 {
	hash := fnv.New32a()
	for _, text := range []string{model, "/", adapter, "/", id} {
		_, _ = io.WriteString(hash, text) // writes to a hash never fail
	}
	return hash.Sum32()
}

// prefixCache estimates which prompt parts a backend server has cached: those most
// recently sent to it, as far as they fit its memory, with LRU eviction.
type prefixCache struct {
	order *list.List // of *cachedPart, most recent first
	parts map[uint32]*list.Element
	space int64 // tokens that the parts, and those like them of other lobbies, take
}

// cachedPart is a prompt part that is assumed to be cached.
type cachedPart struct {
	key    uint32
	model  string
	tokens int64
	space  int64     // tokens that it, and those like it of other lobbies, take
	usedAt time.Time // time at which it was last sent, by this lobby or another
}

// cacheMatch is what a backend server is assumed to have cached of a prompt.
type cacheMatch struct {
	tokens int64
	oldest time.Time // time of the oldest evidence for it; zero if nothing is cached
}

// age returns the age of the oldest evidence.
func (m cacheMatch) age(now time.Time) time.Duration {
	if m.oldest.IsZero() {
		return 0
	}
	return now.Sub(m.oldest)
}

// uncached returns the number of tokens of a prompt that need prefill, at least one.
func (m cacheMatch) uncached(prompt int64) int64 { return max(prompt-m.tokens, 1) }

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), parts: make(map[uint32]*list.Element)}
}

// match returns what is cached of a prompt: the parts before the first one that is not.
func (c *prefixCache) match(parts []promptPart) cacheMatch {
	var m cacheMatch
	for _, part := range parts {
		e, ok := c.parts[part.key]
		if !ok {
			break
		}
		cached := e.Value.(*cachedPart)
		m.tokens += part.tokens
		if m.oldest.IsZero() || cached.usedAt.Before(m.oldest) {
			m.oldest = cached.usedAt
		}
	}
	return m
}

// add records the parts of a prompt that is sent, and returns those that have been sent
// before within hotPeriod. The last part belongs to the request or its session, and the
// other lobbies are assumed to send as many of those that this one doesn't see: it takes
// its tokens once for each lobby, unless it is sent again. The parts before it are shared
// by many requests.
func (c *prefixCache) add(now time.Time, model string, parts []promptPart, lobbies int) (hot []promptPart) {
	for i, part := range parts {
		cached, known := c.use(now, model, part)
		if known && now.Sub(cached.usedAt) <= hotPeriod {
			hot = append(hot, part)
		}
		space := part.tokens
		if last := i == len(parts)-1; last && !known {
			space *= int64(max(lobbies, 1))
		}
		c.resize(cached, space)
		cached.tokens, cached.usedAt = part.tokens, now
	}
	return hot
}

// learn records a part that another lobby has sent several times.
func (c *prefixCache) learn(now time.Time, model string, part promptPart) {
	cached, _ := c.use(now, model, part)
	c.resize(cached, part.tokens)
	cached.tokens, cached.usedAt = part.tokens, now
}

// use returns the entry of a part, a new one if there was none, as the most recent one.
func (c *prefixCache) use(now time.Time, model string, part promptPart) (cached *cachedPart, known bool) {
	if e, ok := c.parts[part.key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*cachedPart), true
	}
	cached = &cachedPart{key: part.key, model: model, usedAt: now}
	c.parts[part.key] = c.order.PushFront(cached)
	return cached, false
}

func (c *prefixCache) resize(cached *cachedPart, space int64) {
	c.space += space - cached.space
	cached.space = space
}

// evict drops the least recently used parts until the others fit the capacity in tokens,
// zero if that is not known.
func (c *prefixCache) evict(capacity int64) {
	for c.order.Len() > maxCachedParts || capacity > 0 && c.space > capacity && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}

// evicted returns the number of tokens of parts that a prompt with the given tokens
// would evict and that other requests are likely to need again.
func (c *prefixCache) evicted(capacity, tokens int64) int64 {
	overflow := c.space + tokens - capacity
	if capacity == 0 || overflow <= 0 {
		return 0
	}
	lost := int64(0)
	e := c.order.Back()
	for range maxEvictionWalk {
		if e == nil || overflow <= 0 {
			break
		}
		part := e.Value.(*cachedPart)
		overflow -= part.space
		if part.space == part.tokens {
			lost += part.tokens
		}
		e = e.Prev()
	}
	return lost
}

// forgetModel drops the parts of a model that has been unloaded.
func (c *prefixCache) forgetModel(model string) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*cachedPart).model == model {
			c.remove(e)
		}
		e = next
	}
}

func (c *prefixCache) remove(e *list.Element) {
	cached := c.order.Remove(e).(*cachedPart)
	c.space -= cached.space
	delete(c.parts, cached.key)
}

// cacheCapacity returns the tokens of an engine's memory that are left for cached parts
// while a number of requests run that need the given tokens each, beyond the parts of
// their prompts. It returns zero if the memory is not known.
func cacheCapacity(memory int64, running int, each float64) int64 {
	if memory <= 0 {
		return 0
	}
	left := float64(memory) - float64(running)*each
	return max(int64(left), int64(minCacheShare*float64(memory)), 1)
}

// footprint is the average number of tokens that a running request needs beyond the parts
// of its prompt: the rest of the prompt, and half of its output, since a running request
// has written half of it on average.
type footprint struct{ tokens float64 }

// footprintWeight is the weight of one request in the average.
const footprintWeight = 0.05

// sent adds a request to the average.
func (f *footprint) sent(request *httpmeta.Request, parts []promptPart) {
	rest := request.PromptTokens()
	for _, part := range parts {
		rest -= part.tokens
	}
	needed := float64(max(rest, 0)) + float64(max(request.MaxOutputTokens(), 0))/2
	f.tokens += (needed - f.tokens) * footprintWeight
}

// cacheTokens returns the tokens that the running requests and the cached parts of a
// backend server share, zero if that is not known.
func (c *Core) cacheTokens(s *server) int64 {
	if c.configuration == nil {
		return 0
	}
	service, _ := c.configuration.Service(s.backend.Service())
	engine, _ := service.Engine()
	return engine.CacheTokens
}

// cacheCapacity returns the tokens that a backend server has left for cached parts, zero
// if that is not known.
func (c *Core) cacheCapacity(s *server) int64 {
	return cacheCapacity(s.cacheTokens, s.open+s.peerOpen, s.footprint.tokens)
}

// recordPrompt records that a prompt is sent to a backend server.
func (c *Core) recordPrompt(now time.Time, s *server, req *openRequest) {
	s.footprint.sent(req.request, req.parts)
	hot := s.cache.add(now, req.request.Model(), req.parts, c.lobbyCount)
	c.hot.add(s.backend, req.request.Model(), hot)
	s.cache.evict(c.cacheCapacity(s))
}

// forgetUnloaded drops the cached parts of the models that a backend server has unloaded
// since its last entry in the list.
func (s *server) forgetUnloaded(next func(model string) bool) {
	for _, model := range s.backend.Models() {
		if !next(model) {
			s.cache.forgetModel(model)
		}
	}
}
