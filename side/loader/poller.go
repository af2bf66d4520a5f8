package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/ring"
)

// ListPollerConfig holds the construction parameters of a ListPoller.
type ListPollerConfig struct {
	Address string        // IP:port of the platform's list of instances
	Period  time.Duration // time between two polls
	Timeout time.Duration // longest time of one poll
	Inbox   *ring.Ring    // inbox of the loader
	Log     *logrus.Entry
}

// ListPoller polls the platform's list of instances and passes it to the loader.
type ListPoller struct {
	config ListPollerConfig
	client *fasthttp.HostClient
}

// NewListPoller returns a poller for the list at config.Address.
func NewListPoller(config ListPollerConfig) *ListPoller {
	return &ListPoller{config: config, client: &fasthttp.HostClient{Addr: config.Address, Dial: httpclient.Dial, MaxConns: 1, MaxResponseBodySize: httpclient.DefaultMaxBody, NoDefaultUserAgentHeader: true}}
}

// String returns the thread's name, which supervision events carry.
func (*ListPoller) String() string { return "lister" }

// Serve polls the list until ctx ends or the loader's inbox stays full.
func (p *ListPoller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(p.config.Period)
	defer ticker.Stop()
	for {
		if names, err := p.fetch(); err != nil {
			p.config.Log.WithField("event", "list").WithError(err).Debug("failed to read the platform's list of instances")
		} else if err := p.config.Inbox.PutWithin(ctx, NewInstancesListed(names), putTimeout); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetch returns the names of all instances on the list.
func (p *ListPoller) fetch() ([]string, error) {
	_, body, err := p.client.GetTimeout(nil, "http://"+p.config.Address+"/", p.config.Timeout)
	if err != nil {
		return nil, err
	}
	var entries []struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
	}
	return names, nil
}
