package quarantine

import "sesamewell.example/commons/httpmeta"

// Kind says what a suspect is.
type Kind uint8

// Kinds of suspects. Their values are sent to other lobbies.
const (
	RequestKind Kind = 1 // a request with its copies; the ID is its fingerprint
	PartKind    Kind = 2 // a part of prompts
)

const unknownKind = "unknown"

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case RequestKind:
		return "request"
	case PartKind:
		return "part"
	default:
		return unknownKind
	}
}

// requestRank is the rank of requests: no suspect is more specific.
const requestRank = 1 << 16

// Suspect is what may have crashed a backend server.
type Suspect struct {
	kind Kind
	id   string
}

// Kind returns what the suspect is.
func (s Suspect) Kind() Kind { return s.kind }

// ID returns the suspect's identifier, which differs from those of other suspects of
// its kind. It may contain any bytes.
func (s Suspect) ID() string { return s.id }

// partSuspects returns the suspects that stand for the parts of a prompt, by their
// order. The last part belongs to the request alone.
func partSuspects(request *httpmeta.Request) []Suspect {
	parts := request.Parts()
	suspects := make([]Suspect, 0, len(parts))
	for _, part := range parts[:max(len(parts)-1, 0)] {
		suspects = append(suspects, Suspect{kind: PartKind, id: part.ID()})
	}
	return suspects
}

// suspectsOf returns all suspects that a request stands for.
func suspectsOf(request *httpmeta.Request) []Suspect {
	return append(partSuspects(request), requestSuspect(request))
}

// requestSuspect returns the suspect that stands for a request and its copies.
func requestSuspect(request *httpmeta.Request) Suspect {
	return Suspect{kind: RequestKind, id: request.Fingerprint().String()}
}
