package router

import (
	"slices"

	"sesamewell.example/commons/protocol"
)

// ClosedSides is the message that replaces the set of sides that must not get
// new attempts.
type ClosedSides struct {
	sides map[string]struct{}
}

// NewClosedSides returns the message.
func NewClosedSides(sides []string) ClosedSides {
	closed := ClosedSides{sides: make(map[string]struct{}, len(sides))}
	for _, side := range sides {
		closed.sides[side] = struct{}{}
	}
	return closed
}

func (ClosedSides) routerMessage() {}

// has reports whether the side is closed.
func (c ClosedSides) has(side string) bool {
	_, ok := c.sides[side]
	return ok
}

// Liveness is what a message from the transport shows about the state of a side.
type Liveness struct {
	side        string
	incarnation string
	draining    bool
}

// Side returns the side's name.
func (l Liveness) Side() string { return l.side }

// Incarnation returns the incarnation that replied, or "" when the side did not
// reply.
func (l Liveness) Incarnation() string { return l.incarnation }

// Draining reports whether the side announced that it takes no new attempts.
func (l Liveness) Draining() bool { return l.draining }

// LivenessOf returns what a message shows about the state of a side. The second
// result is false for messages that do not come from a side.
func LivenessOf(message Message) (Liveness, bool) {
	switch m := message.(type) {
	case SubmitReply:
		draining := slices.ContainsFunc(m.receipts.Receipts(), func(r protocol.Receipt) bool { return r.Code() == protocol.CodeDraining })
		return Liveness{side: m.side, incarnation: m.receipts.Side(), draining: draining}, true
	case ReadReply:
		return Liveness{side: m.side, incarnation: m.pages.Side(), draining: m.pages.Draining()}, true
	case ProbeReply:
		return Liveness{side: m.side, incarnation: m.report.Side(), draining: m.report.Draining()}, true
	case SubmitFailed:
		return Liveness{side: m.side}, true
	case ProbeFailed:
		return Liveness{side: m.side}, true
	case SideUnreachable:
		return Liveness{side: m.side}, true
	}
	return Liveness{}, false
}
