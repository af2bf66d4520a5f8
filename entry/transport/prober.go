package transport

import (
	"context"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// prober queries one side for its load. Queries that are queued together go out
// in one call.
type prober struct {
	config Config
	side   string
	conn   *peerrpc.Client
	sender *sender
	inbox  *ring.Ring
}

func newProber(config Config, side string, conn *peerrpc.Client, sender *sender) *prober {
	return &prober{
		config: config,
		side:   side,
		conn:   conn,
		sender: sender,
		inbox:  ring.New(ring.Config{Name: "probe " + side, Capacity: probeCapacity}),
	}
}

// String returns the thread's name, which supervision events carry.
func (p *prober) String() string { return "probe " + p.side }

// Serve sends the queued queries until ctx ends.
func (p *prober) Serve(ctx context.Context) error {
	items := make([]any, maxProbes)
	for {
		first, err := p.inbox.Take(ctx)
		if err != nil {
			return err
		}
		items[0] = first
		n := 1 + p.inbox.Drain(items[1:])
		if err := p.probe(ctx, items[:n]); err != nil {
			return err
		}
	}
}

// probe makes one call and passes its result to the receiver. It returns an
// error only if the receiver does not take the result.
func (p *prober) probe(ctx context.Context, items []any) error {
	config := protocol.ProbeConfig{Entry: p.config.Incarnation}
	for _, item := range items {
		if query, ok := item.(protocol.Query); ok {
			config.Queries = append(config.Queries, query)
		}
	}
	var report protocol.Report
	if err := p.conn.Call(protocol.ProbeMethod, protocol.NewProbe(config), &report, p.config.Timeout); err != nil {
		return p.config.Receiver.PutWithin(ctx, router.NewProbeFailed(p.side), putTimeout)
	}
	p.sender.initIncarnation(report.Side())
	return p.config.Receiver.PutWithin(ctx, router.NewProbeReply(p.side, report), putTimeout)
}
