package router

import (
	"time"

	"sesamewell.example/commons/wicket"
)

// Tenant returns the tenant for which the request runs.
func (a Request) Tenant() string { return a.config.Tenant }

// Route returns the name of the route that the request came by.
func (a Request) Route() string { return a.config.Route }

// Key returns the caller's Idempotency-Key, or "" when the request has none
// or needs none.
func (a Request) IdempotencyKey() string { return a.config.IdempotencyKey }

// Method returns the HTTP method.
func (a Request) Method() string { return a.config.Method }

// Path returns the request path with its query.
func (a Request) Path() string { return a.config.Path }

// Model returns the model that must be resident, or "" for a plain service.
func (a Request) Model() string { return a.config.Model }

// Service returns the plain service, or "" for a model.
func (a Request) Service() string { return a.config.Service }

// Body returns the request body, which must not be changed.
func (a Request) Body() []byte { return a.config.Body }

// Deadline returns the time at which the request's time is over.
func (a Request) Deadline() time.Time { return a.config.Deadline }

// As returns the same request under another id.
func (a Request) WithID(request string) Request {
	a.config.ID = request
	return a
}

// Request returns the id of the request that was left.
func (l Abandoned) RequestID() string { return l.requestID }

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

// As returns the same piece for another request.
func (d Deliver) WithRequestID(request string) Deliver {
	d.requestID = request
	return d
}

// NewRefuse returns the action.
func NewRefuse(request string, refusal *wicket.Refusal, retryAfter time.Duration) Refuse {
	return Refuse{requestID: request, refusal: refusal, retryAfter: retryAfter}
}

// As returns the same refusal for another request.
func (r Refuse) WithRequestID(request string) Refuse {
	r.requestID = request
	return r
}
