package engine

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/standin/server"
)

// Paths of the orders API.
const (
	ordersPath = "/orders"
	statePath  = "/orders/state"
	faultsPath = "/orders/faults"
)

// Verbs of an order.
const (
	verbLoad   = "load"
	verbUnload = "unload"
	verbRole   = "role"
)

// phase is the state of a model or an adapter in memory.
type phase string

// Phases of a model or an adapter. It takes memory in each of them.
const (
	loading   phase = "loading"
	resident  phase = "resident"
	unloading phase = "unloading"
)

// OrderHandlerConfig holds the construction parameters of the part of an Engine
// that carries out orders.
type OrderHandlerConfig struct {
	Memory  int64 // bytes of accelerator memory
	Fencing bool  // refuse orders whose fencing number is lower than the highest one seen
	Preload bool  // run requests for every model, loaded or not
	Fetcher *Fetcher
}

// order is the JSON form of an order: load, unload, or set the engine's role.
type order struct {
	Verb    string `json:"verb"`
	Name    string `json:"name"`
	Model   string `json:"model"` // base model of an adapter; empty for a model
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	Role    string `json:"role"`
	Fence   int64  `json:"fence"`
}

// holding is one model or adapter in memory, and its JSON form.
type holding struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Bytes   int64  `json:"bytes"`
	Phase   phase  `json:"phase"`
}

// engineState is the JSON form of the engine's state.
type engineState struct {
	Fence    int64     `json:"fence"`
	Role     string    `json:"role"`
	Holdings []holding `json:"holdings"`
	Memory   int64     `json:"memory"`
	Used     int64     `json:"used"`
	PeakUsed int64     `json:"most"` // largest number of bytes used at any time
	Applied  int       `json:"taken"`
	Refused  int       `json:"refused"` // orders refused for an old fencing number
}

// faults is the JSON form of the faults injected into the next orders.
type faults struct {
	Lose   int `json:"lose"`   // number of orders that take no effect and get no answer
	Late   int `json:"late"`   // number of orders that take effect late and get no answer
	Double int `json:"double"` // number of orders that take effect at once and again later
	After  int `json:"after"`  // delay of late and repeated effects in milliseconds
}

// delayedOrder is an order that takes effect at due.
type delayedOrder struct {
	due   time.Time
	order order
}

// orderHandler carries out orders and tracks what the engine holds in memory.
type orderHandler struct {
	config   OrderHandlerConfig
	holdings map[string]*holding
	delayed  []delayedOrder
	faults   faults
	fence    int64
	role     string
	peakUsed int64
	applied  int
	refused  int
}

func newOrderHandler(config OrderHandlerConfig) *orderHandler {
	return &orderHandler{config: config, holdings: make(map[string]*holding)}
}

// canRun reports whether requests for the model or adapter name can run.
func (o *orderHandler) canRun(name string) bool {
	h, ok := o.holdings[name]
	return o.config.Preload || ok && h.Phase == resident
}

// baseModel returns the base model of an adapter, or "" for a model.
func (o *orderHandler) baseModel(name string) string {
	if h, ok := o.holdings[name]; ok {
		return h.Model
	}
	return ""
}

// receive answers a call of the orders API.
func (o *orderHandler) receive(now time.Time, call *httpserver.Call, path string) {
	switch path {
	case statePath:
		server.ReplyJSON(call, fasthttp.StatusOK, o.report())
	case faultsPath:
		if err := json.Unmarshal(call.Request().Body(), &o.faults); err != nil {
			server.ReplyStatus(call, fasthttp.StatusBadRequest)
			return
		}
		server.ReplyStatus(call, fasthttp.StatusOK)
	case ordersPath:
		o.receiveOrder(now, call)
	default:
		server.ReplyStatus(call, fasthttp.StatusNotFound)
	}
}

// receiveOrder carries out an order, subject to the injected faults.
func (o *orderHandler) receiveOrder(now time.Time, call *httpserver.Call) {
	var request order
	if err := json.Unmarshal(call.Request().Body(), &request); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	later := delayedOrder{due: now.Add(time.Duration(o.faults.After) * time.Millisecond), order: request}
	switch {
	case o.faults.Lose > 0:
		o.faults.Lose--
		call.Abort()
		return
	case o.faults.Late > 0:
		o.faults.Late--
		o.delayed = append(o.delayed, later)
		call.Abort()
		return
	case o.faults.Double > 0:
		o.faults.Double--
		o.delayed = append(o.delayed, later)
	}
	if !o.apply(request) {
		server.ReplyStatus(call, fasthttp.StatusConflict)
		return
	}
	server.ReplyStatus(call, fasthttp.StatusOK)
}

// apply carries out an order. It returns false for an old fencing number. A load
// that does not fit in memory is carried out too, so that tests can detect it in
// the peak use.
func (o *orderHandler) apply(request order) bool {
	if o.config.Fencing && request.Fence < o.fence {
		o.refused++
		return false
	}
	o.fence = max(o.fence, request.Fence)
	o.applied++
	h, ok := o.holdings[request.Name]
	switch {
	case request.Verb == verbRole:
		o.role = request.Role
	case request.Verb == verbLoad && !ok:
		o.holdings[request.Name] = &holding{Name: request.Name, Model: request.Model, Version: request.Version, Bytes: request.Bytes, Phase: loading}
		o.peakUsed = max(o.peakUsed, o.used())
		if !o.config.Fetcher.enqueue(request.Name, request.Model != "") {
			delete(o.holdings, request.Name)
		}
	case request.Verb == verbUnload && ok:
		h.Phase = unloading
	}
	return true
}

// tick carries out delayed orders that are due, completes finished loads, and
// frees unloading models that no request uses.
func (o *orderHandler) tick(now time.Time, inUse func(name string) bool) {
	delayed := o.delayed
	o.delayed = nil
	for _, d := range delayed {
		if now.Before(d.due) {
			o.delayed = append(o.delayed, d)
			continue
		}
		o.apply(d.order)
	}
	for _, name := range o.config.Fetcher.takeFinished() {
		if h, ok := o.holdings[name]; ok && h.Phase == loading {
			h.Phase = resident
		}
	}
	for name, h := range o.holdings {
		if h.Phase == unloading && !inUse(name) {
			delete(o.holdings, name)
		}
	}
}

func (o *orderHandler) used() int64 {
	var bytes int64
	for _, h := range o.holdings {
		bytes += h.Bytes
	}
	return bytes
}

func (o *orderHandler) report() engineState {
	s := engineState{
		Fence: o.fence, Role: o.role, Holdings: []holding{},
		Memory: o.config.Memory, Used: o.used(), PeakUsed: o.peakUsed, Applied: o.applied, Refused: o.refused,
	}
	for _, name := range slices.Sorted(maps.Keys(o.holdings)) {
		s.Holdings = append(s.Holdings, *o.holdings[name])
	}
	return s
}
