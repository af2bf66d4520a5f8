package routingsim

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/entry/router"
)

// Targets of the service, and the run that they are measured in.
const (
	firstTokenTarget    = 570 * time.Millisecond
	tokenIntervalTarget = 48 * time.Millisecond
	attainmentTarget    = 95 // per cent of requests
	warmUp              = 10 * time.Second
	runTime             = 60 * time.Second
	instanceLostAt      = 25 * time.Second
	domainLostAt        = 35 * time.Second
	slots               = 20
	meanTokens          = 100
	sharedBlocks        = 8
	utilization         = 0.5 // share of all slots that the tenants' rates take, so that the rest holds them without one domain
	reportLag           = 2 * time.Second
)

// deployment is the size of one customer's fleet.
type deployment struct {
	domains          []string
	sides            int
	entries          int
	models           int
	crossDomainDelay time.Duration // one way to another failure domain
}

var deployments = map[string]deployment{
	"viti":   {domains: []string{"v1", "v2", "v3"}, sides: 20, entries: 3, models: 40, crossDomainDelay: time.Millisecond},
	"kigali": {domains: []string{"k1", "k2", "k3", "k4"}, sides: 9, entries: 4, models: 20, crossDomainDelay: 500 * time.Microsecond},
}

// tenantShares are the tenants' parts of the load; the first is large.
var tenantShares = []float64{0.35, 0.3, 0.2, 0.1, 0.05}

// demand is one case of the benchmark.
type workload struct {
	tenantFlood bool // the first tenant sends five times its rate
	modelSurge  bool // three seldom used models are asked for ten times as often
	outages     bool // an instance is lost, then a failure domain
}

var workloads = map[string]workload{
	"calm":                     {},
	"a tenant at five times":   {tenantFlood: true},
	"models at ten times":      {modelSurge: true},
	"instance and domain lost": {outages: true},
}

// policy is a way to route and queue.
type policy struct {
	chooseSide    func(f *fleet) func(e *entry, r *request) string
	rewriteSubmit func(config protocol.SubmitConfig) protocol.Submit
	noAffinity    bool
}

var policies = map[string]policy{
	"ours":        {},
	"random":      {chooseSide: chooseRandom},
	"lagging":     {chooseSide: chooseByLaggingReport},
	"first in":    {rewriteSubmit: orderFirstIn},
	"no affinity": {noAffinity: true},
}

// measures are the figures of one run.
type metrics struct {
	attainment            float64 // per cent of the requests of tenants inside their rate
	goodputPerAccel       float64 // attained requests a second on one accelerator, of all tenants
	worstTenantAttainment float64 // per cent attained of the worst-served tenant inside its rate
	wronglyRefused        int     // requests refused although their tenant is inside its rate
	moves                 int     // models moved
	firstTokenP95         time.Duration
}

func (m metrics) String() string {
	return fmt.Sprintf("attained %.1f%%, %.3f/s for each accelerator, worst tenant %.1f%%, wrongly refused %d, moves %d, first token p95 %s",
		m.attainment, m.goodputPerAccel, m.worstTenantAttainment, m.wronglyRefused, m.moves, m.firstTokenP95.Round(time.Millisecond))
}

// rehearse runs one case under one policy.
func simulate(t testing.TB, d deployment, wanted workload, p policy, seed uint64) metrics {
	t.Helper()
	config := fleetConfig{domains: d.domains, sides: d.sides, slots: slots, queue: queueLimit, entries: d.entries, copies: placeCopies(d)}
	config.inventory = buildInventory(t, config)
	w := newSimulation(seed)
	f := &fleet{}
	w.deliveryDelays = func(from, to string) []time.Duration {
		if f.domainOf(from) == f.domainOf(to) {
			return []time.Duration{200 * time.Microsecond}
		}
		return []time.Duration{d.crossDomainDelay}
	}
	*f = *newFleet(w, config)
	for _, e := range f.entries {
		e.fleet = f
	}
	for _, s := range f.sides {
		s.fleet = f
	}
	if p.chooseSide != nil {
		f.chooseSide = p.chooseSide(f)
	}
	f.rewriteSubmit = p.rewriteSubmit
	f.copies = config.copies
	begin := w.now
	f.generateLoad(d, wanted, p)
	if wanted.outages {
		w.after(instanceLostAt, func() { f.stopSide(f.sides[f.sideNames[0]]) })
		w.after(domainLostAt, func() {
			for _, name := range f.sideNames {
				if s := f.sides[name]; s.domain == d.domains[1] {
					f.stopSide(s)
				}
			}
		})
	}
	w.runUntil(begin.Add(runTime + time.Minute))
	return f.measure(begin, wanted)
}

// rehearsed keeps the figures of our own policy, which several tests compare.
var productionRuns sync.Map

