package fleetstate

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/handbook"
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._/-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// reader is responsible for building an inventory from a book and reporting
// every fault on the way.
type parser struct {
	file      *handbook.Book
	inventory *Inventory
	section   string
	knownKeys []string
}

func (r *parser) readAll() {
	for _, section := range r.file.Sections() {
		r.readSection(section)
	}
	r.checkReferences()
}

func (r *parser) readSection(section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	r.section, r.knownKeys = section, nil
	if !namePattern.MatchString(name) {
		r.addFault("", "section [%s] needs a kind and a name, such as [model trail-writer]", section)
		return
	}
	switch kind {
	case "instance":
		r.readInstance(name)
	case "backend":
		r.readBackend(name)
	case "model":
		r.inventory.models[name] = Model{name: name, memory: r.bytes("memory"), cache: r.optionalBytes("cache")}
	case "adapter":
		r.inventory.adapters[name] = Adapter{name: name, model: r.required("model"), memory: r.bytes("memory")}
	case "tenant":
		r.inventory.tenants[name] = Tenant{name: name, rate: r.integer("rate"), burst: r.integer("burst")}
	case "key":
		r.readKey(name)
	case "route":
		r.readRoute(name)
	case "store":
		r.readStore(name)
	default:
		r.addFault("", "section kind %q is unknown; use instance, backend, model, adapter, tenant, key, route or store", kind)
		return
	}
	r.reportUnknownKeys()
}

func (r *parser) readInstance(name string) {
	instance := Instance{
		name:     name,
		role:     Role(r.choice("role", string(RoleEntry), string(RoleSide))),
		address:  r.address("link"),
		operator: r.parse(handbook.Address, "operator", r.optional("operator")).(string),
		domain:   r.required("domain"),
		region:   r.optional("region"),
		backend:  r.optional("backend"),
	}
	if instance.role == RoleSide && instance.backend == "" {
		r.addFault("role", "instance %s is a side without a backend server; add backend = NAME", name)
	}
	r.inventory.instances[name] = instance
}

func (r *parser) readBackend(name string) {
	backend := Backend{name: name, kind: BackendKind(r.choice("kind", string(Engine), string(Service)))}
	backend.slots = int(r.integer("slots"))
	backend.draining = r.flag("draining")
	if backend.kind == Engine {
		backend.memory = r.bytes("memory")
		backend.fencing = r.flag("fencing")
		backend.static = r.flag("static")
	} else {
		backend.service = r.required("service")
	}
	r.inventory.backends[name] = backend
}

func (r *parser) readKey(name string) {
	key := Key{name: name, tenant: r.required("tenant"), hash: strings.ToLower(r.required("sha256"))}
	if key.hash != "" && !hashPattern.MatchString(key.hash) {
		r.addFault("sha256", "sha256 of key %s must be 64 hexadecimal digits; print it with sesamewell key hash", name)
	}
	if other, ok := r.inventory.keys[key.hash]; ok && key.hash != "" {
		r.addFault("sha256", "keys %s and %s have the same sha256; give each its own key", other.name, name)
	}
	r.inventory.keys[key.hash] = key
	r.inventory.grants[key.Grant()] = key
}

func (r *parser) readRoute(name string) {
	route := Route{
		name:       name,
		path:       strings.TrimSuffix(r.required("path"), "/"),
		service:    r.optional("service"),
		tenant:     r.optional("tenant"),
		open:       r.flag("open"),
		urgent:     r.flag("urgent"),
		idempotent: r.flagOr("idempotent", true),
		deadline:   r.duration("deadline"),
	}
	if !strings.HasPrefix(route.path, "/") {
		r.addFault("path", "path %q of route %s must begin with /", route.path, name)
	}
	if route.open && route.tenant == "" {
		r.addFault("open", "open route %s needs tenant = NAME, whose rate its requests use", name)
	}
	for _, other := range r.inventory.routes {
		if other.path == route.path {
			r.addFault("path", "routes %s and %s have the same path %s; keep one", other.name, name, route.path)
		}
	}
	r.inventory.routes = append(r.inventory.routes, route)
}

