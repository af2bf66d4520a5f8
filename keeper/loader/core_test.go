package loader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/keeper/loader"
)

// TestMain fixes what rapid draws.
func TestMain(m *testing.M) { backstage.Run(m, backstage.Seed, nil) }

const (
	memory   = 230.0 // MB of an engine
	places   = 2     // adapters of an engine
	modelMB  = 70.0
	adapter  = 1.0
	step     = 10 * time.Millisecond
	loadTime = 800 * time.Millisecond
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// delivery is an order on its way to the engine.
type delivery struct {
	order  charter.Order
	at     time.Time
	answer bool // the keeper gets its answer
}

// world is a keeper and its engine in virtual time.
type world struct {
	now      time.Time
	core     *loader.Core
	held     map[string][]string // adapters by model
	loading  string
	ready    time.Time
	orders   int64
	born     int64
	late     []delivery
	lossy    func() (lost, late bool) // fate of the next order
	over     bool                     // the engine was ordered beyond its memory or places
	refused  int
	replies  map[*ring.Ring]bool
	adapters int // loads of adapters
}

func newWorld(models ...string) *world {
	w := &world{now: noon, held: make(map[string][]string), born: 1, replies: make(map[*ring.Ring]bool)}
	for _, model := range models {
		w.held[model] = nil
	}
	w.core = loader.NewCore(loader.CoreConfig{
		PollPeriod: 500 * time.Millisecond, FetchPollPeriod: 10 * time.Millisecond, AdapterLease: 3 * time.Second,
		FetchTimeout: 400 * time.Millisecond, PlannerTimeout: 3 * time.Second,
	})
	w.lossy = func() (bool, bool) { return false, false }
	return w
}

func need(name string) notice.ModelNeedConfig {
	return notice.ModelNeedConfig{Name: name, Memory: modelMB, Adapter: adapter}
}

func (w *world) assign(planner string, models ...string) {
	config := notice.AssignConfig{Planner: planner, Backend: "e1", Born: w.born, Memory: memory, Places: places}
	for _, model := range []string{"a", "b", "c", "d", "e"} {
		if slices.Contains(models, model) {
			config.Models = append(config.Models, need(model))
		} else {
			config.Others = append(config.Others, need(model))
		}
	}
	w.obey(w.core.Handle(w.now, loader.NewPlanAssigned(notice.NewAssign(config))))
}

func (w *world) fetch(model, name string) *ring.Ring {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	fetch := notice.NewFetch(notice.FetchConfig{Model: model, Adapter: name})
	w.obey(w.core.Handle(w.now, loader.NewAdapterRequested(fetch, reply)))
	return reply
}

// kept returns what a Fetch was answered, and whether it was.
func kept(reply *ring.Ring) (time.Duration, bool) {
	items := make([]any, 1)
	if reply.Drain(items) == 0 {
		return 0, false
	}
	return items[0].(notice.Fetched).Kept(), true
}

func (w *world) pass(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(step)
		if w.loading != "" && !w.now.Before(w.ready) {
			w.held[w.loading], w.loading = nil, ""
		}
		w.deliver()
		w.obey(w.core.Tick(w.now))
	}
}

func (w *world) deliver() {
	due := w.late
	w.late = nil
	for _, d := range due {
		if w.now.Before(d.at) {
			w.late = append(w.late, d)
			continue
		}
		taken := w.take(d.order)
		if d.answer {
			w.obey(w.core.Handle(w.now, loader.NewOrderAnswered(d.order, taken, true)))
		}
	}
}

func (w *world) obey(actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PollState:
			w.obey(w.core.Handle(w.now, loader.NewStateReported(w.now, w.state())))
		case loader.ExecuteOrder:
			w.give(a.Order())
		case loader.Reply:
			a.Send()
		}
	}
}

