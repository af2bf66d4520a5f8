package fleetstate

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/inifile"
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._/-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// parser builds an inventory from an INI file and reports every fault.
type parser struct {
	file      *inifile.Document
	inventory *Inventory
	section   string
	knownKeys []string
}

func (p *parser) readAll() {
	for _, section := range p.file.Sections() {
		p.readSection(section)
	}
	p.checkReferences()
}

func (p *parser) readSection(section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	p.section, p.knownKeys = section, nil
	if kind == evacuationKind {
		p.readEvacuation(name)
		return
	}
	if !namePattern.MatchString(name) {
		p.addFault("", "section [%s] needs a kind and a name, such as [model trail-writer]", section)
		return
	}
	switch kind {
	case "instance":
		p.readInstance(name)
	case "backend":
		p.readBackend(name)
	case "model":
		p.inventory.models[name] = Model{name: name, memory: p.bytes("memory"), cache: p.optionalBytes("cache")}
	case "adapter":
		p.inventory.adapters[name] = Adapter{name: name, model: p.required("model"), memory: p.bytes("memory")}
	case "tenant":
		p.inventory.tenants[name] = Tenant{name: name, rate: p.integer("rate"), burst: p.integer("burst")}
	case "key":
		p.readKey(name)
	case "route":
		p.readRoute(name)
	case "store":
		p.readStore(name)
	default:
		p.addFault("", "section kind %q is unknown; use instance, backend, model, adapter, tenant, key, route, store or evacuation", kind)
		return
	}
	p.reportUnknownKeys()
}

func (p *parser) readInstance(name string) {
	instance := Instance{
		name:     name,
		role:     Role(p.choice("role", string(RoleEntry), string(RoleSide))),
		address:  p.address("link"),
		operator: p.parse(inifile.Address, "operator", p.optional("operator")).(string),
		domain:   p.required("domain"),
		region:   p.optional("region"),
		backend:  p.optional("backend"),
	}
	if instance.role == RoleSide && instance.backend == "" {
		p.addFault("role", "instance %s is a side without a backend server; add backend = NAME", name)
	}
	p.inventory.instances[name] = instance
}

func (p *parser) readBackend(name string) {
	backend := Backend{name: name, kind: BackendKind(p.choice("kind", string(Engine), string(Service)))}
	backend.slots = int(p.integer("slots"))
	backend.draining = p.flag("draining")
	if backend.kind == Engine {
		backend.memory = p.bytes("memory")
		backend.fencing = p.flag("fencing")
		backend.static = p.flag("static")
	} else {
		backend.service = p.required("service")
	}
	p.inventory.backends[name] = backend
}

func (p *parser) readKey(name string) {
	key := Key{name: name, tenant: p.required("tenant"), hash: strings.ToLower(p.required("sha256"))}
	if key.hash != "" && !hashPattern.MatchString(key.hash) {
		p.addFault("sha256", "sha256 of key %s must be 64 hexadecimal digits; print it with sesamewell key hash", name)
	}
	if other, ok := p.inventory.keys[key.hash]; ok && key.hash != "" {
		p.addFault("sha256", "keys %s and %s have the same sha256; give each its own key", other.name, name)
	}
	p.inventory.keys[key.hash] = key
	p.inventory.grants[key.Grant()] = key
}

func (p *parser) readRoute(name string) {
	route := Route{
		name:       name,
		path:       strings.TrimSuffix(p.required("path"), "/"),
		service:    p.optional("service"),
		tenant:     p.optional("tenant"),
		open:       p.flag("open"),
		urgent:     p.flag("urgent"),
		idempotent: p.flagOr("idempotent", true),
		deadline:   p.duration("deadline"),
	}
	if !strings.HasPrefix(route.path, "/") {
		p.addFault("path", "path %q of route %s must begin with /", route.path, name)
	}
	if route.open && route.tenant == "" {
		p.addFault("open", "open route %s needs tenant = NAME, whose rate its requests use", name)
	}
	for _, other := range p.inventory.routes {
		if other.path == route.path {
			p.addFault("path", "routes %s and %s have the same path %s; keep one", other.name, name, route.path)
		}
	}
	p.inventory.routes = append(p.inventory.routes, route)
}

