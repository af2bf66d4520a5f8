package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/protocol"
)

// homeDemand is the demand for a model by requests that may run in some regions only, or wait for
// a backend server of one software version.
type homeDemand struct {
	model   string
	regions []string // none if they may run in all
	version string   // empty for any
	engines float64  // number of engines that the requests keep busy
}

// totalHomeDemand returns the demand of requests with home regions, summed over all live
// lobbies and sorted by model, regions and version.
func (c *Core) totalHomeDemand(now time.Time) []homeDemand {
	sums := make(map[string]homeDemand)
	for _, p := range c.peers {
		if now.Sub(p.lastSeen) >= c.config.PeerTimeout {
			continue
		}
		for _, demand := range p.homeDemand {
			key := strings.Join(append([]string{demand.Model, demand.Version}, demand.Regions...), "\x00")
			sums[key] = homeDemand{model: demand.Model, regions: demand.Regions, version: demand.Version, engines: sums[key].engines + demand.Engines}
		}
	}
	total := make([]homeDemand, 0, len(sums))
	for _, demand := range sums {
		total = append(total, demand)
	}
	slices.SortFunc(total, func(a, b homeDemand) int {
		return cmp.Or(cmp.Compare(a.model, b.model), slices.Compare(a.regions, b.regions), cmp.Compare(a.version, b.version))
	})
	return total
}

// homeDemandOf returns the demand of requests with home regions in a lobby's digest, or
// that in the last one if the digest has no demand.
func homeDemandOf(digest protocol.Digest, last *peer) []protocol.HomeDemandConfig {
	if digest.Demand() == nil && last != nil {
		return last.homeDemand
	}
	return digest.HomeDemand()
}

// atHome reports whether a host is one where the requests may run, by its region and version.
func (d *draft) atHome(h *host, demand homeDemand) bool {
	if demand.version != "" && demand.version != h.backend.Version() {
		return false
	}
	if len(demand.regions) == 0 {
		return true
	}
	region, ok := d.regions[h.backend.Domain()]
	return ok && slices.Contains(demand.regions, region)
}

// placeAtHome places one model that is in demand by requests in whose home regions it has
// no copy.
func (d *draft) placeAtHome() bool {
	return slices.ContainsFunc(d.homes, func(demand homeDemand) bool {
		if !d.needsCopyAtHome(demand) {
			return false
		}
		return d.placeOn(demand.model, math.Inf(1), func(h *host) bool { return d.atHome(h, demand) })
	})
}

// needsCopyAtHome reports whether a model of the service is in demand by requests in whose
// home regions it has no copy.
func (d *draft) needsCopyAtHome(demand homeDemand) bool {
	if _, ok := d.memory[demand.model]; !ok || demand.engines <= minDemand {
		return false
	}
	return !slices.ContainsFunc(d.holders[demand.model], func(h *host) bool { return d.atHome(h, demand) })
}

// neededAtHome reports whether a host has the only copy of a model in the home regions of
// requests for it. Such a copy is not evicted, since it would be placed again.
func (d *draft) neededAtHome(h *host, model string) bool {
	return slices.ContainsFunc(d.homes, func(demand homeDemand) bool {
		if demand.model != model || demand.engines <= minDemand || !d.atHome(h, demand) {
			return false
		}
		return !slices.ContainsFunc(d.holders[model], func(other *host) bool { return other != h && d.atHome(other, demand) })
	})
}