// checkReferences reports every name that is used but not described.
func (r *parser) checkReferences() {
	i := r.inventory
	for _, instance := range i.instances {
		if _, ok := i.backends[instance.backend]; !ok && instance.backend != "" {
			r.addMissing("instance "+instance.name, "backend", instance.backend)
		}
	}
	for _, adapter := range i.adapters {
		if _, ok := i.models[adapter.model]; !ok && adapter.model != "" {
			r.addMissing("adapter "+adapter.name, "model", adapter.model)
		}
		if _, ok := i.models[adapter.name]; ok {
			r.section = "adapter " + adapter.name
			r.addFault("", "adapter %s has the name of a model; rename one, since callers choose by name", adapter.name)
		}
	}
	for _, key := range i.keys {
		if _, ok := i.tenants[key.tenant]; !ok && key.tenant != "" {
			r.addMissing("key "+key.name, "tenant", key.tenant)
		}
	}
	for _, route := range i.routes {
		r.checkRoute(route)
	}
}

func (r *parser) checkRoute(route Route) {
	if _, ok := r.inventory.tenants[route.tenant]; !ok && route.tenant != "" {
		r.addMissing("route "+route.name, "tenant", route.tenant)
	}
	if route.service == "" {
		return
	}
	for _, backend := range r.inventory.backends {
		if backend.service == route.service {
			return
		}
	}
	r.section = "route " + route.name
	r.addFault("service", "no backend server belongs to service %q; add one with service = %s", route.service, route.service)
}

func (r *parser) addMissing(section, key, name string) {
	r.section = section
	r.addFault(key, "%s %q is not described; add [%s %s] or mend the name", key, name, key, name)
}

func (r *parser) addFault(key, format string, args ...any) {
	r.file.Report(r.file.Line(r.section, key), format, args...)
}

func (r *parser) optional(key string) string {
	r.knownKeys = append(r.knownKeys, key)
	text, _ := r.file.Value(r.section, key)
	return text
}

func (r *parser) required(key string) string {
	text := r.optional(key)
	if text == "" {
		r.addFault(key, "[%s] needs %s = VALUE", r.section, key)
	}
	return text
}

func (r *parser) choice(key string, allowed ...string) string {
	text := r.required(key)
	if text != "" && !slices.Contains(allowed, text) {
		r.addFault(key, "%s = %q is not allowed; use %s", key, text, strings.Join(allowed, " or "))
	}
	return text
}

func (r *parser) parse(kind handbook.Kind, key, text string) any {
	value, err := handbook.ParseValue(kind, text)
	if err != nil {
		r.addFault(key, "%s = %q: %v", key, text, err)
	}
	return value
}

func (r *parser) address(key string) string {
	return r.parse(handbook.Address, key, r.required(key)).(string)
}

func (r *parser) bytes(key string) int64 {
	return r.positive(key, r.parse(handbook.Bytes, key, r.required(key)).(int64))
}

func (r *parser) optionalBytes(key string) int64 {
	return r.parse(handbook.Bytes, key, r.optional(key)).(int64)
}

func (r *parser) integer(key string) int64 {
	return r.positive(key, r.parse(handbook.Integer, key, r.required(key)).(int64))
}

func (r *parser) positive(key string, number int64) int64 {
	if text, _ := r.file.Value(r.section, key); text != "" && number <= 0 {
		r.addFault(key, "%s = %q must be greater than zero", key, text)
	}
	return number
}

func (r *parser) flag(key string) bool { return r.flagOr(key, false) }

func (r *parser) flagOr(key string, missing bool) bool {
	text := r.optional(key)
	if text == "" {
		return missing
	}
	return r.parse(handbook.Switch, key, text).(bool)
}

func (r *parser) duration(key string) time.Duration {
	return time.Duration(r.parse(handbook.Duration, key, r.optional(key)).(int64))
}

func (r *parser) reportUnknownKeys() {
	for _, key := range r.file.Keys(r.section) {
		if !slices.Contains(r.knownKeys, key) {
			r.addFault(key, "[%s] has no key %q; use %s", r.section, key, fmt.Sprint(strings.Join(r.knownKeys, ", ")))
		}
	}
}
