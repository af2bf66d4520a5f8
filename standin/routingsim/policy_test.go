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

// Targets of the service, and parameters of the runs that measure it.
const (
	firstTokenTarget    = 570 * time.Millisecond
	tokenIntervalTarget = 48 * time.Millisecond
	attainmentTarget    = 95               // percent of requests that must meet the latency targets
	warmUp              = 10 * time.Second // time at the start whose requests are not measured
	runTime             = 60 * time.Second // time in which requests are sent
	instanceLostAt      = 25 * time.Second
	domainLostAt        = 35 * time.Second
	slots               = 20              // requests that one engine runs at once
	meanTokens          = 100             // tokens of an average answer
	sharedBlocks        = 8               // prompt blocks shared by a tenant's requests to one model
	utilization         = 0.5             // share of all slots that the tenants' rates use; low enough for the fleet to serve them without one failure domain
	reportLag           = 2 * time.Second // period of the reports of the baseline with lagging reports
)

// deployment describes the fleet of one customer.
type deployment struct {
	domains          []string
	sides            int
	entries          int
	models           int
	crossDomainDelay time.Duration // network delay, one way, between two failure domains
}

var deployments = map[string]deployment{
	"viti":   {domains: []string{"v1", "v2", "v3"}, sides: 20, entries: 3, models: 40, crossDomainDelay: time.Millisecond},
	"kigali": {domains: []string{"k1", "k2", "k3", "k4"}, sides: 9, entries: 4, models: 20, crossDomainDelay: 500 * time.Microsecond},
}

// tenantShares are the tenants' shares of the load. The first tenant, which may
// exceed its rate, has the largest.
var tenantShares = []float64{0.35, 0.3, 0.2, 0.1, 0.05}

// workload is one case of the benchmark.
type workload struct {
	tenantFlood bool // the first tenant sends five times its rate
	modelSurge  bool // the three least popular models are requested ten times as often
	outages     bool // an instance is lost, then a failure domain
}

var workloads = map[string]workload{
	"calm":                                {},
	"one tenant at five times its rate":   {tenantFlood: true},
	"rare models at ten times their rate": {modelSurge: true},
	"instance and domain lost":            {outages: true},
}

// policy is a way to route and queue requests. Its zero value is the policy of the
// real routers and dispatchers; the others are baselines that replace one
// mechanism of it.
type policy struct {
	chooseSide    func(f *fleet) func(e *entry, r *request) string
	rewriteSubmit func(config protocol.SubmitConfig) protocol.Submit
	noAffinity    bool // requests carry no prompt prefix to route by
}

var policies = map[string]policy{
	"production":          {},
	"random":              {chooseSide: chooseRandom},
	"lagging reports":     {chooseSide: chooseByLaggingReport},
	"first in, first out": {rewriteSubmit: orderFirstIn},
	"no affinity":         {noAffinity: true},
}

// metrics are the results of one run.
type metrics struct {
	attainment            float64       // percent of the requests of tenants within their rate that meet the targets
	goodputPerAccel       float64       // requests of all tenants that meet the targets, per second and accelerator
	worstTenantAttainment float64       // lowest attainment, in percent, of a tenant within its rate
	wronglyRefused        int           // refused requests of tenants within their rate
	moves                 int           // models moved to another backend server
	firstTokenP95         time.Duration // 95th percentile of the time to the first token
}

func (m metrics) String() string {
	return fmt.Sprintf("attained %.1f%%, %.3f/s for each accelerator, worst tenant %.1f%%, wrongly refused %d, moves %d, first token p95 %s",
		m.attainment, m.goodputPerAccel, m.worstTenantAttainment, m.wronglyRefused, m.moves, m.firstTokenP95.Round(time.Millisecond))
}

