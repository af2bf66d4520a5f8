// Package deployment defines the types that describe a deployment on the
// platform: the operator's configuration (routes by host and path, services with
// their engines, tenants with their keys and quotas, and limits on requests), the
// backend servers, and the state of their model engines.
package deployment

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// LimitsConfig holds the construction parameters of Limits.
type LimitsConfig struct {
	MaxHeader   int64         // bytes
	MaxBody     int64         // bytes
	ReadTimeout time.Duration // time that a caller may take to send a request
	IdleTimeout time.Duration // time for which an idle connection is kept
}

// Limits are the limits on the size and duration of callers' requests.
type Limits struct{ config LimitsConfig }

// NewLimits returns Limits with the given parameters.
func NewLimits(config LimitsConfig) Limits { return Limits{config: config} }

// MaxHeader returns the maximum size of a request's head in bytes.
func (l Limits) MaxHeader() int64 { return l.config.MaxHeader }

// MaxBody returns the maximum size of a request's body in bytes.
func (l Limits) MaxBody() int64 { return l.config.MaxBody }

// ReadTimeout returns the time that a caller may take to send a request.
func (l Limits) ReadTimeout() time.Duration { return l.config.ReadTimeout }

// IdleTimeout returns the time for which an idle connection is kept.
func (l Limits) IdleTimeout() time.Duration { return l.config.IdleTimeout }

// Config holds the construction parameters of a Configuration.
type Config struct {
	Version  int64
	Routes   []RouteConfig
	Services []ServiceConfig
	Tenants  []TenantConfig
	Limits   LimitsConfig
}

// Configuration is one complete version of the operator's configuration. It is
// immutable.
type Configuration struct {
	version  int64
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	tenants  map[string]Tenant
	keys     map[string]string // tenant's name by API key
	limits   Limits
	config   Config
}

// NewConfiguration returns a Configuration with the given parameters.
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

// Config returns the parameters that the Configuration was made from.
func (c *Configuration) Config() Config { return c.config }

// Version returns the version number that the operator gave the configuration.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Configuration) Limits() Limits { return c.limits }

// RouteFor returns the route of the host with the longest prefix of the path, and
// whether there is one.
func (c *Configuration) RouteFor(host, path string) (Route, bool) {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.config.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// ServiceNames returns the names of all services, sorted.
func (c *Configuration) ServiceNames() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// HasTenants reports whether there are tenants. Without tenants no request needs
// an API key.
func (c *Configuration) HasTenants() bool { return len(c.tenants) > 0 }

// Tenant returns the tenant with the given name.
func (c *Configuration) Tenant(name string) (Tenant, bool) {
	tenant, ok := c.tenants[name]
	return tenant, ok
}

// TenantByKey returns the tenant to which an API key belongs, and whether there
// is one.
func (c *Configuration) TenantByKey(key string) (Tenant, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Tenant{}, false
	}
	return c.Tenant(name)
}
