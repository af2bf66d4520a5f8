package register

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
type reader struct {
	book      *handbook.Book
	inventory *Inventory
	section   string
	known     []string
}

func (r *reader) readAll() {
	for _, section := range r.book.Sections() {
		r.readSection(section)
	}
	r.checkReferences()
}

func (r *reader) readSection(section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	r.section, r.known = section, nil
	if !namePattern.MatchString(name) {
		r.fault("", "section [%s] needs a kind and a name, such as [model trail-writer]", section)
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
		r.inventory.adapters[name] = Adapter{name: name, model: r.text("model"), memory: r.bytes("memory")}
	case "tenant":
		r.inventory.tenants[name] = Tenant{name: name, rate: r.integer("rate"), burst: r.integer("burst")}
	case "key":
		r.readKey(name)
	case "route":
		r.readRoute(name)
	case "store":
		r.readStore(name)
	default:
		r.fault("", "section kind %q is unknown; use instance, backend, model, adapter, tenant, key, route or store", kind)
		return
	}
	r.reportUnknownKeys()
}

func (r *reader) readInstance(name string) {
	instance := Instance{
		name:    name,
		role:    Role(r.choice("role", string(Entry), string(Side))),
		link:    r.address("link"),
		page:    r.parse(handbook.Address, "operator", r.optional("operator")).(string),
		domain:  r.text("domain"),
		region:  r.optional("region"),
		backend: r.optional("backend"),
	}
	if instance.role == Side && instance.backend == "" {
		r.fault("role", "instance %s is a side without a backend server; add backend = NAME", name)
	}
	r.inventory.instances[name] = instance
}

func (r *reader) readBackend(name string) {
	backend := Backend{name: name, kind: BackendKind(r.choice("kind", string(Engine), string(Service)))}
	backend.slots = int(r.integer("slots"))
	backend.draining = r.flag("draining")
	if backend.kind == Engine {
		backend.memory = r.bytes("memory")
		backend.fencing = r.flag("fencing")
		backend.static = r.flag("static")
	} else {
		backend.service = r.text("service")
	}
	r.inventory.backends[name] = backend
}

func (r *reader) readKey(name string) {
	key := Key{name: name, tenant: r.text("tenant"), hash: strings.ToLower(r.text("sha256"))}
	if key.hash != "" && !hashPattern.MatchString(key.hash) {
		r.fault("sha256", "sha256 of key %s must be 64 hexadecimal digits; print it with sesamewell key hash", name)
	}
	if other, ok := r.inventory.keys[key.hash]; ok && key.hash != "" {
		r.fault("sha256", "keys %s and %s have the same sha256; give each its own key", other.name, name)
	}
	r.inventory.keys[key.hash] = key
	r.inventory.grants[key.Grant()] = key
}

func (r *reader) readRoute(name string) {
	route := Route{
		name:       name,
		path:       strings.TrimSuffix(r.text("path"), "/"),
		service:    r.optional("service"),
		tenant:     r.optional("tenant"),
		open:       r.flag("open"),
		urgent:     r.flag("urgent"),
		idempotent: r.flagOr("idempotent", true),
		deadline:   r.duration("deadline"),
	}
	if !strings.HasPrefix(route.path, "/") {
		r.fault("path", "path %q of route %s must begin with /", route.path, name)
	}
	if route.open && route.tenant == "" {
		r.fault("open", "open route %s needs tenant = NAME, whose rate its requests use", name)
	}
	for _, other := range r.inventory.routes {
		if other.path == route.path {
			r.fault("path", "routes %s and %s have the same path %s; keep one", other.name, name, route.path)
		}
	}
	r.inventory.routes = append(r.inventory.routes, route)
}

// checkReferences reports every name that is used but not described.
func (r *reader) checkReferences() {
	i := r.inventory
	for _, instance := range i.instances {
		if _, ok := i.backends[instance.backend]; !ok && instance.backend != "" {
			r.refer("instance "+instance.name, "backend", instance.backend)
		}
	}
	for _, adapter := range i.adapters {
		if _, ok := i.models[adapter.model]; !ok && adapter.model != "" {
			r.refer("adapter "+adapter.name, "model", adapter.model)
		}
		if _, ok := i.models[adapter.name]; ok {
			r.section = "adapter " + adapter.name
			r.fault("", "adapter %s has the name of a model; rename one, since callers choose by name", adapter.name)
		}
	}
	for _, key := range i.keys {
		if _, ok := i.tenants[key.tenant]; !ok && key.tenant != "" {
			r.refer("key "+key.name, "tenant", key.tenant)
		}
	}
	for _, route := range i.routes {
		r.checkRoute(route)
	}
}

func (r *reader) checkRoute(route Route) {
	if _, ok := r.inventory.tenants[route.tenant]; !ok && route.tenant != "" {
		r.refer("route "+route.name, "tenant", route.tenant)
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
	r.fault("service", "no backend server belongs to service %q; add one with service = %s", route.service, route.service)
}

func (r *reader) refer(section, key, name string) {
	r.section = section
	r.fault(key, "%s %q is not described; add [%s %s] or mend the name", key, name, key, name)
}

func (r *reader) fault(key, format string, args ...any) {
	r.book.Report(r.book.Line(r.section, key), format, args...)
}

func (r *reader) optional(key string) string {
	r.known = append(r.known, key)
	text, _ := r.book.Value(r.section, key)
	return text
}

func (r *reader) text(key string) string {
	text := r.optional(key)
	if text == "" {
		r.fault(key, "[%s] needs %s = VALUE", r.section, key)
	}
	return text
}

func (r *reader) choice(key string, allowed ...string) string {
	text := r.text(key)
	if text != "" && !slices.Contains(allowed, text) {
		r.fault(key, "%s = %q is not allowed; use %s", key, text, strings.Join(allowed, " or "))
	}
	return text
}

func (r *reader) parse(kind handbook.Kind, key, text string) any {
	value, err := handbook.ParseValue(kind, text)
	if err != nil {
		r.fault(key, "%s = %q: %v", key, text, err)
	}
	return value
}

func (r *reader) address(key string) string {
	return r.parse(handbook.Address, key, r.text(key)).(string)
}

func (r *reader) bytes(key string) int64 {
	return r.positive(key, r.parse(handbook.Bytes, key, r.text(key)).(int64))
}

func (r *reader) optionalBytes(key string) int64 {
	return r.parse(handbook.Bytes, key, r.optional(key)).(int64)
}

func (r *reader) integer(key string) int64 {
	return r.positive(key, r.parse(handbook.Integer, key, r.text(key)).(int64))
}

func (r *reader) positive(key string, number int64) int64 {
	if text, _ := r.book.Value(r.section, key); text != "" && number <= 0 {
		r.fault(key, "%s = %q must be greater than zero", key, text)
	}
	return number
}

func (r *reader) flag(key string) bool { return r.flagOr(key, false) }

func (r *reader) flagOr(key string, missing bool) bool {
	text := r.optional(key)
	if text == "" {
		return missing
	}
	return r.parse(handbook.Switch, key, text).(bool)
}

func (r *reader) duration(key string) time.Duration {
	return time.Duration(r.parse(handbook.Duration, key, r.optional(key)).(int64))
}

func (r *reader) reportUnknownKeys() {
	for _, key := range r.book.Keys(r.section) {
		if !slices.Contains(r.known, key) {
			r.fault(key, "[%s] has no key %q; use %s", r.section, key, fmt.Sprint(strings.Join(r.known, ", ")))
		}
	}
}