// give lets an order meet its fate.
func (w *world) give(order charter.Order) {
	lost, late := w.lossy()
	switch {
	case lost:
		w.obey(w.core.Handle(w.now, loader.NewOrderAnswered(order, false, false)))
	case late:
		w.late = append(w.late, delivery{order: order, at: w.now.Add(3 * time.Second)})
		w.obey(w.core.Handle(w.now, loader.NewOrderAnswered(order, false, false)))
	default:
		w.late = append(w.late, delivery{order: order, at: w.now.Add(step), answer: true})
	}
}

func (w *world) state() charter.State {
	s := charter.StateConfig{Busy: w.loading != "", Orders: w.orders, Born: w.born}
	for model, adapters := range w.held {
		s.Holdings = append(s.Holdings, charter.HoldingConfig{Model: model, Adapters: slices.Clone(adapters)})
	}
	slices.SortFunc(s.Holdings, func(a, b charter.HoldingConfig) int { return int(a.Model[0]) - int(b.Model[0]) })
	return charter.NewState(s)
}

// take is the engine: it refuses an order that is out of turn, or while a model
// loads.
func (w *world) take(order charter.Order) bool {
	if order.Expect() != w.orders || w.loading != "" {
		w.refused++
		return false
	}
	if order.Adapter() != "" && !order.Unload() && slices.Contains(w.held[order.Model()], order.Adapter()) {
		return true
	}
	w.orders++
	_, held := w.held[order.Model()]
	switch {
	case order.Unload() && order.Adapter() == "":
		delete(w.held, order.Model())
	case order.Unload():
		w.held[order.Model()] = slices.DeleteFunc(w.held[order.Model()], func(a string) bool { return a == order.Adapter() })
	case order.Adapter() != "" && held:
		w.adapters++
		w.held[order.Model()] = append(w.held[order.Model()], order.Adapter())
	case order.Adapter() == "" && !held:
		w.loading, w.ready = order.Model(), w.now.Add(loadTime)
	}
	w.check()
	return true
}

func (w *world) check() {
	sum, n := 0.0, 0
	for _, adapters := range w.held {
		sum += modelMB + adapter*float64(len(adapters))
		n += len(adapters)
	}
	if w.loading != "" {
		sum += modelMB
	}
	w.over = w.over || sum > memory || n > places
}

func (w *world) models() []string {
	var names []string
	for _, holding := range w.state().Holdings() {
		names = append(names, holding.Model())
	}
	return names
}

func TestPlanIsCarriedOut(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.assign("l1", "a", "b", "d")
	w.pass(3 * time.Second)
	if diff := cmp.Diff([]string{"a", "b", "d"}, w.models()); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, w.refused); diff != "" {
		t.Errorf("refused orders (-want +got):\n%s", diff)
	}
}

func TestNothingIsOrderedWithoutAPlan(t *testing.T) {
	w := newWorld("a")
	reply := w.fetch("a", "a1")
	w.pass(time.Second)
	if diff := cmp.Diff(int64(0), w.orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	if span, ok := kept(reply); !ok || span != 0 {
		t.Errorf("answer %v, kept for %s", ok, span)
	}
}

// TestOrdersNameTheStartThatThePlanIsFor holds what lets a keeper be the only one
// that orders its engine: it orders what it sees beside it, and nothing by a plan
// for another start of it.
func TestOrdersNameTheStartThatThePlanIsFor(t *testing.T) {
	cases := map[string]struct {
		again bool // the engine starts again after the plan
		plan  bool // and a new plan comes
		want  []string
	}{
		"same start":               {want: []string{"a", "b"}},
		"started again":            {again: true},
		"started again, plan anew": {again: true, plan: true, want: []string{"a", "b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			if !tc.again {
				w.assign("l1", "a", "b")
			} else {
				w.born++
				w.pass(time.Second)
				w.born--
				w.assign("l1", "a", "b")
				w.born++
			}
			if tc.plan {
				w.assign("l1", "a", "b")
			}
			w.pass(5 * time.Second)
			if diff := cmp.Diff(tc.want, w.models()); diff != "" {
				t.Errorf("models (-want +got):\n%s", diff)
			}
		})
	}
}

