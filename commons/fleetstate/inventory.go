// Package fleetstate defines the replicated state of the fleet: the inventory of
// instances, backend servers, models, adapters, tenants, keys and routes, the
// claims of roles, and the plan of models. Every process builds the same numbered
// revisions of it by applying the records of the platform's log in order.
package fleetstate

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"sesamewell.example/commons/inifile"
)

// Inventory is a complete, validated configuration of the fleet. It is immutable.
type Inventory struct {
	text      string
	instances set[Instance]
	backends  set[Backend]
	models    set[Model]
	adapters  set[Adapter]
	tenants   set[Tenant]
	keys      set[Key] // by SHA-256 in hexadecimal
	grants    set[Key] // by grant
	routes    []Route  // longest path first
	stores    set[Store]
	evacuated map[string]bool // by failure domain
}

// EmptyInventory returns an inventory without sections.
func EmptyInventory() *Inventory {
	return &Inventory{
		instances: make(set[Instance]),
		backends:  make(set[Backend]),
		models:    make(set[Model]),
		adapters:  make(set[Adapter]),
		tenants:   make(set[Tenant]),
		keys:      make(set[Key]),
		stores:    make(set[Store]),
		grants:    make(set[Key]),
		evacuated: make(map[string]bool),
	}
}

// ParseInventory parses and validates the text of an inventory. The error lists
// every fault with path and line.
func ParseInventory(path string, text []byte) (*Inventory, error) {
	return parseInventory(path, text, false)
}

func parseInventory(path string, text []byte, capacity bool) (*Inventory, error) {
	doc, err := inifile.Parse(path, text)
	if err != nil {
		return nil, err
	}
	inventory := EmptyInventory()
	inventory.text = string(text)
	p := &parser{file: doc, inventory: inventory}
	p.readAll()
	if capacity {
		p.checkEvacuations()
		p.checkCapacity()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(inventory.routes, func(a, b Route) int {
		return cmp.Or(len(b.path)-len(a.path), strings.Compare(a.path, b.path))
	})
	return inventory, nil
}

// Text returns the text that the inventory was parsed from.
func (i *Inventory) Text() string { return i.text }

// Instances returns all instances, sorted by name.
func (i *Inventory) Instances() []Instance { return i.instances.sorted() }

// Instance returns the instance with the given name.
func (i *Inventory) Instance(name string) (Instance, bool) {
	instance, ok := i.instances[name]
	return instance, ok
}

// Backends returns all backend servers, sorted by name.
func (i *Inventory) Backends() []Backend { return i.backends.sorted() }

// Backend returns the backend server with the given name.
func (i *Inventory) Backend(name string) (Backend, bool) {
	backend, ok := i.backends[name]
	return backend, ok
}

// Models returns all models, sorted by name.
func (i *Inventory) Models() []Model { return i.models.sorted() }

// Model returns the model with the given name.
func (i *Inventory) Model(name string) (Model, bool) {
	model, ok := i.models[name]
	return model, ok
}

// Adapters returns all adapters, sorted by name.
func (i *Inventory) Adapters() []Adapter { return i.adapters.sorted() }

// Adapter returns the adapter with the given name.
func (i *Inventory) Adapter(name string) (Adapter, bool) {
	adapter, ok := i.adapters[name]
	return adapter, ok
}

// Tenants returns all tenants, sorted by name.
func (i *Inventory) Tenants() []Tenant { return i.tenants.sorted() }

// Tenant returns the tenant with the given name.
func (i *Inventory) Tenant(name string) (Tenant, bool) {
	tenant, ok := i.tenants[name]
	return tenant, ok
}

// Keys returns all API keys, sorted by name.
func (i *Inventory) Keys() []Key { return i.keys.sorted() }

// KeyByHash returns the API key with the given SHA-256 in hexadecimal.
func (i *Inventory) KeyByHash(hash string) (Key, bool) {
	key, ok := i.keys[hash]
	return key, ok
}

// HasGrant reports whether the inventory has a key with the given Key.Grant. The
// empty grant, used for requests on open routes, is always valid.
func (i *Inventory) HasGrant(grant string) bool {
	_, ok := i.grants[grant]
	return ok || grant == ""
}

// Routes returns all routes, longest path first.
func (i *Inventory) Routes() []Route { return i.routes }

// RouteFor returns the route with the longest path that equals path or is a
// parent of it.
func (i *Inventory) RouteFor(path string) (Route, bool) {
	for _, route := range i.routes {
		if path == route.path || strings.HasPrefix(path, strings.TrimSuffix(route.path, "/")+"/") {
			return route, true
		}
	}
	return Route{}, false
}

// ModelFor returns the model that must be loaded to serve name, which is the name
// of a model or an adapter, and whether there is one.
func (i *Inventory) ModelFor(name string) (Model, bool) {
	if adapter, ok := i.adapters[name]; ok {
		name = adapter.model
	}
	return i.Model(name)
}

type named interface{ Name() string }

// set holds items by a unique string.
type set[T named] map[string]T

// sorted returns the items, sorted by name.
func (s set[T]) sorted() []T {
	return slices.SortedFunc(maps.Values(s), func(a, b T) int {
		return strings.Compare(a.Name(), b.Name())
	})
}

// Role is the role of an instance, which decides the program that it runs.
type Role string

// Roles of instances.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Instance is one process of the system.
type Instance struct {
	name     string
	role     Role
	address  string
	operator string
	domain   string
	region   string
	backend  string
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// Role returns the program that the instance runs.
func (i Instance) Role() Role { return i.role }

// Address returns the IP:port at which other processes call the instance.
func (i Instance) Address() string { return i.address }

// Operator returns the IP:port of the instance's operators' page, or "" if it has
// none.
func (i Instance) Operator() string { return i.operator }

// Domain returns the failure domain.
func (i Instance) Domain() string { return i.domain }

// Region returns the region, or "" if the fleet has only one.
func (i Instance) Region() string { return i.region }

// Backend returns the name of the backend server of a side, else "".
func (i Instance) Backend() string { return i.backend }

// BackendKind is the kind of a backend server.
type BackendKind string

// Kinds of backend servers.
const (
	Engine  BackendKind = "engine"  // runs models
	Service BackendKind = "service" // answers plain HTTP
)

// Backend is one backend server.
type Backend struct {
	name    string
	kind    BackendKind
	service string
	memory  int64
	slots   int
	fencing bool
	static  bool

	draining bool
}

// Name returns the backend server's name.
func (b Backend) Name() string { return b.name }

// Kind returns whether the server runs models or answers plain HTTP.
func (b Backend) Kind() BackendKind { return b.kind }

// Service returns the name of the plain HTTP service that the server belongs to.
func (b Backend) Service() string { return b.service }

// Memory returns the accelerator memory in bytes.
func (b Backend) Memory() int64 { return b.memory }

// Slots returns the number of requests that the server runs concurrently.
func (b Backend) Slots() int { return b.slots }

// TakesModels reports whether models are loaded onto the server by plan and order.
// It is false for plain services and for static engines, whose models this system
// does not manage.
func (b Backend) TakesModels() bool { return b.kind == Engine && !b.static }

// Fencing reports whether the server refuses orders with an old fencing number.
func (b Backend) Fencing() bool { return b.fencing }

// Draining reports whether the server must get no new work and its models must
// move to other servers.
func (b Backend) Draining() bool { return b.draining }

// Model is a model that engines load.
type Model struct {
	name   string
	memory int64
	cache  int64
}

// Name returns the model's name.
func (m Model) Name() string { return m.name }

// Memory returns the bytes of accelerator memory that the weights take.
func (m Model) Memory() int64 { return m.memory }

// Cache returns the bytes of accelerator memory to reserve for the KV cache.
func (m Model) Cache() int64 { return m.cache }

// Adapter is an adapter of a model and is loaded together with it.
type Adapter struct {
	name   string
	model  string
	memory int64
}

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.name }

// Model returns the name of the model that the adapter belongs to.
func (a Adapter) Model() string { return a.model }

// Memory returns the bytes of accelerator memory that the adapter takes.
func (a Adapter) Memory() int64 { return a.memory }

// Tenant is one tenant with its limits.
type Tenant struct {
	name  string
	rate  int64
	burst int64
}

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.name }

