package pitch

import (
	"context"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// handOver is the longest wait for room in the planner's ring.
const handOver = 10 * time.Second

// Line calls one other process.
type Line interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// caller is responsible for one call at a time.
type caller struct {
	config Config
	calls  *ring.Ring
	pitch  *ring.Ring
}

// String returns the duty's name.
func (*caller) String() string { return "pitch caller" }

// Serve makes calls until ctx ends.
func (c *caller) Serve(ctx context.Context) error {
	for {
		call, err := c.calls.Take(ctx)
		if err != nil {
			return err
		}
		if message := c.call(call); message != nil {
			if err := c.pitch.PutWithin(ctx, message, handOver); err != nil {
				return err
			}
		}
	}
}

func (c *caller) call(call any) Message {
	switch ask := call.(type) {
	case AskSide:
		var stock notice.Stock
		if err := c.config.Line(ask.Link()).Call(notice.StockMethod, notice.StockAsk{}, &stock, c.config.Timeout); err != nil {
			return NewMissed(ask.Backend())
		}
		return NewReported(ask.Backend(), stock)
	case AskPlanner:
		var pulse notice.Pulse
		if err := c.config.Line(ask.Link()).Call(notice.PulseMethod, notice.StockAsk{}, &pulse, c.config.Timeout); err != nil {
			return nil
		}
		return NewPulsed(pulse)
	}
	return nil
}
