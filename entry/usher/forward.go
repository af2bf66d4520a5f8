package usher

import (
	"time"

	"sesamewell.example/commons/wicket"
)

// Tenant returns the tenant for which the request runs.
func (a Ask) Tenant() string { return a.config.Tenant }

// Route returns the name of the route that the request came by.
func (a Ask) Route() string { return a.config.Route }

// Key returns the caller's Idempotency-Key, or "" when the request has none
// or needs none.
func (a Ask) Key() string { return a.config.Key }

// Method returns the HTTP method.
func (a Ask) Method() string { return a.config.Method }

// Path returns the request path with its query.
func (a Ask) Path() string { return a.config.Path }

// Body returns the request body, which must not be changed.
func (a Ask) Body() []byte { return a.config.Body }

// Deadline returns the time at which the request's time is over.
func (a Ask) Deadline() time.Time { return a.config.Deadline }

// As returns the same request under another id.
func (a Ask) As(request string) Ask {
	a.config.Request = request
	return a
}

// Request returns the id of the request that was left.
func (l Leave) Request() string { return l.request }

// DeliverConfig holds the construction parameters of a Deliver.
type DeliverConfig struct {
	Request     string
	Status      int
	ContentType string
	Data        []byte
	Whole       bool
}

// NewDeliver returns the action.
func NewDeliver(config DeliverConfig) Deliver {
	return Deliver{
		request:     config.Request,
		status:      config.Status,
		contentType: config.ContentType,
		data:        config.Data,
		whole:       config.Whole,
	}
}

// As returns the same piece for another request.
func (d Deliver) As(request string) Deliver {
	d.request = request
	return d
}

// NewRefuse returns the action.
func NewRefuse(request string, refusal *wicket.Refusal, retryAfter time.Duration) Refuse {
	return Refuse{request: request, refusal: refusal, retryAfter: retryAfter}
}

// As returns the same refusal for another request.
func (r Refuse) As(request string) Refuse {
	r.request = request
	return r
}
