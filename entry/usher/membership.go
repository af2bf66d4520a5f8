package usher

import (
	"slices"

	"sesamewell.example/commons/notice"
)

// Closed names all sides that get no new work.
type Closed struct {
	sides map[string]struct{}
}

// NewClosed returns the message.
func NewClosed(sides []string) Closed {
	closed := Closed{sides: make(map[string]struct{}, len(sides))}
	for _, side := range sides {
		closed.sides[side] = struct{}{}
	}
	return closed
}

func (Closed) usherMessage() {}

// has reports whether a side gets no new work.
func (c Closed) has(side string) bool {
	_, ok := c.sides[side]
	return ok
}

// Evidence is what a message of the lines tells about the life of a side.
type Evidence struct {
	side        string
	incarnation string
	leaving     bool
}

// Side returns the side's name.
func (e Evidence) Side() string { return e.side }

// Incarnation returns the incarnation that answered, or "" when none did.
func (e Evidence) Incarnation() string { return e.incarnation }

// Leaving reports whether the side said that it takes no new work.
func (e Evidence) Leaving() bool { return e.leaving }

// EvidenceOf returns what a message tells about the life of a side, if it does.
func EvidenceOf(message Message) (Evidence, bool) {
	switch m := message.(type) {
	case Receipted:
		leaving := slices.ContainsFunc(m.receipts.Receipts(), func(r notice.Receipt) bool { return r.Code() == notice.CodeLeaving })
		return Evidence{side: m.side, incarnation: m.receipts.Side(), leaving: leaving}, true
	case Read:
		return Evidence{side: m.side, incarnation: m.pages.Side(), leaving: m.pages.Leaving()}, true
	case Reported:
		return Evidence{side: m.side, incarnation: m.report.Side(), leaving: m.report.Leaving()}, true
	case Unsent:
		return Evidence{side: m.side}, true
	case Unanswered:
		return Evidence{side: m.side}, true
	case Lost:
		return Evidence{side: m.side}, true
	}
	return Evidence{}, false
}