func simulateProduction(t testing.TB, size, name string) metrics {
	t.Helper()
	run, _ := productionRuns.LoadOrStore(size+"/"+name, sync.OnceValue(func() metrics {
		return simulate(t, deployments[size], workloads[name], policies["ours"], 1)
	}))
	return run.(func() metrics)()
}

// spread places every model on three sides in different failure domains, and
// the most used quarter on twice as many.
func placeCopies(d deployment) map[string][]string {
	copies := make(map[string][]string)
	for m := range d.models {
		wanted := 3
		if m < d.models/4 {
			wanted = 6
		}
		for k := range wanted {
			domain := (m + k) % len(d.domains)
			inDomain := (d.sides - domain + len(d.domains) - 1) / len(d.domains)
			holder := sideName(domain + (m/len(d.domains)+k/len(d.domains))%inDomain*len(d.domains))
			if !slices.Contains(copies[modelName(m)], holder) {
				copies[modelName(m)] = append(copies[modelName(m)], holder)
			}
		}
	}
	return copies
}

func modelName(m int) string { return fmt.Sprintf("model-%02d", m) }

// generate schedules the requests of all tenants, as Poisson arrivals.
func (f *fleet) generateLoad(d deployment, wanted workload, p policy) {
	perSecond := utilization * float64(d.sides*slots) / (meanTokens * (stepBase + slots*stepPerRequest).Seconds())
	weights := make([]float64, d.models)
	for m := range weights {
		weights[m] = 1 / math.Pow(float64(m+1), 0.6)
		if wanted.modelSurge && m >= d.models-3 {
			weights[m] *= 10
		}
	}
	random := rand.New(rand.NewPCG(f.sim.random.Uint64(), 3))
	for tenant, share := range tenantShares {
		rate := perSecond * share
		if wanted.tenantFlood && tenant == 0 {
			rate *= 5
		}
		for at := time.Duration(0); at < runTime; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			r := newRequest(random, tenant, pickWeighted(random, weights), len(f.requests), p)
			f.requests[r.config.ID] = r
			f.sim.after(at, func() { f.send(f.entries[random.IntN(len(f.entries))], r) })
		}
	}
}

func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	at := random.Float64() * total
	for m, weight := range weights {
		if at -= weight; at < 0 {
			return m
		}
	}
	return len(weights) - 1
}

// body stands for the bytes of every request; the engine reads its own prompt.
var body = make([]byte, 4*(sharedBlocks*blockTokens+200))

// newRecord returns a request whose prompt begins with the blocks that the
// tenant shares among its requests to the model.
func newRequest(random *rand.Rand, tenant, model, number int, p policy) *request {
	r := &request{outputTokens: meanTokens/2 + random.IntN(meanTokens+1), config: router.RequestConfig{
		ID: fmt.Sprint("r", number), Tenant: fmt.Sprint("tenant-", tenant), Model: modelName(model), Stream: true,
		Idempotent: true, Urgent: number%2 == 0, Tokens: sharedBlocks*blockTokens + 2*meanTokens,
	}}
	r.prompt.tokens = sharedBlocks*blockTokens + 200
	r.config.Body = body
	for block := range sharedBlocks {
		r.prompt.blocks = append(r.prompt.blocks, (tenant*1000+model)*sharedBlocks+block)
	}
	if !p.noAffinity {
		shared := fmt.Sprintf("%d/%d ", tenant, model)
		r.config.Prompt = bytes.Repeat([]byte(shared), sharedBlocks<<10/len(shared)+1)
	}
	return r
}

func (f *fleet) domainOf(name string) string {
	if s, ok := f.sides[name]; ok {
		return s.domain
	}
	for _, e := range f.entries {
		if e.name == name {
			return e.domain
		}
	}
	return ""
}

// lose ends a side and its engine for good.
func (f *fleet) stopSide(s *side) {
	s.stopped = true
	s.engine.stopped = true
	s.engine.batch = nil
}

// inside reports whether a request's tenant keeps to its rate.
func (d workload) withinRate(r *request) bool { return !d.tenantFlood || r.config.Tenant != "tenant-0" }

