package membership

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
)

// Named limits of the threads beside the core.
const (
	probeTimeout = time.Second // longest wait for the answer to a probe
	listPeriod   = time.Second // time between two reads of the platform's list
	listTimeout  = 2 * time.Second
)

// prober is responsible for probing closed sides, one after the other.
type prober struct {
	config     Config
	probes     *ring.Ring
	inbox      *ring.Ring
	readNumber *atomic.Uint64
	conns      *porter.Lines
}

// String returns the thread's name.
func (*prober) String() string { return "roster prober" }

// Serve probes until ctx ends.
func (p *prober) Serve(ctx context.Context) error {
	for {
		item, err := p.probes.Take(ctx)
		if err != nil {
			return err
		}
		if probe, ok := item.(Probe); ok {
			// What finds the ring full is found by a later probe.
			_ = p.inbox.Put(p.probe(probe))
		}
	}
}

// probe reads nothing from a side, which tells its incarnation.
func (p *prober) probe(probe Probe) Message {
	query := notice.NewRead(notice.ReadConfig{Entry: p.config.Incarnation + " probe", Number: p.readNumber.Add(1)})
	var pages notice.Pages
	if err := p.conns.To(probe.address).Call(notice.ReadMethod, query, &pages, probeTimeout); err != nil {
		return NewSideUnreachable(probe.side)
	}
	return NewSideAnswered(probe.side, pages.Side(), pages.Leaving())
}

// lister is responsible for reading the platform's list.
type lister struct {
	config Config
	inbox  *ring.Ring
}

// String returns the thread's name.
func (*lister) String() string { return "roster lister" }

// Serve reads the list until ctx ends.
func (l *lister) Serve(ctx context.Context) error {
	client := &fasthttp.HostClient{Addr: l.config.ListAddress, MaxConns: 1, NoDefaultUserAgentHeader: true}
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		states, err := l.read(client)
		if err != nil {
			l.config.Log.WithField("event", "list_read").WithError(err).Warn("list of instances cannot be read")
		} else {
			// The next read brings what finds the ring full.
			_ = l.inbox.Put(NewListUpdated(states))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *lister) read(client *fasthttp.HostClient) (map[string]State, error) {
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
	var lines []struct {
		Name  string `json:"name"`
		State State  `json:"state"`
	}
	if err := json.Unmarshal(response.Body(), &lines); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	states := make(map[string]State, len(lines))
	for _, line := range lines {
		states[line.Name] = line.State
	}
	return states, nil
}
