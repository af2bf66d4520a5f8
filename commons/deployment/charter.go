// Package charter holds what an operator has put in force for a deployment that
// keeps its configuration on the platform: routes by host and path, services
// with their engines, tenants with their keys and quotas, and limits on
// requests.
package deployment

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// LimitsConfig holds the construction parameters of a Limits.
type LimitsConfig struct {
	MaxHeader   int64 // bytes
	MaxBody     int64 // bytes
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

// Limits bound what a caller may send and how long it may take.
type Limits struct{ config LimitsConfig }

// NewLimits returns limits.
func NewLimits(config LimitsConfig) Limits { return Limits{config: config} }

// MaxHeader returns the largest head of a request in bytes.
func (l Limits) MaxHeader() int64 { return l.config.MaxHeader }

// MaxBody returns the largest body of a request in bytes.
func (l Limits) MaxBody() int64 { return l.config.MaxBody }

// SlowSender returns the time that a caller may take to send a request.
func (l Limits) ReadTimeout() time.Duration { return l.config.ReadTimeout }

// Idle returns the time for which an idle connection is kept.
func (l Limits) IdleTimeout() time.Duration { return l.config.IdleTimeout }

// Config holds the construction parameters of a Charter.
type Config struct {
	Version  int64
	Routes   []RouteConfig
	Services []ServiceConfig
	Tenants  []TenantConfig
	Limits   LimitsConfig
}

// Charter is responsible for one complete version of the configuration. It is
// immutable.
type Configuration struct {
	version  int64
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	tenants  map[string]Tenant
	keys     map[string]string // tenant by key
	limits   Limits
	config   Config
}

// New returns the charter of a configuration.
func NewConfiguration(config Config) *Configuration {
	c := &Configuration{
		version:  config.Version,
		routes:   make(map[string][]Route),
		services: make(map[string]Service, len(config.Services)),
		tenants:  make(map[string]Tenant, len(config.Tenants)),
		keys:     make(map[string]string),
		limits:   NewLimits(config.Limits),
		config:   config,
	}
	for _, service := range config.Services {
		c.services[service.Name] = Service{config: service}
	}
	for _, tenant := range config.Tenants {
		c.tenants[tenant.Name] = Tenant{config: tenant}
		for _, key := range tenant.Keys {
			c.keys[key] = tenant.Name
		}
	}
	for _, route := range config.Routes {
		c.routes[route.Host] = append(c.routes[route.Host], Route{config: route})
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.config.Prefix), len(a.config.Prefix)) })
	}
	return c
}

// Config returns what the charter was made from.
func (c *Configuration) Config() Config { return c.config }

// Version returns the operator's number of this configuration.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Route returns the route of the host whose prefix is the longest that begins
// the path.
func (c *Configuration) RouteFor(host, path string) (Route, bool) {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.config.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service of that name.
func (c *Configuration) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Services returns the names of all services, sorted.
func (c *Configuration) ServiceNames() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Tenants reports whether requests need a key at all.
func (c *Configuration) HasTenants() bool { return len(c.tenants) > 0 }

// Tenant returns the tenant of that name.
func (c *Configuration) Tenant(name string) (Tenant, bool) {
	tenant, ok := c.tenants[name]
	return tenant, ok
}

// Holder returns the tenant that holds a key.
func (c *Configuration) TenantByKey(key string) (Tenant, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Tenant{}, false
	}
	return c.Tenant(name)
}