// simulate runs one workload under one policy.
func simulate(t testing.TB, d deployment, load workload, p policy, seed uint64) metrics {
	t.Helper()
	config := fleetConfig{domains: d.domains, sides: d.sides, slots: slots, queue: queueLimit, entries: d.entries, copies: placeCopies(d)}
	config.inventory = buildInventory(t, config)
	sim := newSimulation(seed)
	f := &fleet{}
	sim.deliveryDelays = func(from, to string) []time.Duration {
		if f.domainOf(from) == f.domainOf(to) {
			return []time.Duration{200 * time.Microsecond}
		}
		return []time.Duration{d.crossDomainDelay}
	}
	*f = *newFleet(sim, config)
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
	begin := sim.now
	f.generateLoad(d, load, p)
	if load.outages {
		sim.after(instanceLostAt, func() { f.stopSide(f.sides[f.sideNames[0]]) })
		sim.after(domainLostAt, func() {
			for _, name := range f.sideNames {
				if s := f.sides[name]; s.domain == d.domains[1] {
					f.stopSide(s)
				}
			}
		})
	}
	sim.runUntil(begin.Add(runTime + time.Minute))
	return f.measure(begin, load)
}

// productionRuns holds the results of the production policy, which several tests
// use, by deployment and workload.
var productionRuns sync.Map

func simulateProduction(t testing.TB, deploymentName, workloadName string) metrics {
	t.Helper()
	run, _ := productionRuns.LoadOrStore(deploymentName+"/"+workloadName, sync.OnceValue(func() metrics {
		return simulate(t, deployments[deploymentName], workloads[workloadName], policies["production"], 1)
	}))
	return run.(func() metrics)()
}

