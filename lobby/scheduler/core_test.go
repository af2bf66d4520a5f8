package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/visit"
	"sesamewell.example/lobby/scheduler"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// purse is a quota that allows a number of requests.
type purse struct {
	left     int
	refunded int
}

func (p *purse) Spend(time.Time, charter.Tenant, float64) (time.Duration, bool) {
	p.left--
	return time.Second, p.left >= 0
}

func (p *purse) Refund(time.Time, charter.Tenant, float64) { p.refunded++ }
func (p *purse) Spent() map[string]float64                 { return nil }
func (p *purse) UpdatePeer(time.Time, notice.Digest)       {}

// desk is a core with what it is fed.
type desk struct {
	core   *scheduler.Core
	purse  *purse
	now    time.Time
	number uint64
}

func engine() *charter.EngineConfig {
	return &charter.EngineConfig{Slots: 64, Memory: 230, Places: 8, LoadsPerSec: 3, Models: []charter.ModelConfig{{Name: "m", Memory: 70}, {Name: "n", Memory: 70}}}
}

func newDesk(backends ...charter.BackendConfig) *desk {
	d := &desk{purse: &purse{left: 1000}, now: noon}
	d.core = scheduler.NewCore(scheduler.CoreConfig{
		Domain: "d1", MinLobbies: 1, Limiter: d.purse, Random: rand.New(rand.NewPCG(1, 1)),
		RetryBudget: scheduler.RetryBudgetConfig{Ratio: 0.2, Extra: 20, Window: 10 * time.Second},
	})
	d.core.Handle(d.now, scheduler.NewConfigurationChanged(charter.New(charter.Config{
		Version: 1,
		Routes: []charter.RouteConfig{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: charter.Safe, Timeout: time.Second, Attempts: 2, Shares: []charter.ShareConfig{{Service: "plain", Weight: 1}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: charter.Unsafe, Timeout: time.Second, Attempts: 1, Shares: []charter.ShareConfig{{Service: "plain", Weight: 1}}},
			{Name: "twice", Host: "h", Prefix: "/twice/", Kind: charter.Unsafe, Timeout: time.Second, Attempts: 2, Shares: []charter.ShareConfig{{Service: "plain", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: charter.Stream, Timeout: 15 * time.Second, Objective: 600 * time.Millisecond, Gap: 300 * time.Millisecond, Attempts: 1, Shares: []charter.ShareConfig{{Service: "engine", Weight: 1}}},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: charter.Stream, Timeout: 20 * time.Second, Objective: 4 * time.Second, Attempts: 2, Resumable: true, Shares: []charter.ShareConfig{{Service: "engine", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: charter.Safe, Timeout: time.Second, Open: true, Shares: []charter.ShareConfig{{Service: "plain", Weight: 1}}},
		},
		Services: []charter.ServiceConfig{{Name: "plain", Connections: 10}, {Name: "engine", Connections: 10, Engine: engine()}},
		Tenants:  []charter.TenantConfig{{Name: "t", Keys: []string{"k"}, Rate: 1, Burst: 1}},
	})))
	d.list(backends...)
	return d
}

func (d *desk) list(backends ...charter.BackendConfig) []scheduler.Action {
	var list []charter.Backend
	for _, config := range backends {
		list = append(list, charter.NewBackend(config))
	}
	return d.core.Handle(d.now, scheduler.NewBackendsChanged(list))
}

func plain(id string) charter.BackendConfig {
	return charter.BackendConfig{ID: id, Service: "plain", Address: "10.0.0.1:80", Domain: "d1", Slots: 6}
}

func holder(id string, adapters ...string) charter.BackendConfig {
	return charter.BackendConfig{
		ID: id, Service: "engine", Address: "10.0.0.2:80", Domain: "d1", Slots: 64,
		Holdings: []charter.HoldingConfig{{Model: "m", Adapters: adapters}},
	}
}

func (d *desk) arrive(config visit.Config) []scheduler.Action {
	d.number++
	config.ID, config.Host, config.Arrived = fmt.Sprint("r", d.number), "h", d.now
	if config.Key == "" {
		config.Key = "k"
	}
	return d.core.Handle(d.now, scheduler.NewArrived(d.number, visit.New(config)))
}

// say returns actions in the form in which the tests compare them.
func say(actions []scheduler.Action) []string {
	var words []string
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Send:
			words = append(words, "send "+a.Sheet().Backend())
		case scheduler.Refuse:
			words = append(words, fmt.Sprintf("refuse %d %s", a.Status(), a.Cause()))
		case scheduler.ForwardError:
			words = append(words, "pass")
		case scheduler.Fetch:
			words = append(words, "fetch "+a.Backend()+" "+a.Model()+"/"+a.Adapter())
		case scheduler.CloseIdle:
			words = append(words, "retire "+a.Backend())
		}
	}
	return words
}

func want(t *testing.T, what string, want []string, actions []scheduler.Action) {
	t.Helper()
	if diff := cmp.Diff(want, say(actions)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		path string
		key  string
		left int
		want string
	}{
		"allowed":             {path: "/safe/a", left: 1, want: "send p1"},
		"longest prefix":      {path: "/unsafe/a/b", left: 1, want: "send p1"},
		"no route":            {path: "/other/", left: 1, want: "refuse 404 no_route"},
		"prefix needs slash":  {path: "/safe", left: 1, want: "refuse 404 no_route"},
		"unknown key":         {path: "/safe/a", key: "x", left: 1, want: "refuse 401 unknown_key"},
		"open route":          {path: "/open/a", key: "x", left: 0, want: "send p1"},
		"over quota":          {path: "/safe/a", left: 0, want: "refuse 429 over_quota"},
		"no route, no charge": {path: "/other/", left: 0, want: "refuse 404 no_route"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(plain("p1"))
			d.purse.left = tc.left
			want(t, "decision", []string{tc.want}, d.arrive(visit.Config{Path: tc.path, Key: tc.key}))
		})
	}
}

