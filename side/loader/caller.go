package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/ring"
)

// Paths of the engine's HTTP API.
const (
	ordersPath = "/orders"
	statePath  = "/orders/state"
)

// maxState is the maximum number of bytes in an engine's answer about its state.
const maxState = 1 << 20

// putTimeout is the longest wait for room in the loader's inbox.
const putTimeout = 10 * time.Second

// FreshnessProof decides whether a fleet state may still be acted on.
type FreshnessProof interface {
	// Fresh reports whether the state with this offset is proven current at now.
	Fresh(now time.Time, stateOffset int64) bool
}

// engineCaller calls the engine from its own thread, one call at a time.
type engineCaller struct {
	config  Config
	jobs    *ring.Ring
	replies *ring.Ring // inbox of the loader
	client  *httpclient.Client
}

func newEngineCaller(config Config, replies *ring.Ring) *engineCaller {
	return &engineCaller{
		config:  config,
		jobs:    ring.New(ring.Config{Name: "orders", Capacity: config.Capacity}),
		replies: replies,
		client:  httpclient.New(httpclient.Config{Address: config.Address, MaxConns: 1, MaxBody: maxState}),
	}
}

// String returns the thread's name, which supervision events carry.
func (c *engineCaller) String() string { return "orders" }

// Serve sends orders and polls until ctx ends or the loader's inbox stays full.
func (c *engineCaller) Serve(ctx context.Context) error {
	for {
		job, err := c.jobs.Take(ctx)
		if err != nil {
			return err
		}
		switch j := job.(type) {
		case Order:
			if err := c.send(ctx, j); err != nil {
				return err
			}
		case PollState:
			if err := c.poll(ctx); err != nil {
				return err
			}
		}
	}
}

// send sends an order. If the order has expired, or the fleet state that it is
// based on is not proven fresh, it returns the order to the loader instead. It
// returns an error only if the loader's inbox does not accept the order.
func (c *engineCaller) send(ctx context.Context, order Order) error {
	log := c.config.Log.WithFields(logrus.Fields{"event": "order", "verb": order.Verb(), "name": order.Name(), "fence": order.Fence()})
	body, err := order.Encode()
	if err != nil {
		log.WithError(err).Error("failed to encode order")
		return nil
	}
	if now := time.Now(); now.After(order.Expiry()) || !c.config.Proof.Fresh(now, order.StateOffset()) {
		log.Warn("order not sent: expired or fleet state not proven fresh")
		return c.replies.PutWithin(ctx, NewOrderWithheld(order), putTimeout)
	}
	if _, err := c.call(fasthttp.MethodPost, ordersPath, body); err != nil {
		log.WithError(err).Warn("order may not have been taken")
		return nil
	}
	log.Info("order accepted by the engine")
	return nil
}

// poll requests the engine's state and passes it to the loader. It returns an error
// only if the loader's inbox does not accept the state.
func (c *engineCaller) poll(ctx context.Context) error {
	requestedAt := time.Now()
	body, err := c.call(fasthttp.MethodGet, statePath, nil)
	if err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Debug("failed to request the engine's state")
		return nil
	}
	var state EngineStateConfig
	if err := json.Unmarshal(body, &state); err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Warn("failed to decode the engine's state")
		return nil
	}
	return c.replies.PutWithin(ctx, NewStateReported(requestedAt, NewEngineState(state)), putTimeout)
}

func (c *engineCaller) call(method, path string, body []byte) ([]byte, error) {
	status, response, err := c.client.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: method, Path: path, Body: body, Timeout: c.config.Timeout}))
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Newf("%s %s: status %d", method, path, status)
	}
	return response, nil
}
