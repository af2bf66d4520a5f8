package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// shareRecordPeriod is the shortest time between two records that the share of a service
// is used.
const shareRecordPeriod = 5 * time.Second

// QueueLoad is the load of the queued requests of one priority.
type QueueLoad struct {
	priority int
	late     bool
	requests int
	work     float64
}

// Priority returns the priority of the requests, zero for late ones.
func (l QueueLoad) Priority() int { return l.priority }

// Late reports whether the requests can no longer meet their objectives.
func (l QueueLoad) Late() bool { return l.late }

// Requests returns the number of requests.
func (l QueueLoad) Requests() int { return l.requests }

// Work returns the expected work of the requests.
func (l QueueLoad) Work() float64 { return l.work }

// QueueLoads returns the load of the queued requests by priority, late ones apart.
func (c *Core) QueueLoads() []QueueLoad {
	type class struct {
		priority int
		late     bool
	}
	loads := make(map[class]QueueLoad)
	for _, q := range c.waiting {
		q.Priorities(func(priority int, late bool, requests int, work float64) {
			key := class{priority: priority, late: late}
			l := loads[key]
			loads[key] = QueueLoad{priority: priority, late: late, requests: l.requests + requests, work: l.work + work}
		})
	}
	list := make([]QueueLoad, 0, len(loads))
	for _, l := range loads {
		list = append(list, l)
	}
	return list
}

// ShareLoad is the use of this lobby's share of a service without an engine.
type ShareLoad struct {
	service string
	open    int
	limit   float64
	slots   float64
	peers   float64
}

// Service returns the name of the service.
func (l ShareLoad) Service() string { return l.service }

// Open returns the number of requests of this lobby that are open.
func (l ShareLoad) Open() int { return l.open }

// Limit returns the number of requests from which on others wait.
func (l ShareLoad) Limit() float64 { return l.limit }

// Slots returns the number of slots of the usable backend servers.
func (l ShareLoad) Slots() float64 { return l.slots }

// Peers returns the average number of requests of the other lobbies that are open.
func (l ShareLoad) Peers() float64 { return l.peers }

// ShareLoads returns the use of this lobby's shares, sorted by service.
func (c *Core) ShareLoads() []ShareLoad {
	list := make([]ShareLoad, 0, len(c.shares))
	for service := range c.shares {
		list = append(list, c.shareLoad(service))
	}
	slices.SortFunc(list, func(a, b ShareLoad) int { return cmp.Compare(a.service, b.service) })
	return list
}

func (c *Core) shareLoad(service string) ShareLoad {
	h := c.shareOf(c.now, service)
	return ShareLoad{service: service, open: h.own, limit: h.limit(c.lobbyCount), slots: h.slots, peers: h.peers}
}

// recordShares records the services at which requests wait for this lobby's share.
func (c *Core) recordShares(now time.Time) {
	waiting := make(map[string]int)
	for key, q := range c.waiting {
		if _, ok := c.shares[key.service]; ok {
			waiting[key.service] += q.Len()
		}
	}
	for service, n := range waiting {
		h := c.shareOf(now, service)
		if h.used(c.lobbyCount) && now.Sub(h.recordedAt) >= shareRecordPeriod {
			h.recordedAt = now
			c.emit(RecordShare{load: c.shareLoad(service), waiting: n})
		}
	}
}

// queueGauges export the load of the queue. Those of priorities without a request are
// zero.
type queueGauges struct{ used map[string]bool }

func (g *queueGauges) update(loads []QueueLoad) {
	for labels := range g.used {
		g.set(labels, 0, 0)
	}
	g.used = make(map[string]bool, len(loads))
	for _, l := range loads {
		labels := fmt.Sprintf("{priority=\"%d\",late=\"%t\"}", l.Priority(), l.Late())
		g.used[labels] = true
		g.set(labels, float64(l.Requests()), l.Work())
	}
}

func (g *queueGauges) set(labels string, requests, work float64) {
	metrics.GetOrCreateGauge("sesamewell_queued_requests"+labels, nil).Set(requests)
	metrics.GetOrCreateGauge("sesamewell_queued_work"+labels, nil).Set(work)
}

const (
	openGauge  = "sesamewell_share_open"
	limitGauge = "sesamewell_share_limit"
)

// shareGauges export the use of this lobby's shares.
type shareGauges struct{ used map[string]bool }

// update sets the gauges of the given shares and removes all others.
func (g *shareGauges) update(loads []ShareLoad) {
	used := make(map[string]bool, len(loads))
	for _, l := range loads {
		labels := fmt.Sprintf("{service=%q}", l.Service())
		used[labels] = true
		metrics.GetOrCreateGauge(openGauge+labels, nil).Set(float64(l.Open()))
		metrics.GetOrCreateGauge(limitGauge+labels, nil).Set(l.Limit())
	}
	for labels := range g.used {
		if !used[labels] {
			metrics.UnregisterMetric(openGauge + labels)
			metrics.UnregisterMetric(limitGauge + labels)
		}
	}
	g.used = used
}