func TestNothingIsRefusedForGoodBeforeAConfigurationIsKnown(t *testing.T) {
	core := scheduler.NewCore(scheduler.CoreConfig{Limiter: &purse{}, Random: rand.New(rand.NewPCG(1, 1))})
	v := visit.New(visit.Config{Host: "h", Path: "/safe/a", Arrived: noon})
	want(t, "decision", []string{"refuse 503 no_configuration"}, core.Handle(noon, scheduler.NewArrived(1, v)))
	if core.Ready() {
		t.Error("ready without a configuration")
	}
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	d := newDesk(plain("p1"), plain("p2"))
	retries := 0
	const requests = 400
	for range requests {
		d.arrive(visit.Config{Path: "/safe/a"})
		d.now = d.now.Add(time.Millisecond)
		for _, word := range say(d.core.Handle(d.now, scheduler.NewSendEnded(d.number, scheduler.Lost, 0))) {
			if word == "send p1" || word == "send p2" {
				retries++
				d.core.Handle(d.now, scheduler.NewSendEnded(d.number, scheduler.Complete, 200))
			}
		}
	}
	if most := int(0.2*requests + 20); retries > most {
		t.Errorf("%d retries of %d requests, more than %d", retries, requests, most)
	}
	if retries < 20 {
		t.Errorf("only %d retries", retries)
	}
}

