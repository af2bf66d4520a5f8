package scheduler

import (
	"container/list"

	"sesamewell.example/commons/httpmeta"
)

// prefixCache estimates which prompt parts a backend server has cached: the
// ones most recently sent to it, with LRU eviction.
type prefixCache struct {
	order   *list.List // of string keys, most recent first
	entries map[string]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), entries: make(map[string]*list.Element)}
}

// uncached returns the number of prompt tokens that need prefill: those from
// the first uncached part on, at least one.
func (c *prefixCache) uncached(request *httpmeta.Request) int64 {
	left := request.PromptTokens()
	for _, part := range request.Parts() {
		if _, ok := c.entries[partKey(request, part)]; !ok {
			break
		}
		left -= part.Tokens()
	}
	return max(left, 1)
}

// add records the parts of a prompt that is sent.
func (c *prefixCache) add(request *httpmeta.Request) {
	for _, part := range request.Parts() {
		key := partKey(request, part)
		if e, ok := c.entries[key]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[key] = c.order.PushFront(key)
	}
	for c.order.Len() > maxCachedParts {
		last := c.order.Back()
		delete(c.entries, c.order.Remove(last).(string))
	}
}

// partKey returns the cache key of a part. Cached parts are only valid for the
// same model and adapter.
func partKey(request *httpmeta.Request, part httpmeta.Part) string {
	return request.Model() + "/" + request.Adapter() + "/" + part.ID()
}
