package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/ring"
)

// ListerConfig holds the construction parameters of a Lister.
type ListPollerConfig struct {
	Address string        // IP:port of the platform's list of instances
	Period  time.Duration // time between two looks
	Timeout time.Duration // limit on one look
	Inbox   *ring.Ring
	Log     *logrus.Entry
}

// Lister is responsible for looking at the platform's list of instances.
type ListPoller struct {
	config ListPollerConfig
	client *fasthttp.HostClient
}

// NewLister returns a lister.
func NewListPoller(config ListPollerConfig) *ListPoller {
	return &ListPoller{config: config, client: &fasthttp.HostClient{Addr: config.Address, MaxConns: 1, NoDefaultUserAgentHeader: true}}
}

// String returns the duty's name.
func (*ListPoller) String() string { return "lister" }

// Serve looks until ctx ends.
func (l *ListPoller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.config.Period)
	defer ticker.Stop()
	for {
		if names, err := l.fetch(); err != nil {
			l.config.Log.WithField("event", "list").WithError(err).Debug("list of instances cannot be read")
		} else if err := l.config.Inbox.PutWithin(ctx, NewInstancesListed(names), putTimeout); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// look returns the names of all instances on the list.
func (l *ListPoller) fetch() ([]string, error) {
	_, body, err := l.client.GetTimeout(nil, "http://"+l.config.Address+"/", l.config.Timeout)
	if err != nil {
		return nil, err
	}
	var lines []struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &lines); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(lines))
	for _, line := range lines {
		names = append(names, line.Name)
	}
	return names, nil
}