func TestRetriesAndConnectionsAreSharedByAllLobbies(t *testing.T) {
	d := newDesk(plain("p1"), plain("p2"))
	d.core.Handle(d.now, scheduler.NewLobbyCountChanged(10))
	retries, links := 0, 0
	for range 20 {
		actions := d.arrive(visit.Config{Path: "/safe/a"})
		if send, ok := actions[0].(scheduler.Send); ok {
			links = send.Connections()
		}
		if strings.HasPrefix(say(d.core.Handle(d.now, scheduler.NewSendEnded(d.number, scheduler.Lost, 0)))[0], "send") {
			retries++
			d.core.Handle(d.now, scheduler.NewSendEnded(d.number, scheduler.Complete, 200))
		}
	}
	// A tenth of 20 extra retries, and a tenth of 20 requests.
	if retries < 1 || retries > 4 {
		t.Errorf("%d retries", retries)
	}
	if diff := cmp.Diff(1, links); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

func TestLeavingBackendServersGetNothing(t *testing.T) {
	d := newDesk(plain("p1"), plain("p2"))
	leaving := plain("p1")
	leaving.Leaving = true
	want(t, "news", []string{"retire p1"}, d.list(leaving, plain("p2")))
	for range 3 {
		want(t, "request", []string{"send p2"}, d.arrive(visit.Config{Path: "/safe/a"}))
	}
	want(t, "gone", []string{"retire p1"}, d.list(plain("p2")))
	want(t, "request", []string{"send p2"}, d.arrive(visit.Config{Path: "/safe/a"}))
}

func TestReplacedOrLackingBackendServersAreNotAskedAgain(t *testing.T) {
	cases := map[string]struct {
		result scheduler.Result
		after  string // decision 2 s later, while the list is as before
	}{
		"replaced": {result: scheduler.Replaced, after: "send e2"},
		"lacking":  {result: scheduler.ModelMissing, after: "send e1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(holder("e1"), holder("e2"))
			d.arrive(visit.Config{Path: "/stream/a", Model: "m"})
			d.core.Handle(d.now, scheduler.NewSendEnded(1, tc.result, 421))
			for range 3 {
				want(t, "soon", []string{"send e2"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
			}
			for number := range uint64(4) {
				d.core.Handle(d.now, scheduler.NewSendEnded(number+1, scheduler.Complete, 200))
			}
			d.now = d.now.Add(2 * time.Second)
			d.list(holder("e1"), holder("e2"))
			want(t, "later", []string{tc.after}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
		})
	}
}

func TestTimeIsOverAtTheRoutesLimitOrTheCallers(t *testing.T) {
	cases := map[string]struct {
		patience time.Duration
		over     time.Duration
	}{
		"route's":  {patience: 5 * time.Second, over: time.Second},
		"caller's": {patience: 400 * time.Millisecond, over: 400 * time.Millisecond},
		"unknown":  {over: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(plain("p1"))
			d.arrive(visit.Config{Path: "/unsafe/a", Patience: tc.patience})
			want(t, "before", nil, d.core.Tick(noon.Add(tc.over-time.Millisecond)))
			want(t, "after", []string{"refuse 504 deadline_exceeded"}, d.core.Tick(noon.Add(tc.over)))
		})
	}
}

func TestStreamWaitsForItsModelAndNoLongerThanItsCaller(t *testing.T) {
	d := newDesk(plain("p1"))
	want(t, "arrival", nil, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
	d.now = d.now.Add(500 * time.Millisecond)
	want(t, "model loaded", []string{"send e1"}, d.list(plain("p1"), holder("e1")))

	d = newDesk(plain("p1"))
	d.arrive(visit.Config{Path: "/stream/a", Model: "m"})
	want(t, "too late", []string{"refuse 503 no_backend"}, d.core.Tick(noon.Add(1300*time.Millisecond)))
	if diff := cmp.Diff(1, d.purse.refunded); diff != "" {
		t.Errorf("refunds (-want +got):\n%s", diff)
	}
}

func TestRequestThatNoBackendServerHadIsRefusedAsNotRun(t *testing.T) {
	d := newDesk(holder("e1"))
	want(t, "arrival", []string{"fetch e1 m/a1"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m", Adapter: "a1", Patience: time.Second}))
	want(t, "time over", []string{"refuse 503 no_backend"}, d.core.Tick(noon.Add(time.Second)))
}

func TestTimeOverAfterASend(t *testing.T) {
	cases := map[string]struct {
		result scheduler.Result
		want   string
	}{
		"nothing was sent": {result: scheduler.Unsent, want: "refuse 503 no_backend"},
		"it was not run":   {result: scheduler.Rejected, want: "refuse 503 no_backend"},
		"it may have run":  {result: scheduler.Lost, want: "refuse 504 deadline_exceeded"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(holder("e1"), holder("e2"))
			d.arrive(visit.Config{Path: "/resumable/a", Model: "m", Adapter: "a1", Patience: time.Second})
			fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e1", Model: "m", Adapter: "a1"})
			d.core.Handle(d.now, scheduler.NewFetchEnded(fetch, 3*time.Second))
			want(t, "after the send", []string{"fetch e2 m/a1"}, d.core.Handle(d.now, scheduler.NewSendEnded(1, tc.result, 0)))
			want(t, "time over", []string{tc.want}, d.core.Tick(noon.Add(time.Second)))
		})
	}
}

func TestAdapterIsFetchedOnceAndThenLeased(t *testing.T) {
	d := newDesk(holder("e1"))
	ask := visit.Config{Path: "/stream/a", Model: "m", Adapter: "a1"}
	want(t, "first", []string{"fetch e1 m/a1"}, d.arrive(ask))
	fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e1", Model: "m", Adapter: "a1"})
	want(t, "there", []string{"send e1"}, d.core.Handle(d.now, scheduler.NewFetchEnded(fetch, 3*time.Second)))
	want(t, "second", []string{"send e1"}, d.arrive(ask))
	d.now = d.now.Add(1600 * time.Millisecond)
	want(t, "soon to end", []string{"fetch e1 m/a1", "send e1"}, d.arrive(ask))
	d.now = d.now.Add(2 * time.Second)
	want(t, "ended", []string{"fetch e1 m/a1"}, d.arrive(ask))
}

func TestAdapterThatCannotComeIsFetchedElsewhere(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	d.arrive(visit.Config{Path: "/stream/a", Model: "m", Adapter: "a1"})
	fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: "e1", Model: "m", Adapter: "a1"})
	want(t, "decision", []string{"fetch e2 m/a1"}, d.core.Handle(d.now, scheduler.NewFetchEnded(fetch, 0)))
}

func TestFullBackendServersAreAvoided(t *testing.T) {
	far := holder("e2")
	far.Domain = "d2"
	d := newDesk(holder("e1"), far)
	d.core.Handle(d.now, scheduler.NewDigestReceived(notice.NewDigest(notice.DigestConfig{
		Sender: "10.0.0.9:7000", Loads: []notice.LoadConfig{{Backend: "e1", Open: 60}, {Backend: "e2", Open: 50}},
	})))
	want(t, "request", []string{"send e2"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
}

func TestLoadOfOtherLobbiesCounts(t *testing.T) {
	d := newDesk(plain("p1"), plain("p2"))
	d.core.Handle(d.now, scheduler.NewDigestReceived(notice.NewDigest(notice.DigestConfig{
		Sender: "10.0.0.9:7000", Loads: []notice.LoadConfig{{Backend: "p1", Open: 5}},
	})))
	want(t, "request", []string{"send p2"}, d.arrive(visit.Config{Path: "/safe/a"}))
}

func TestModelsThatThePlanTakesAwayAreAskedForElsewhere(t *testing.T) {
	d := newDesk(holder("e1"), holder("e2"))
	d.core.Handle(d.now, scheduler.NewPlanChanged(map[string][]string{"e1": {"n"}, "e2": {"m"}}))
	for range 3 {
		want(t, "request", []string{"send e2"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
	}
}

func TestDrain(t *testing.T) {
	d := newDesk(plain("p1"))
	d.arrive(visit.Config{Path: "/unsafe/a"})
	d.core.Handle(d.now, scheduler.Draining{})
	if d.core.Ready() {
		t.Error("ready while draining")
	}
	want(t, "at once", []string{"send p1"}, d.arrive(visit.Config{Path: "/unsafe/a"}))
	want(t, "no waiting", []string{"refuse 503 no_backend"}, d.arrive(visit.Config{Path: "/stream/a", Model: "m"}))
	d.now = d.now.Add(3 * time.Second)
	want(t, "later", []string{"refuse 503 leaving"}, d.arrive(visit.Config{Path: "/unsafe/a"}))
	want(t, "end", []string{"refuse 504 deadline_exceeded", "refuse 504 deadline_exceeded"}, d.core.Handle(d.now, scheduler.Closing{}))
	if diff := cmp.Diff(0, d.core.Open()); diff != "" {
		t.Errorf("open requests (-want +got):\n%s", diff)
	}
}
