package scheduler

import (
	"maps"

	"sesamewell.example/commons/deployment"
)

// maxDeparted is the number of backend servers that are remembered to leave.
const maxDeparted = 4096

// configuredNames are the names that a configuration and the backend servers have.
type configuredNames struct {
	configuration *deployment.Configuration
	routes        map[string]bool
	models        map[string]bool // also those that a backend server holds
}

func (c *Core) configuredNames() configuredNames {
	names := configuredNames{configuration: c.configuration, routes: make(map[string]bool), models: map[string]bool{"": true}}
	config := c.configuration.Config()
	for _, route := range config.Routes {
		names.routes[route.Name] = true
	}
	for _, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			names.models[model.Name] = true
		}
	}
	for _, s := range c.servers {
		for _, model := range s.backend.Models() {
			names.models[model] = true
		}
	}
	return names
}

func (n configuredNames) hasService(name string) bool {
	_, ok := n.configuration.Service(name)
	return ok
}

func (n configuredNames) hasTenant(name string) bool {
	_, ok := n.configuration.Tenant(name)
	return ok || name == ""
}

func (n configuredNames) hasQueue(key queueKey) bool {
	return n.hasService(key.service) && n.models[key.model]
}

// forgetUnconfigured drops what is kept by names that neither the configuration nor a backend
// server has any more. Versions may add and remove them without end.
func (c *Core) forgetUnconfigured() {
	names := c.configuredNames()
	keepOnly(c.budgets, names.hasService)
	keepOnly(c.shares, names.hasService)
	keepOnly(c.runTimes, names.hasService)
	keepOnly(c.weights.services, names.hasService)
	keepOnly(c.answers.routes, func(route string) bool { return names.routes[route] })
	keepOnly(c.callerAges.full, func(key ageKey) bool { return names.routes[key.route] && names.hasTenant(key.tenant) })
	keepOnly(c.estimator.perToken, func(model string) bool { return names.models[model] })
	keepOnly(c.models, names.hasQueue)
	keepOnly(c.forecast.absences, names.hasQueue)
}

// keepOnly deletes the other keys of a map.
func keepOnly[K comparable, V any](kept map[K]V, wanted func(key K) bool) {
	maps.DeleteFunc(kept, func(key K, _ V) bool { return !wanted(key) })
}

// makeRoomForDeparted drops the backend server that started first of those that are
// remembered to leave, if there is no room for another one.
func (c *Core) makeRoomForDeparted() {
	if len(c.departed) < maxDeparted {
		return
	}
	var oldest string
	for id, start := range c.departed {
		if first, ok := c.departed[oldest]; !ok || start < first {
			oldest = id
		}
	}
	delete(c.departed, oldest)
}