func (f *fleet) measure(begin time.Time, wanted workload) metrics {
	var m metrics
	all, attained := make(map[string]int), make(map[string]int)
	counted, insideAll, insideAttained := 0, 0, 0
	var firsts []time.Duration
	for _, r := range f.requests {
		if r.sentAt.Sub(begin) < warmUp {
			continue
		}
		ok := r.attained()
		if ok {
			counted++
		}
		if !wanted.withinRate(r) {
			continue
		}
		insideAll++
		all[r.config.Tenant]++
		if ok {
			insideAttained++
			attained[r.config.Tenant]++
		}
		if r.refused && r.answer.Len() == 0 {
			m.wronglyRefused++
		}
		if !r.firstTokenAt.IsZero() {
			firsts = append(firsts, r.firstTokenAt.Sub(r.sentAt))
		}
	}
	slices.Sort(firsts)
	m.firstTokenP95 = firsts[len(firsts)*95/100]
	m.attainment = 100 * float64(insideAttained) / float64(insideAll)
	m.goodputPerAccel = float64(counted) / (runTime - warmUp).Seconds() / float64(len(f.sides))
	m.worstTenantAttainment = 100
	for tenant, requests := range all {
		m.worstTenantAttainment = min(m.worstTenantAttainment, 100*float64(attained[tenant])/float64(requests))
	}
	return m
}

func (r *request) attained() bool {
	if !r.complete || r.firstTokenAt.Sub(r.sentAt) > firstTokenTarget {
		return false
	}
	return r.endedAt.Sub(r.firstTokenAt) <= tokenIntervalTarget*time.Duration(r.outputTokens-1)
}

func chooseRandom(f *fleet) func(e *entry, r *request) string {
	return func(_ *entry, r *request) string {
		holders := f.copies[r.config.Model]
		return holders[f.sim.random.IntN(len(holders))]
	}
}

// chooseByLaggingReport picks the least loaded holder by reports that all
// entries get at once every two seconds, the failed sides aside.
func chooseByLaggingReport(f *fleet) func(e *entry, r *request) string {
	loads := make(map[string]int)
	var collect func()
	collect = func() {
		for name, s := range f.sides {
			loads[name] = s.core.Queued() + s.core.Running()
			if s.stopped {
				loads[name] = math.MaxInt
			}
		}
		f.sim.after(reportLag, collect)
	}
	collect()
	return func(_ *entry, r *request) string {
		holders := f.copies[r.config.Model]
		return slices.MinFunc(holders, func(a, b string) int { return loads[a] - loads[b] })
	}
}

// firstIn makes a queue first in, first out: all attempts of one tenant and one
// class, with the same time left.
func orderFirstIn(config protocol.SubmitConfig) protocol.Submit {
	config.Tenant, config.Urgent, config.Remaining = "", false, time.Hour
	return protocol.NewSubmit(config)
}

// TestPolicyMeetsItsTargets bounds the deterministic figures by the targets.
func TestPolicyMeetsItsTargets(t *testing.T) {
	for size := range deployments {
		for name := range workloads {
			t.Run(size+"/"+strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				got := simulateProduction(t, size, name)
				t.Log(got)
				if got.attainment < attainmentTarget {
					t.Errorf("%.1f%% attained, want %d%%", got.attainment, attainmentTarget)
				}
				if got.worstTenantAttainment < attainmentTarget {
					t.Errorf("worst tenant at %.1f%%, want %d%%", got.worstTenantAttainment, attainmentTarget)
				}
				if diff := cmp.Diff(0, got.wronglyRefused); diff != "" {
					t.Errorf("refused inside the rate (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestPolicyBeatsItsBaselines compares each mechanism with what it replaces:
// probing with random routing and with lagging reports, the queue's order with
// first in, first out under a flood, prefix affinity with none when it is calm.
func TestPolicyBeatsItsBaselines(t *testing.T) {
	attainsMore := func(ours, other metrics) bool {
		sooner := ours.attainment == other.attainment && ours.firstTokenP95 < other.firstTokenP95
		return (ours.attainment > other.attainment || sooner) && ours.wronglyRefused <= other.wronglyRefused
	}
	answersSooner := func(ours, other metrics) bool {
		return ours.firstTokenP95 < other.firstTokenP95 && ours.attainment >= other.attainment
	}
	cases := map[string]struct {
		demands []string
		beats   func(ours, other metrics) bool
	}{
		"random":      {demands: slices.Collect(maps.Keys(workloads)), beats: attainsMore},
		"lagging":     {demands: slices.Collect(maps.Keys(workloads)), beats: attainsMore},
		"first in":    {demands: []string{"a tenant at five times"}, beats: attainsMore},
		"no affinity": {demands: []string{"calm"}, beats: answersSooner},
	}
	for size, d := range deployments {
		for baseline, tc := range cases {
			for _, name := range tc.demands {
				t.Run(strings.ReplaceAll(size+"/"+name+"/"+baseline, " ", "-"), func(t *testing.T) {
					t.Parallel()
					ours, other := simulateProduction(t, size, name), simulate(t, d, workloads[name], policies[baseline], 1)
					t.Logf("ours: %s; %s: %s", ours, baseline, other)
					if !tc.beats(ours, other) {
						t.Errorf("the baseline %q is not beaten", baseline)
					}
				})
			}
		}
	}
}
