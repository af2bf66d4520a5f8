package placement

import (
	"context"
	"time"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

// putTimeout is the longest wait for room in the planner's ring.
const putTimeout = 10 * time.Second

// RPCClient calls one other process.
type RPCClient interface {
	Call(method string, args, reply any, limit time.Duration) error
}

// caller is a thread that makes the planner's calls to other processes, one at
// a time.
type caller struct {
	config  Config
	calls   *ring.Ring
	replies *ring.Ring
}

// String returns the thread's name, which supervision events carry.
func (*caller) String() string { return "pitch caller" }

// Serve makes the queued calls until ctx ends and passes their results to the
// planner's ring.
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

// call makes one call and returns the message that reports its result, or nil
// if the planner's entry did not answer.
func (c *caller) call(call any) Message {
	switch action := call.(type) {
	case PollSide:
		var stock protocol.Stock
		if err := c.config.RPCClient(action.Address()).Call(protocol.StockMethod, protocol.StockAsk{}, &stock, c.config.Timeout); err != nil {
			return NewStockUnavailable(action.Backend())
		}
		return NewStockReported(action.Backend(), stock)
	case PollPlanner:
		var pulse protocol.Pulse
		if err := c.config.RPCClient(action.Address()).Call(protocol.PulseMethod, protocol.StockAsk{}, &pulse, c.config.Timeout); err != nil {
			return nil
		}
		return NewPulseReceived(pulse)
	}
	return nil
}
