package quarantine

import (
	"iter"

	"sesamewell.example/commons/httpmeta"
)

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

// leadingParts returns the parts of a prompt that other requests may share: all but the
// last, which belongs to the request alone.
func leadingParts(request *httpmeta.Request) []httpmeta.Part {
	parts := request.Parts()
	return parts[:max(len(parts)-1, 0)]
}

// suspectsOf returns all suspects that a request stands for: the parts of its prompt by
// their order, and itself.
func suspectsOf(request *httpmeta.Request) iter.Seq[Suspect] {
	return func(yield func(Suspect) bool) {
		for _, part := range leadingParts(request) {
			if !yield(partSuspect(part)) {
				return
			}
		}
		yield(requestSuspect(request))
	}
}

func partSuspect(part httpmeta.Part) Suspect { return Suspect{kind: PartKind, id: part.ID()} }

// requestSuspect returns the suspect that stands for a request and its copies.
func requestSuspect(request *httpmeta.Request) Suspect {
	return Suspect{kind: RequestKind, id: request.Fingerprint().String()}
}
