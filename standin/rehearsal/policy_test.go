package rehearsal

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
	firstTokenTarget = 570 * time.Millisecond
	betweenTarget    = 48 * time.Millisecond
	attainedTarget   = 95 // per cent of requests
	warmUp           = 10 * time.Second
	runTime          = 60 * time.Second
	instanceLostAt   = 25 * time.Second
	domainLostAt     = 35 * time.Second
	slots            = 20
	meanTokens       = 100
	sharedBlocks     = 8
	load             = 0.5 // share of all slots that the tenants' rates take, so that the rest holds them without one domain
	reportLag        = 2 * time.Second
)

// deployment is the size of one customer's fleet.
type deployment struct {
	domains []string
	sides   int
	entries int
	models  int
	away    time.Duration // one way to another failure domain
}

var deployments = map[string]deployment{
	"viti":   {domains: []string{"v1", "v2", "v3"}, sides: 20, entries: 3, models: 40, away: time.Millisecond},
	"kigali": {domains: []string{"k1", "k2", "k3", "k4"}, sides: 9, entries: 4, models: 20, away: 500 * time.Microsecond},
}

// tenantShares are the tenants' parts of the load; the first is large.
var tenantShares = []float64{0.35, 0.3, 0.2, 0.1, 0.05}

// demand is one case of the benchmark.
type demand struct {
	flood   bool // the first tenant sends five times its rate
	tenfold bool // three seldom used models are asked for ten times as often
	losses  bool // an instance is lost, then a failure domain
}

var demands = map[string]demand{
	"calm":                     {},
	"a tenant at five times":   {flood: true},
	"models at ten times":      {tenfold: true},
	"instance and domain lost": {losses: true},
}

// policy is a way to route and queue.
type policy struct {
	choose     func(f *fleet) func(e *entry, r *record) string
	flatten    func(config protocol.SubmitConfig) protocol.Submit
	noAffinity bool
}

var policies = map[string]policy{
	"ours":        {},
	"random":      {choose: chooseRandom},
	"lagging":     {choose: chooseByLaggingReport},
	"first in":    {flatten: firstIn},
	"no affinity": {noAffinity: true},
}

// measures are the figures of one run.
type measures struct {
	attained     float64 // per cent of the requests of tenants inside their rate
	perAccel     float64 // attained requests a second on one accelerator, of all tenants
	worstTenant  float64 // per cent attained of the worst-served tenant inside its rate
	refused      int     // requests refused although their tenant is inside its rate
	moves        int     // models moved
	firstToken95 time.Duration
}

func (m measures) String() string {
	return fmt.Sprintf("attained %.1f%%, %.3f/s for each accelerator, worst tenant %.1f%%, wrongly refused %d, moves %d, first token p95 %s",
		m.attained, m.perAccel, m.worstTenant, m.refused, m.moves, m.firstToken95.Round(time.Millisecond))
}

// rehearse runs one case under one policy.
func rehearse(t testing.TB, d deployment, wanted demand, p policy, seed uint64) measures {
	t.Helper()
	config := fleetConfig{domains: d.domains, sides: d.sides, slots: slots, queue: sideQueue, entries: d.entries, copies: spread(d)}
	config.inventory = describe(t, config)
	w := newWorld(seed)
	f := &fleet{}
	w.travel = func(from, to string) []time.Duration {
		if f.domainOf(from) == f.domainOf(to) {
			return []time.Duration{200 * time.Microsecond}
		}
		return []time.Duration{d.away}
	}
	*f = *newFleet(w, config)
	for _, e := range f.entries {
		e.fleet = f
	}
	for _, s := range f.sides {
		s.fleet = f
	}
	if p.choose != nil {
		f.choose = p.choose(f)
	}
	f.flatten = p.flatten
	f.copies = config.copies
	begin := w.now
	f.generate(d, wanted, p)
	if wanted.losses {
		w.after(instanceLostAt, func() { f.lose(f.sides[f.names[0]]) })
		w.after(domainLostAt, func() {
			for _, name := range f.names {
				if s := f.sides[name]; s.domain == d.domains[1] {
					f.lose(s)
				}
			}
		})
	}
	w.runUntil(begin.Add(runTime + time.Minute))
	return f.measure(begin, wanted)
}

// rehearsed keeps the figures of our own policy, which several tests compare.
var rehearsed sync.Map

func rehearseOurs(t testing.TB, size, name string) measures {
	t.Helper()
	run, _ := rehearsed.LoadOrStore(size+"/"+name, sync.OnceValue(func() measures {
		return rehearse(t, deployments[size], demands[name], policies["ours"], 1)
	}))
	return run.(func() measures)()
}

// spread places every model on three sides in different failure domains, and
// the most used quarter on twice as many.
func spread(d deployment) map[string][]string {
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
func (f *fleet) generate(d deployment, wanted demand, p policy) {
	perSecond := load * float64(d.sides*slots) / (meanTokens * (stepBase + slots*stepEach).Seconds())
	weights := make([]float64, d.models)
	for m := range weights {
		weights[m] = 1 / math.Pow(float64(m+1), 0.6)
		if wanted.tenfold && m >= d.models-3 {
			weights[m] *= 10
		}
	}
	random := rand.New(rand.NewPCG(f.world.random.Uint64(), 3))
	for tenant, share := range tenantShares {
		rate := perSecond * share
		if wanted.flood && tenant == 0 {
			rate *= 5
		}
		for at := time.Duration(0); at < runTime; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			r := newRecord(random, tenant, pick(random, weights), len(f.records), p)
			f.records[r.config.ID] = r
			f.world.after(at, func() { f.ask(f.entries[random.IntN(len(f.entries))], r) })
		}
	}
}

