package router

import (
	"time"

	"sesamewell.example/commons/httpserver"
)

// Tenant returns the tenant that the request belongs to.
func (r Request) Tenant() string { return r.config.Tenant }

// Route returns the name of the route that the request matched.
func (r Request) Route() string { return r.config.Route }

// IdempotencyKey returns the caller's Idempotency-Key, or "" when the request has
// none or needs none.
func (r Request) IdempotencyKey() string { return r.config.IdempotencyKey }

// Method returns the HTTP method.
func (r Request) Method() string { return r.config.Method }

// Path returns the request path with its query.
func (r Request) Path() string { return r.config.Path }

// Model returns the model that must be resident on the backend server, or "" for
// a plain service.
func (r Request) Model() string { return r.config.Model }

// Service returns the name of the plain service, or "" for a model.
func (r Request) Service() string { return r.config.Service }

// Body returns the request body. The caller must not modify it.
func (r Request) Body() []byte { return r.config.Body }

// Deadline returns the time at which the request expires.
func (r Request) Deadline() time.Time { return r.config.Deadline }

// WithID returns a copy of the request with another ID.
func (r Request) WithID(id string) Request {
	r.config.ID = id
	return r
}

// RequestID returns the ID of the abandoned request.
func (a Abandoned) RequestID() string { return a.requestID }

// DeliverConfig holds the construction parameters of a Deliver.
type DeliverConfig struct {
	RequestID   string
	Status      int
	ContentType string
	Data        []byte
	Complete    bool
}

// NewDeliver returns the action.
func NewDeliver(config DeliverConfig) Deliver {
	return Deliver{
		requestID:   config.RequestID,
		status:      config.Status,
		contentType: config.ContentType,
		data:        config.Data,
		complete:    config.Complete,
	}
}

// WithRequestID returns a copy of the action for another request.
func (d Deliver) WithRequestID(id string) Deliver {
	d.requestID = id
	return d
}

// NewRefuse returns the action.
func NewRefuse(requestID string, refusal *httpserver.Refusal, retryAfter time.Duration) Refuse {
	return Refuse{requestID: requestID, refusal: refusal, retryAfter: retryAfter}
}

// WithRequestID returns a copy of the action for another request.
func (r Refuse) WithRequestID(id string) Refuse {
	r.requestID = id
	return r
}
