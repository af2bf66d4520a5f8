package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/messenger"
	"sesamewell.example/commons/ring"
)

// Paths of the engine's orders.
const (
	ordersPath = "/orders"
	statePath  = "/orders/state"
)

// handOver is the longest wait for room in the hall's ring.
const putTimeout = 10 * time.Second

// Proof tells whether a state of the register may still be acted on.
type FreshnessProof interface {
	Fresh(now time.Time, state int64) bool
}

// clerk is responsible for the calls to the engine: a thread of its own, which
// sends one order after the other.
type engineCaller struct {
	config  Config
	jobs    *ring.Ring
	replies *ring.Ring
	client  *messenger.Messenger
}

func newEngineCaller(config Config, hall *ring.Ring) *engineCaller {
	return &engineCaller{
		config:  config,
		jobs:    ring.New(ring.Config{Name: "orders", Capacity: config.Capacity}),
		replies: hall,
		client:  messenger.New(messenger.Config{Address: config.Address, Conns: 1}),
	}
}

// String returns the duty's name.
func (c *engineCaller) String() string { return "orders" }

// Serve carries out orders and looks until ctx ends.
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

// send sends an order unless it has become too old or the state of the register
// that it was decided from may no longer stand; then the hall is told. Its error
// means that the hall cannot be told.
func (c *engineCaller) send(ctx context.Context, order Order) error {
	log := c.config.Log.WithFields(logrus.Fields{"event": "order", "verb": order.Verb(), "name": order.Name(), "fence": order.Fence()})
	body, err := order.Encode()
	if err != nil {
		log.WithError(err).Error("order cannot be encoded")
		return nil
	}
	if now := time.Now(); now.After(order.Expiry()) || !c.config.Proof.Fresh(now, order.StateOffset()) {
		log.Warn("order withheld")
		return c.replies.PutWithin(ctx, NewOrderWithheld(order), putTimeout)
	}
	if _, err := c.call(fasthttp.MethodPost, ordersPath, body); err != nil {
		log.WithError(err).Warn("order may not have been taken")
		return nil
	}
	log.Info("order taken")
	return nil
}

// look asks for the engine's state. Its error means that the hall cannot be
// told.
func (c *engineCaller) poll(ctx context.Context) error {
	asked := time.Now()
	body, err := c.call(fasthttp.MethodGet, statePath, nil)
	if err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Debug("engine does not report")
		return nil
	}
	var state EngineStateConfig
	if err := json.Unmarshal(body, &state); err != nil {
		c.config.Log.WithField("event", "engine_state").WithError(err).Warn("engine's report cannot be read")
		return nil
	}
	return c.replies.PutWithin(ctx, NewStateReported(asked, NewEngineState(state)), putTimeout)
}

func (c *engineCaller) call(method, path string, body []byte) ([]byte, error) {
	status, answer, err := c.client.Send(messenger.NewCall(messenger.CallConfig{Method: method, Path: path, Body: body, Limit: c.config.Timeout}))
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Newf("%s %s: status %d", method, path, status)
	}
	return answer, nil
}
