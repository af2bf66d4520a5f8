package steward

import (
	"container/list"

	"sesamewell.example/commons/visit"
)

// shelf is responsible for the prompt parts that a backend server probably still
// keeps: those that were last sent to it, the least recently used first to go.
type shelf struct {
	order *list.List // of string, most recent first
	known map[string]*list.Element
}

func newShelf() *shelf { return &shelf{order: list.New(), known: make(map[string]*list.Element)} }

// missing returns the tokens of a prompt that would have to be read: those from
// the first part on that is not kept.
func (s *shelf) missing(v *visit.Visit) int64 {
	left := v.Prompt()
	for _, part := range v.Parts() {
		if _, ok := s.known[shelfKey(v, part)]; !ok {
			break
		}
		left -= part.Tokens()
	}
	return max(left, 1)
}

// put notes the parts of a prompt that was sent.
func (s *shelf) put(v *visit.Visit) {
	for _, part := range v.Parts() {
		key := shelfKey(v, part)
		if e, ok := s.known[key]; ok {
			s.order.MoveToFront(e)
			continue
		}
		s.known[key] = s.order.PushFront(key)
	}
	for s.order.Len() > keptParts {
		last := s.order.Back()
		delete(s.known, s.order.Remove(last).(string))
	}
}

// shelfKey names a part: it is kept for one model and adapter.
func shelfKey(v *visit.Visit, part visit.Part) string {
	return v.Model() + "/" + v.Adapter() + "/" + part.ID()
}
