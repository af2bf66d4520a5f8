package router

import (
	"slices"

	"sesamewell.example/commons/notice"
)

// Closed names all sides that get no new work.
type ClosedSides struct {
	sides map[string]struct{}
}

// NewClosed returns the message.
func NewClosedSides(sides []string) ClosedSides {
	closed := ClosedSides{sides: make(map[string]struct{}, len(sides))}
	for _, side := range sides {
		closed.sides[side] = struct{}{}
	}
	return closed
}

func (ClosedSides) routerMessage() {}

// has reports whether a side gets no new work.
func (c ClosedSides) has(side string) bool {
	_, ok := c.sides[side]
	return ok
}

// Evidence is what a message of the lines tells about the life of a side.
type Liveness struct {
	side        string
	incarnation string
	leaving     bool
}

// Side returns the side's name.
func (e Liveness) Side() string { return e.side }

// Incarnation returns the incarnation that answered, or "" when none did.
func (e Liveness) Incarnation() string { return e.incarnation }

// Leaving reports whether the side said that it takes no new work.
func (e Liveness) Leaving() bool { return e.leaving }

// EvidenceOf returns what a message tells about the life of a side, if it does.
func LivenessOf(message Message) (Liveness, bool) {
	switch m := message.(type) {
	case SubmitReply:
		leaving := slices.ContainsFunc(m.receipts.Receipts(), func(r notice.Receipt) bool { return r.Code() == notice.CodeLeaving })
		return Liveness{side: m.side, incarnation: m.receipts.Side(), leaving: leaving}, true
	case ReadReply:
		return Liveness{side: m.side, incarnation: m.pages.Side(), leaving: m.pages.Leaving()}, true
	case ProbeReply:
		return Liveness{side: m.side, incarnation: m.report.Side(), leaving: m.report.Leaving()}, true
	case SubmitFailed:
		return Liveness{side: m.side}, true
	case ProbeFailed:
		return Liveness{side: m.side}, true
	case SideUnreachable:
		return Liveness{side: m.side}, true
	}
	return Liveness{}, false
}