func pick(random *rand.Rand, weights []float64) int {
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
func newRecord(random *rand.Rand, tenant, model, number int, p policy) *record {
	r := &record{want: meanTokens/2 + random.IntN(meanTokens+1), config: router.RequestConfig{
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
func (f *fleet) lose(s *side) {
	s.dead = true
	s.engine.dead = true
	s.engine.batch = nil
}

// inside reports whether a request's tenant keeps to its rate.
func (d demand) inside(r *record) bool { return !d.flood || r.config.Tenant != "tenant-0" }

func (f *fleet) measure(begin time.Time, wanted demand) measures {
	var m measures
	all, attained := make(map[string]int), make(map[string]int)
	counted, insideAll, insideAttained := 0, 0, 0
	var firsts []time.Duration
	for _, r := range f.records {
		if r.asked.Sub(begin) < warmUp {
			continue
		}
		ok := r.attained()
		if ok {
			counted++
		}
		if !wanted.inside(r) {
			continue
		}
		insideAll++
		all[r.config.Tenant]++
		if ok {
			insideAttained++
			attained[r.config.Tenant]++
		}
		if r.refused && r.answer.Len() == 0 {
			m.refused++
		}
		if !r.firstAt.IsZero() {
			firsts = append(firsts, r.firstAt.Sub(r.asked))
		}
	}
	slices.Sort(firsts)
	m.firstToken95 = firsts[len(firsts)*95/100]
	m.attained = 100 * float64(insideAttained) / float64(insideAll)
	m.perAccel = float64(counted) / (runTime - warmUp).Seconds() / float64(len(f.sides))
	m.worstTenant = 100
	for tenant, requests := range all {
		m.worstTenant = min(m.worstTenant, 100*float64(attained[tenant])/float64(requests))
	}
	return m
}

func (r *record) attained() bool {
	if !r.whole || r.firstAt.Sub(r.asked) > firstTokenTarget {
		return false
	}
	return r.endedAt.Sub(r.firstAt) <= betweenTarget*time.Duration(r.want-1)
}

func chooseRandom(f *fleet) func(e *entry, r *record) string {
	return func(_ *entry, r *record) string {
		holders := f.copies[r.config.Model]
		return holders[f.world.random.IntN(len(holders))]
	}
}

// chooseByLaggingReport picks the least loaded holder by reports that all
// entries get at once every two seconds, the failed sides aside.
func chooseByLaggingReport(f *fleet) func(e *entry, r *record) string {
	loads := make(map[string]int)
	var collect func()
	collect = func() {
		for name, s := range f.sides {
			loads[name] = s.core.Queued() + s.core.Running()
			if s.dead {
				loads[name] = math.MaxInt
			}
		}
		f.world.after(reportLag, collect)
	}
	collect()
	return func(_ *entry, r *record) string {
		holders := f.copies[r.config.Model]
		return slices.MinFunc(holders, func(a, b string) int { return loads[a] - loads[b] })
	}
}

// firstIn makes a queue first in, first out: all attempts of one tenant and one
// class, with the same time left.
func firstIn(config protocol.SubmitConfig) protocol.Submit {
	config.Tenant, config.Urgent, config.Remaining = "", false, time.Hour
	return protocol.NewSubmit(config)
}

// TestPolicyMeetsItsTargets bounds the deterministic figures by the targets.
func TestPolicyMeetsItsTargets(t *testing.T) {
	for size := range deployments {
		for name := range demands {
			t.Run(size+"/"+strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				got := rehearseOurs(t, size, name)
				t.Log(got)
				if got.attained < attainedTarget {
					t.Errorf("%.1f%% attained, want %d%%", got.attained, attainedTarget)
				}
				if got.worstTenant < attainedTarget {
					t.Errorf("worst tenant at %.1f%%, want %d%%", got.worstTenant, attainedTarget)
				}
				if diff := cmp.Diff(0, got.refused); diff != "" {
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
	attainsMore := func(ours, other measures) bool {
		sooner := ours.attained == other.attained && ours.firstToken95 < other.firstToken95
		return (ours.attained > other.attained || sooner) && ours.refused <= other.refused
	}
	answersSooner := func(ours, other measures) bool {
		return ours.firstToken95 < other.firstToken95 && ours.attained >= other.attained
	}
	cases := map[string]struct {
		demands []string
		beats   func(ours, other measures) bool
	}{
		"random":      {demands: slices.Collect(maps.Keys(demands)), beats: attainsMore},
		"lagging":     {demands: slices.Collect(maps.Keys(demands)), beats: attainsMore},
		"first in":    {demands: []string{"a tenant at five times"}, beats: attainsMore},
		"no affinity": {demands: []string{"calm"}, beats: answersSooner},
	}
	for size, d := range deployments {
		for baseline, tc := range cases {
			for _, name := range tc.demands {
				t.Run(strings.ReplaceAll(size+"/"+name+"/"+baseline, " ", "-"), func(t *testing.T) {
					t.Parallel()
					ours, other := rehearseOurs(t, size, name), rehearse(t, d, demands[name], policies[baseline], 1)
					t.Logf("ours: %s; %s: %s", ours, baseline, other)
					if !tc.beats(ours, other) {
						t.Errorf("the baseline %q is not beaten", baseline)
					}
				})
			}
		}
	}
}
