package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// homes is the set of regions in which a request may run. The zero value stands for any
// region and any failure domain, whether it has a region or not.
type homes struct {
	restricted bool
	regions    string // each between two homeSeparators, sorted, so that the sets can be compared
}

// homeSeparator separates regions. No region contains it, since a settings file is split
// into lines.
const homeSeparator = "\n"

// homeKeySeparator separates the parts of the key of a demand.
const homeKeySeparator = "\x00"

// newHomes returns the regions that both the route and the tenant of a request allow.
func newHomes(route deployment.Route, tenant deployment.Tenant) homes {
	return homes{}.and(route.Homes()).and(tenant.Homes())
}

// and returns the regions that are also in a list, which restricts nothing if it is empty.
func (h homes) and(regions []string) homes {
	if len(regions) == 0 {
		return h
	}
	next := homes{restricted: true}
	for _, region := range slices.Compact(slices.Sorted(slices.Values(regions))) {
		if h.contains(region) && !strings.Contains(region, homeSeparator) {
			next.regions += homeSeparator + region + homeSeparator
		}
	}
	return next
}

// contains reports whether a request may run in a region; "" stands for no region.
func (h homes) contains(region string) bool {
	return !h.restricted || region != "" && strings.Contains(h.regions, homeSeparator+region+homeSeparator)
}

// inHome reports whether a backend server is in a region where requests may run.
func (c *Core) inHome(h homes, s *server) bool {
	return !h.restricted || h.contains(c.config.Regions[s.backend.Domain()])
}

// hasHome reports whether a request may run in any region, or a backend server of its
// service is listed in one where it may run.
func (c *Core) hasHome(req *openRequest) bool {
	if !req.homes.restricted {
		return true
	}
	return slices.ContainsFunc(c.byService[req.service], func(s *server) bool { return c.inHome(req.homes, s) })
}

// restrictOpen applies the regions of a new configuration to the open requests, whose next
// send is subject to them as well as to those that were in force at the arrival.
func (c *Core) restrictOpen(now time.Time) {
	for _, req := range c.requests {
		regions := req.homes
		if route, ok := c.configuration.RouteFor(req.request.Host(), req.request.Path()); ok {
			regions = regions.and(route.Homes())
		}
		if tenant, ok := c.configuration.Tenant(req.tenant.Name()); ok {
			regions = regions.and(tenant.Homes())
		}
		c.restrict(now, req, regions)
	}
}

// restrict sets the regions of an open request. A queued one changes to the queue of those
// that wait for the same backend servers. One that waits for a connection to a backend server
// elsewhere returns unsent, as do the others that wait there.
func (c *Core) restrict(now time.Time, req *openRequest, regions homes) {
	if regions == req.homes {
		return
	}
	_, waits := c.queued[req.number]
	c.leaveQueue(req)
	req.homes = regions
	if waits {
		c.addToQueue(now, req)
	}
	if s := req.server; s != nil && !c.inHome(regions, s) {
		c.emit(ReturnWaiting{backend: s.backend.ID()})
	}
}

// list returns the regions, sorted.
func (h homes) list() []string {
	return slices.DeleteFunc(strings.Split(h.regions, homeSeparator), func(region string) bool { return region == "" })
}

// homeKey returns the key of the demand for a request's model in its home regions and, if it waits
// for a backend server of one software version, at that; "" if it names no model or may run
// everywhere.
func (r *openRequest) homeKey() string {
	version := ""
	if r.server == nil && r.pin.set {
		version = r.pin.version
	}
	if r.request.Model() == "" || r.homes.regions == "" && version == "" {
		return ""
	}
	return strings.Join([]string{r.request.Model(), r.homes.regions, version}, homeKeySeparator)
}

// refusedAtHome counts a request that was refused for want of a backend server as demand in
// its home regions.
func (c *Core) refusedAtHome(req *openRequest) {
	if key := req.homeKey(); key != "" {
		c.homeDemand.requestRefused(key, 1/c.engineSlots(req.service))
	}
}

// updateHomeDemand updates the demand in home regions with the requests that are open or
// queued now.
func (c *Core) updateHomeDemand(span time.Duration) {
	open := make(map[string]float64)
	for _, req := range c.requests {
		if key := req.homeKey(); key != "" {
			open[key] += 1 / c.engineSlots(req.service)
		}
	}
	c.homeDemand.update(span, open)
}

// homeDemandToSend returns the demand in home regions for the planner, sorted.
func (c *Core) homeDemandToSend() []protocol.HomeDemandConfig {
	var demand []protocol.HomeDemandConfig
	for _, key := range slices.Sorted(maps.Keys(c.homeDemand.engines)) {
		parts := strings.SplitN(key, homeKeySeparator, 3)
		demand = append(demand, protocol.HomeDemandConfig{Model: parts[0], Regions: homes{regions: parts[1]}.list(), Version: parts[2], Engines: c.homeDemand.engines[key]})
	}
	return demand
}