func TestModelThatIsNotPlannedStaysWhileThereIsRoom(t *testing.T) {
	w := newWorld("a", "b")
	w.assign("l1", "a")
	w.pass(3 * time.Second)
	if diff := cmp.Diff([]string{"a", "b"}, w.models()); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
}

func TestAdapters(t *testing.T) {
	cases := map[string]struct {
		before  func(w *world)
		fetch   string
		kept    time.Duration
		within  time.Duration
		holding []string
	}{
		"free place": {fetch: "a1", kept: 3 * time.Second, within: 100 * time.Millisecond, holding: []string{"a1"}},
		"held":       {before: func(w *world) { w.held["a"] = []string{"a1"} }, fetch: "a1", kept: 3 * time.Second, within: 50 * time.Millisecond, holding: []string{"a1"}},
		"oldest makes way": {before: func(w *world) {
			w.fetch("a", "a1")
			w.pass(100 * time.Millisecond)
			w.fetch("a", "a2")
			w.pass(4 * time.Second)
		}, fetch: "a3", kept: 3 * time.Second, within: 100 * time.Millisecond, holding: []string{"a2", "a3"}},
		"all leased": {before: func(w *world) {
			w.fetch("a", "a1")
			w.fetch("a", "a2")
			w.pass(200 * time.Millisecond)
		}, fetch: "a3", kept: 0, within: 500 * time.Millisecond, holding: []string{"a1", "a2"}},
		"engine is busy": {before: func(w *world) {
			w.pass(600 * time.Millisecond)
			w.assign("l1", "a", "b")
			w.pass(200 * time.Millisecond)
		}, fetch: "a1", kept: 0, within: 150 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld("a")
			w.assign("l1", "a")
			w.pass(time.Second)
			if tc.before != nil {
				tc.before(w)
			}
			reply := w.fetch("a", tc.fetch)
			w.pass(tc.within)
			span, ok := kept(reply)
			if diff := cmp.Diff(tc.kept, span); !ok || diff != "" {
				t.Errorf("answered %v (-want +got):\n%s", ok, diff)
			}
			got := slices.Clone(w.held["a"])
			slices.Sort(got)
			if diff := cmp.Diff(tc.holding, got); len(tc.holding) > 0 && diff != "" {
				t.Errorf("adapters (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOfTwoPlannersTheFirstByAddressIsObeyed(t *testing.T) {
	w := newWorld("a", "b", "c")
	for range 6 {
		w.assign("l1", "a", "b", "d")
		w.assign("l2", "a", "b", "e")
		w.pass(500 * time.Millisecond)
	}
	if diff := cmp.Diff([]string{"a", "b", "d"}, w.models()); diff != "" {
		t.Errorf("models while both plan (-want +got):\n%s", diff)
	}
	for range 12 {
		w.assign("l2", "a", "b", "e")
		w.pass(500 * time.Millisecond)
	}
	if diff := cmp.Diff([]string{"a", "b", "e"}, w.models()); diff != "" {
		t.Errorf("models after the first fell silent (-want +got):\n%s", diff)
	}
}

// TestMemoryIsNeverOvercommitted draws plans and requests for adapters while
// orders are lost, or carried out late without an answer, and the engine
// restarts.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(all[:3]...)
		w.lossy = func() (bool, bool) {
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			return fate == 0, fate == 1 || fate == 2
		}
		for range 25 {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.held, w.loading, w.orders, w.born = make(map[string][]string), "", 0, w.born+1
			case 1, 2, 3:
				models := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 3, rapid.ID).Draw(t, "models")
				w.assign("l1", models...)
			default:
				w.fetch(rapid.SampledFrom(all).Draw(t, "model"), fmt.Sprint("a", rapid.IntRange(1, 5).Draw(t, "adapter")))
			}
			w.pass(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * step)
			if w.over {
				t.Fatal("the engine was ordered beyond its memory or places")
			}
		}
	})
}
