package quarantine

// historySize is the number of parts in one generation of a history.
const historySize = 1024

// history remembers prompt parts on which backend servers have written answers. It
// holds two generations, of which the older one is dropped when the newer one is full.
type history struct {
	newer, older map[string]struct{}
}

func newHistory() *history {
	return &history{newer: make(map[string]struct{}), older: make(map[string]struct{})}
}

func (h *history) add(part string) {
	if len(h.newer) >= historySize {
		h.newer, h.older = h.older, h.newer
		clear(h.newer)
	}
	h.newer[part] = struct{}{}
}

func (h *history) contains(part string) bool {
	if _, ok := h.newer[part]; ok {
		return true
	}
	_, ok := h.older[part]
	return ok
}
