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

// Paths of orders.
const (
	ordersPath = "/orders"
	statePath  = "/orders/state"
	faultsPath = "/orders/faults"
)

// Verbs of orders.
const (
	verbLoad   = "load"
	verbUnload = "unload"
	verbRole   = "role"
)

// phase is what the engine does with a model or an adapter.
type phase string

// Phases of what takes memory.
const (
	loading   phase = "loading"
	resident  phase = "resident"
	unloading phase = "unloading"
)

// OrdersConfig holds the construction parameters of the part of an Engine that
// takes orders.
type OrderHandlerConfig struct {
	Memory  int64 // bytes of accelerator memory
	Fencing bool  // whether orders with an old fencing number are refused
	Preload bool  // whether requests run for every model, loaded or not
	Fetcher *Fetcher
}

// order is the JSON form of an order.
type order struct {
	Verb    string `json:"verb"`
	Name    string `json:"name"`
	Model   string `json:"model"` // of an adapter
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

// state is the JSON form of the engine's report.
type engineState struct {
	Fence    int64     `json:"fence"`
	Role     string    `json:"role"`
	Holdings []holding `json:"holdings"`
	Memory   int64     `json:"memory"`
	Used     int64     `json:"used"`
	PeakUsed int64     `json:"most"` // bytes ever used at once
	Applied  int       `json:"taken"`
	Refused  int       `json:"refused"` // for an old fencing number
}

// faults is the JSON form of what happens to the next orders.
type faults struct {
	Lose   int `json:"lose"`   // orders that have no effect and no answer
	Late   int `json:"late"`   // orders that take effect late and have no answer
	Double int `json:"double"` // orders that take effect again later
	After  int `json:"after"`  // milliseconds until late and double ones take effect
}

// lateOrder is an order that takes effect later.
type delayedOrder struct {
	due   time.Time
	order order
}

// orders is responsible for what the engine holds in its memory.
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

// runs reports whether requests for a model or an adapter can run.
func (o *orderHandler) canRun(name string) bool {
	h, ok := o.holdings[name]
	return o.config.Preload || ok && h.Phase == resident
}

// base returns the model that an adapter belongs to, or "".
func (o *orderHandler) baseModel(name string) string {
	if h, ok := o.holdings[name]; ok {
		return h.Model
	}
	return ""
}

// receive answers a call about orders.
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

// arrive takes an order, or lets it meet the next fault.
func (o *orderHandler) receiveOrder(now time.Time, call *httpserver.Call) {
	var next order
	if err := json.Unmarshal(call.Request().Body(), &next); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	later := delayedOrder{due: now.Add(time.Duration(o.faults.After) * time.Millisecond), order: next}
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
	if !o.apply(next) {
		server.ReplyStatus(call, fasthttp.StatusConflict)
		return
	}
	server.ReplyStatus(call, fasthttp.StatusOK)
}

// take carries an order out. It reports false for an old fencing number. A load
// that does not fit is carried out all the same, and shows in the most bytes
// ever used.
func (o *orderHandler) apply(next order) bool {
	if o.config.Fencing && next.Fence < o.fence {
		o.refused++
		return false
	}
	o.fence = max(o.fence, next.Fence)
	o.applied++
	h, ok := o.holdings[next.Name]
	switch {
	case next.Verb == verbRole:
		o.role = next.Role
	case next.Verb == verbLoad && !ok:
		o.holdings[next.Name] = &holding{Name: next.Name, Model: next.Model, Version: next.Version, Bytes: next.Bytes, Phase: loading}
		o.peakUsed = max(o.peakUsed, o.used())
		if !o.config.Fetcher.enqueue(next.Name, next.Model != "") {
			delete(o.holdings, next.Name)
		}
	case next.Verb == verbUnload && ok:
		h.Phase = unloading
	}
	return true
}

// tick carries out late orders, ends loads, and frees what no request uses any
// more.
func (o *orderHandler) tick(now time.Time, inUse func(name string) bool) {
	late := o.delayed
	o.delayed = nil
	for _, l := range late {
		if now.Before(l.due) {
			o.delayed = append(o.delayed, l)
			continue
		}
		o.apply(l.order)
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
