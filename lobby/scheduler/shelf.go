package scheduler

import (
	"container/list"

	"sesamewell.example/commons/visit"
)

// shelf is responsible for the prompt parts that a backend server probably still
// keeps: those that were last sent to it, the least recently used first to go.
type prefixCache struct {
	order   *list.List // of string, most recent first
	entries map[string]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), entries: make(map[string]*list.Element)}
}

// missing returns the tokens of a prompt that would have to be read: those from
// the first part on that is not kept.
func (s *prefixCache) uncached(v *visit.Visit) int64 {
	left := v.Prompt()
	for _, part := range v.Parts() {
		if _, ok := s.entries[partKey(v, part)]; !ok {
			break
		}
		left -= part.Tokens()
	}
	return max(left, 1)
}

// put notes the parts of a prompt that was sent.
func (s *prefixCache) add(v *visit.Visit) {
	for _, part := range v.Parts() {
		key := partKey(v, part)
		if e, ok := s.entries[key]; ok {
			s.order.MoveToFront(e)
			continue
		}
		s.entries[key] = s.order.PushFront(key)
	}
	for s.order.Len() > maxCachedParts {
		last := s.order.Back()
		delete(s.entries, s.order.Remove(last).(string))
	}
}

// shelfKey names a part: it is kept for one model and adapter.
func partKey(v *visit.Visit, part visit.Part) string {
	return v.Model() + "/" + v.Adapter() + "/" + part.ID()
}
