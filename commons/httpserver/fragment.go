package httpserver

import "github.com/sirupsen/logrus"

// Fragment is the part of a request that has arrived, in bytes. Each byte of it has been
// taken by the reader of the request or is unread.
type Fragment struct {
	wire   int64 // that have arrived on the connection
	taken  int64 // that the reader has taken, with the head and the framing of the body
	body   int64 // of the body that the reader has taken
	unread int64 // that wait to be read
	id     string
}

// FragmentConfig holds the construction parameters of a Fragment.
type FragmentConfig struct {
	Wire   int64          // bytes that have arrived on the connection since the first byte of the request
	Reader *RequestReader // nil before the first byte
	Unread int            // bytes that wait to be read
	ID     string         // of the request, empty if unknown
}

// NewFragment returns the part of a request that has arrived.
func NewFragment(config FragmentConfig) Fragment {
	f := Fragment{wire: config.Wire, unread: int64(config.Unread), id: config.ID}
	if config.Reader != nil {
		f.taken, f.body = config.Reader.Taken(), config.Reader.Received()
	}
	return f
}

// Body returns the number of bytes of the body that the reader has taken.
func (f Fragment) Body() int64 { return f.body }

// Fields returns the fields of a log line.
func (f Fragment) Fields() logrus.Fields {
	fields := logrus.Fields{"wire": f.wire, "taken": f.taken, "body": f.body, "unread": f.unread}
	if f.id != "" {
		fields["request"] = f.id
	}
	return fields
}
