package quarantine

import "sesamewell.example/commons/httpmeta"

// Kind says what a suspect is.
type Kind uint8

// Kinds of suspects. Their values are sent to other lobbies.
const (
	RequestKind Kind = 1 // a request with its copies; the ID is its fingerprint
)

const unknownKind = "unknown"

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k == RequestKind {
		return "request"
	}
	return unknownKind
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

// requestSuspect returns the suspect that stands for a request and its copies.
func requestSuspect(request *httpmeta.Request) Suspect {
	return Suspect{kind: RequestKind, id: request.Fingerprint().String()}
}