// checkReferences reports names that are used without a section of their own, and
// adapters with the name of a model.
func (p *parser) checkReferences() {
	i := p.inventory
	for _, instance := range i.instances {
		if _, ok := i.backends[instance.backend]; !ok && instance.backend != "" {
			p.addMissing("instance "+instance.name, "backend", instance.backend)
		}
	}
	for _, adapter := range i.adapters {
		if _, ok := i.models[adapter.model]; !ok && adapter.model != "" {
			p.addMissing("adapter "+adapter.name, "model", adapter.model)
		}
		if _, ok := i.models[adapter.name]; ok {
			p.section = "adapter " + adapter.name
			p.addFault("", "adapter %s has the name of a model; rename one, since callers choose by name", adapter.name)
		}
	}
	for _, key := range i.keys {
		if _, ok := i.tenants[key.tenant]; !ok && key.tenant != "" {
			p.addMissing("key "+key.name, "tenant", key.tenant)
		}
	}
	for _, route := range i.routes {
		p.checkRoute(route)
	}
}

func (p *parser) checkRoute(route Route) {
	if _, ok := p.inventory.tenants[route.tenant]; !ok && route.tenant != "" {
		p.addMissing("route "+route.name, "tenant", route.tenant)
	}
	if route.service == "" {
		return
	}
	for _, backend := range p.inventory.backends {
		if backend.service == route.service {
			return
		}
	}
	p.section = "route " + route.name
	p.addFault("service", "no backend server belongs to service %q; add one with service = %s", route.service, route.service)
}

func (p *parser) addMissing(section, key, name string) {
	p.section = section
	p.addFault(key, "%s %q is not described; add [%s %s] or mend the name", key, name, key, name)
}

func (p *parser) addFault(key, format string, args ...any) {
	p.file.AddFault(p.file.Line(p.section, key), format, args...)
}

func (p *parser) optional(key string) string {
	p.knownKeys = append(p.knownKeys, key)
	text, _ := p.file.Value(p.section, key)
	return text
}

func (p *parser) required(key string) string {
	text := p.optional(key)
	if text == "" {
		p.addFault(key, "[%s] needs %s = VALUE", p.section, key)
	}
	return text
}

func (p *parser) choice(key string, allowed ...string) string {
	text := p.required(key)
	if text != "" && !slices.Contains(allowed, text) {
		p.addFault(key, "%s = %q is not allowed; use %s", key, text, strings.Join(allowed, " or "))
	}
	return text
}

func (p *parser) parse(kind inifile.Kind, key, text string) any {
	value, err := inifile.ParseValue(kind, text)
	if err != nil {
		p.addFault(key, "%s = %q: %v", key, text, err)
	}
	return value
}

func (p *parser) address(key string) string {
	return p.parse(inifile.Address, key, p.required(key)).(string)
}

func (p *parser) bytes(key string) int64 {
	return p.positive(key, p.parse(inifile.Bytes, key, p.required(key)).(int64))
}

func (p *parser) optionalBytes(key string) int64 {
	return p.parse(inifile.Bytes, key, p.optional(key)).(int64)
}

func (p *parser) integer(key string) int64 {
	return p.positive(key, p.parse(inifile.Integer, key, p.required(key)).(int64))
}

func (p *parser) positive(key string, number int64) int64 {
	if text, _ := p.file.Value(p.section, key); text != "" && number <= 0 {
		p.addFault(key, "%s = %q must be greater than zero", key, text)
	}
	return number
}

func (p *parser) flag(key string) bool { return p.flagOr(key, false) }

func (p *parser) flagOr(key string, missing bool) bool {
	text := p.optional(key)
	if text == "" {
		return missing
	}
	return p.parse(inifile.Bool, key, text).(bool)
}

func (p *parser) duration(key string) time.Duration {
	return time.Duration(p.parse(inifile.Duration, key, p.optional(key)).(int64))
}

func (p *parser) reportUnknownKeys() {
	for _, key := range p.file.Keys(p.section) {
		if !slices.Contains(p.knownKeys, key) {
			p.addFault(key, "[%s] has no key %q; use %s", p.section, key, fmt.Sprint(strings.Join(p.knownKeys, ", ")))
		}
	}
}
