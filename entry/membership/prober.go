package membership

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

const (
	probeTimeout = time.Second     // longest wait for the answer to a probe, and for its dial
	listPeriod   = time.Second     // time between two reads of the platform's list
	listTimeout  = 2 * time.Second // limit on one read of the list
)

// prober probes closed sides, one at a time.
type prober struct {
	config     Config
	probes     *ring.Ring
	inbox      *ring.Ring
	readNumber *atomic.Uint64
	conns      *peerrpc.Clients
}

// String returns the thread's name, which supervision events carry.
func (*prober) String() string { return "roster prober" }

// Serve executes the probes of its queue until ctx ends.
func (p *prober) Serve(ctx context.Context) error {
	for {
		item, err := p.probes.Take(ctx)
		if err != nil {
			return err
		}
		if probe, ok := item.(Probe); ok {
			// If the ring is full, the result is dropped; a later probe
			// gives it again.
			_ = p.inbox.Put(p.probe(probe))
		}
	}
}

// probe sends a side an empty read, whose answer carries the side's incarnation.
// It runs under an entry name of its own, with a number that rises over all
// probers, since a side refuses a read whose number is not above the last one
// of the same entry.
func (p *prober) probe(probe Probe) Message {
	query := protocol.NewRead(protocol.ReadConfig{Entry: p.config.Incarnation + " probe", Number: p.readNumber.Add(1)})
	var pages protocol.Pages
	if err := p.conns.For(probe.address).Call(protocol.ReadMethod, query, &pages, probeTimeout); err != nil {
		return NewSideUnreachable(probe.side)
	}
	return NewSideAnswered(probe.side, pages.Side(), pages.Draining())
}

// listPoller polls the platform's list of instances.
type listPoller struct {
	config Config
	inbox  *ring.Ring
}

// String returns the thread's name, which supervision events carry.
func (*listPoller) String() string { return "roster lister" }

// Serve reads the list every listPeriod until ctx ends.
func (l *listPoller) Serve(ctx context.Context) error {
	client := &fasthttp.HostClient{Addr: l.config.ListAddress, Dial: httpclient.Dial, MaxConns: 1, MaxResponseBodySize: httpclient.DefaultMaxBody, NoDefaultUserAgentHeader: true}
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		states, err := l.fetch(client)
		if err != nil {
			l.config.Log.WithField("event", "list_read").WithError(err).Warn("failed to read the platform's list of instances")
		} else {
			// A list dropped because the ring is full is replaced by
			// the next read.
			_ = l.inbox.Put(NewListUpdated(states))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetch reads the list over HTTP and returns the state of each instance by name.
func (l *listPoller) fetch(client *fasthttp.HostClient) (map[string]State, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + l.config.ListAddress + "/")
	if err := client.DoTimeout(request, response, listTimeout); err != nil {
		return nil, errors.Wrap(err, "read list")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("read list: status %d", response.StatusCode())
	}
	var entries []struct {
		Name  string `json:"name"`
		State State  `json:"state"`
	}
	if err := json.Unmarshal(response.Body(), &entries); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	states := make(map[string]State, len(entries))
	for _, entry := range entries {
		states[entry.Name] = entry.State
	}
	return states, nil
}
