package porter

import "sync"

// Lines is responsible for one connection to each process that is called.
type Lines struct {
	dial func(address string) *Line

	mu   sync.Mutex
	open map[string]*Line
}

// NewLines returns lines that dial makes.
func NewLines(dial func(address string) *Line) *Lines {
	return &Lines{dial: dial, open: make(map[string]*Line)}
}

// To returns the line to an address.
func (l *Lines) To(address string) *Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] == nil {
		l.open[address] = l.dial(address)
	}
	return l.open[address]
}
