package placement

import (
	"context"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// handOver is the longest wait for room in the planner's ring.
const putTimeout = 10 * time.Second

// Line calls one other process.
type Conn interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// caller is responsible for one call at a time.
type caller struct {
	config  Config
	calls   *ring.Ring
	replies *ring.Ring
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
			if err := c.replies.PutWithin(ctx, message, putTimeout); err != nil {
				return err
			}
		}
	}
}

func (c *caller) call(call any) Message {
	switch ask := call.(type) {
	case PollSide:
		var stock notice.Stock
		if err := c.config.Conn(ask.Link()).Call(notice.StockMethod, notice.StockAsk{}, &stock, c.config.Timeout); err != nil {
			return NewStockUnavailable(ask.Backend())
		}
		return NewStockReported(ask.Backend(), stock)
	case PollPlanner:
		var pulse notice.Pulse
		if err := c.config.Conn(ask.Link()).Call(notice.PulseMethod, notice.StockAsk{}, &pulse, c.config.Timeout); err != nil {
			return nil
		}
		return NewPulseReceived(pulse)
	}
	return nil
}