// Rate returns the limit in tokens per second over the whole fleet.
func (t Tenant) Rate() int64 { return t.rate }

// Burst returns the number of tokens that may be spent at once.
func (t Tenant) Burst() int64 { return t.burst }

// Key is a caller's API key, of which only the hash is stored.
type Key struct {
	name   string
	tenant string
	hash   string
}

// Name returns the key's name.
func (k Key) Name() string { return k.name }

// Tenant returns the name of the tenant that the key belongs to.
func (k Key) Tenant() string { return k.tenant }

// Grant returns an identifier of the permission to run requests for the key's
// tenant. It differs for each pair of key and tenant and does not reveal the key.
func (k Key) Grant() string {
	sum := sha256.Sum256([]byte(k.tenant + "\x00" + k.hash))
	return hex.EncodeToString(sum[:grantBytes])
}

// grantBytes is the length of a grant before hexadecimal encoding.
const grantBytes = 8

// Hash returns the key's SHA-256 in hexadecimal.
func (k Key) Hash() string { return k.hash }

// Route is the rule for requests to one path and all paths below it.
type Route struct {
	name       string
	path       string
	service    string
	tenant     string
	open       bool
	urgent     bool
	idempotent bool
	deadline   time.Duration
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Path returns the path, without a trailing slash.
func (r Route) Path() string { return r.path }

// Service returns the plain HTTP service that answers, or "" for the models' API.
func (r Route) Service() string { return r.service }

// Tenant returns the tenant for which requests without a key run on an open route.
func (r Route) Tenant() string { return r.tenant }

// Open reports whether requests need no API key.
func (r Route) Open() bool { return r.open }

// Urgent reports whether requests take precedence over those that can wait.
func (r Route) Urgent() bool { return r.urgent }

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Deadline returns the longest time that a request may take, or zero for no limit.
func (r Route) Deadline() time.Duration { return r.deadline }

// HashKey returns the SHA-256 of an API key in hexadecimal, the only form in which
// the system stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