// placeCopies places every model on three sides in different failure domains,
// and the most popular quarter of the models on twice as many sides.
func placeCopies(d deployment) map[string][]string {
	copies := make(map[string][]string)
	for m := range d.models {
		copyCount := 3
		if m < d.models/4 {
			copyCount = 6
		}
		for k := range copyCount {
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

// generateLoad schedules the requests of all tenants with Poisson arrivals.
func (f *fleet) generateLoad(d deployment, load workload, p policy) {
	perSecond := utilization * float64(d.sides*slots) / (meanTokens * (stepBase + slots*stepPerRequest).Seconds())
	weights := make([]float64, d.models)
	for m := range weights {
		// Model popularity follows a Zipf distribution.
		weights[m] = 1 / math.Pow(float64(m+1), 0.6)
		if load.modelSurge && m >= d.models-3 {
			weights[m] *= 10
		}
	}
	random := rand.New(rand.NewPCG(f.sim.random.Uint64(), 3))
	for tenant, share := range tenantShares {
		rate := perSecond * share
		if load.tenantFlood && tenant == 0 {
			rate *= 5
		}
		for at := time.Duration(0); at < runTime; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			r := newRequest(random, tenant, pickWeighted(random, weights), len(f.requests), p)
			f.requests[r.config.ID] = r
			f.sim.after(at, func() { f.send(f.entries[random.IntN(len(f.entries))], r) })
		}
	}
}

// pickWeighted returns a random index, drawn by weight.
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

// body is the body of every request. The fake engine uses request.prompt instead.
var body = make([]byte, 4*(sharedBlocks*blockTokens+200))

// newRequest returns a request whose prompt begins with the blocks that all
// requests of the tenant to the model share.
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

// domainOf returns the failure domain of a side or an entry.
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

// stopSide stops a side and its engine for the rest of the run.
func (f *fleet) stopSide(s *side) {
	s.stopped = true
	s.engine.stopped = true
	s.engine.batch = nil
}

// withinRate reports whether a request's tenant keeps within its rate.
func (w workload) withinRate(r *request) bool { return !w.tenantFlood || r.config.Tenant != "tenant-0" }

// measure returns the results of a run, without the requests of the warm-up.
func (f *fleet) measure(begin time.Time, load workload) metrics {
	var m metrics
	total, attained := make(map[string]int), make(map[string]int)
	attainedCount, withinRateCount, withinRateAttained := 0, 0, 0
	var firsts []time.Duration
	for _, r := range f.requests {
		if r.sentAt.Sub(begin) < warmUp {
			continue
		}
		ok := r.attained()
		if ok {
			attainedCount++
		}
		if !load.withinRate(r) {
			continue
		}
		withinRateCount++
		total[r.config.Tenant]++
		if ok {
			withinRateAttained++
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
	m.attainment = 100 * float64(withinRateAttained) / float64(withinRateCount)
	m.goodputPerAccel = float64(attainedCount) / (runTime - warmUp).Seconds() / float64(len(f.sides))
	m.worstTenantAttainment = 100
	for tenant, requests := range total {
		m.worstTenantAttainment = min(m.worstTenantAttainment, 100*float64(attained[tenant])/float64(requests))
	}
	return m
}

// attained reports whether a request met the targets: its answer is complete, and
// the first token and the average interval between tokens were in time.
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

// chooseByLaggingReport chooses the least loaded side that holds the model. The
// loads come from reports that all entries get at the same time, every two
// seconds, in which stopped sides have the highest load.
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

// orderFirstIn makes a queue first in, first out: it gives all attempts the same
// tenant, the same class and the same remaining time.
func orderFirstIn(config protocol.SubmitConfig) protocol.Submit {
	config.Tenant, config.Urgent, config.Remaining = "", false, time.Hour
	return protocol.NewSubmit(config)
}

// TestPolicyMeetsItsTargets compares the results of the production policy, which
// are deterministic, with the targets.
func TestPolicyMeetsItsTargets(t *testing.T) {
	for deploymentName := range deployments {
		for workloadName := range workloads {
			t.Run(deploymentName+"/"+strings.ReplaceAll(workloadName, " ", "-"), func(t *testing.T) {
				t.Parallel()
				got := simulateProduction(t, deploymentName, workloadName)
				t.Log(got)
				if got.attainment < attainmentTarget {
					t.Errorf("%.1f%% attained, want %d%%", got.attainment, attainmentTarget)
				}
				if got.worstTenantAttainment < attainmentTarget {
					t.Errorf("worst tenant at %.1f%%, want %d%%", got.worstTenantAttainment, attainmentTarget)
				}
				if diff := cmp.Diff(0, got.wronglyRefused); diff != "" {
					t.Errorf("refused requests of tenants within their rate (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestPolicyBeatsItsBaselines compares the production policy with baselines that each
// lack one mechanism: random routing or lagging reports instead of probing, first
// in, first out instead of the queue's order while one tenant exceeds its rate, and
// no prefix affinity under a calm workload.
func TestPolicyBeatsItsBaselines(t *testing.T) {
	attainsMore := func(production, other metrics) bool {
		sooner := production.attainment == other.attainment && production.firstTokenP95 < other.firstTokenP95
		return (production.attainment > other.attainment || sooner) && production.wronglyRefused <= other.wronglyRefused
	}
	answersSooner := func(production, other metrics) bool {
		return production.firstTokenP95 < other.firstTokenP95 && production.attainment >= other.attainment
	}
	cases := map[string]struct {
		workloads []string
		beats     func(production, other metrics) bool
	}{
		"random":              {workloads: slices.Collect(maps.Keys(workloads)), beats: attainsMore},
		"lagging reports":     {workloads: slices.Collect(maps.Keys(workloads)), beats: attainsMore},
		"first in, first out": {workloads: []string{"one tenant at five times its rate"}, beats: attainsMore},
		"no affinity":         {workloads: []string{"calm"}, beats: answersSooner},
	}
	for deploymentName, d := range deployments {
		for baseline, tc := range cases {
			for _, workloadName := range tc.workloads {
				t.Run(strings.ReplaceAll(deploymentName+"/"+workloadName+"/"+baseline, " ", "-"), func(t *testing.T) {
					t.Parallel()
					production, other := simulateProduction(t, deploymentName, workloadName), simulate(t, d, workloads[workloadName], policies[baseline], 1)
					t.Logf("production: %s; %s: %s", production, baseline, other)
					if !tc.beats(production, other) {
						t.Errorf("the policy does not beat the baseline %q", baseline)
					}
				})
			}
		}
	}
}
