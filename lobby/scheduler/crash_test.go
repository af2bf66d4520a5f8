package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

const (
	simStep       = 10 * time.Millisecond
	simBegin      = 100 * time.Millisecond // from a send to the first event
	simRun        = 600 * time.Millisecond // from a send to the end of its answer
	simDown       = 3 * time.Second        // from a crash to the next start of the engine
	simListDelay  = 300 * time.Millisecond // from a crash until the list omits the engine
	simLobbies    = 4
	simEngines    = 12
	simLearnTime  = 3 * time.Second        // after the crash that convicts, for lobbies to learn of it
	simMaxRetries = 3                      // crashing requests that may be sent later than simLearnTime after it
	simRecall     = 100 * time.Millisecond // from a lobby's start until it has read what is saved
	simOnset      = 2 * time.Second        // time of the first crashing request
	simEnd        = 26 * time.Second
)

// simFleet runs lobbies and engines in virtual time. A request whose fingerprint or
// prompt is deadly ends the engine that begins to answer it, and all that run there.
type simFleet struct {
	now     time.Time
	random  *rand.Rand
	lobbies []*simLobby
	engines []*simEngine
	starts  int
	crashes []time.Time // caused by deadly requests
	sends   []time.Time // of deadly requests, by lobbies in contact
	sound   map[int]*simShare
	links   simLinks
	wait    time.Duration // further time from a send to the first event, at busy engines
	saved   map[string]simSaved
}

// simSaved is what a lobby has saved of suspects.
type simSaved struct {
	at       time.Time
	suspects []protocol.SuspectConfig
}

// simLinks says what happens to digests.
type simLinks struct {
	lost    float64       // share that is lost
	doubled float64       // share that arrives twice
	delay   time.Duration // longest delay
}

// simShare counts sound requests and those that began at their first attempt.
type simShare struct{ arrived, began int }

type simLobby struct {
	address      string
	core         *scheduler.Core
	incarnation  uint64
	serial       int64
	number       uint64
	inbox        []simMessage
	frozenUntil  time.Time
	cutUntil     time.Time
	contactSince time.Time // start of the undisturbed time
	deadly       map[uint64]bool
	second       map[uint64]int // second of arrival of the sound requests that have not begun
}

type simMessage struct {
	at      time.Time
	message scheduler.Message
}

type simEngine struct {
	id        string
	downSince time.Time // zero while it runs
	running   []simRunning
}

type simRunning struct {
	lobby  *simLobby
	number uint64
	deadly bool
	began  bool
	sentAt time.Time
}

func newSimFleet(seed uint64, links simLinks) *simFleet {
	f := &simFleet{now: noon, random: rand.New(rand.NewPCG(seed, 25)), sound: make(map[int]*simShare), links: links, saved: make(map[string]simSaved)}
	for range simEngines {
		f.starts++
		f.engines = append(f.engines, &simEngine{id: fmt.Sprintf("e%d", f.starts)})
	}
	for n := range simLobbies {
		l := &simLobby{address: fmt.Sprintf("10.0.1.%d:7000", n)}
		f.lobbies = append(f.lobbies, l)
		f.start(l)
	}
	return f
}

// start replaces a lobby's core by a new one, as a restart does.
func (f *simFleet) start(l *simLobby) {
	l.incarnation++
	l.serial, l.inbox, l.contactSince = 0, nil, f.now
	l.deadly, l.second = make(map[uint64]bool), make(map[uint64]int)
	l.core = scheduler.NewCore(scheduler.CoreConfig{
		Domain: "d1", MinLobbies: simLobbies, Stop: supervisor.NewStopSchedule(8 * time.Second), Limiter: &fakeLimiter{remaining: 1 << 30}, Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{Self: l.address}), Random: rand.New(rand.NewPCG(1, 1)),
		RetryBudget: scheduler.RetryBudgetConfig{Ratio: 0.2, Extra: 20, Window: 10 * time.Second},
	})
	for _, e := range f.engines {
		e.running = deleteRuns(e.running, func(r simRunning) bool { return r.lobby == l })
	}
	f.handle(l, scheduler.NewConfigurationChanged(deployment.NewConfiguration(deployment.Config{
		Version: 1,
		Routes: []deployment.RouteConfig{
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: deployment.Stream, Timeout: 15 * time.Second, LatencyObjective: 600 * time.Millisecond, GapObjective: 300 * time.Millisecond, MaxAttempts: 2, Shares: []deployment.ShareConfig{{Service: "engine", Weight: 1}}},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: deployment.Stream, Timeout: 20 * time.Second, LatencyObjective: 4 * time.Second, MaxAttempts: 2, Resumable: true, Shares: []deployment.ShareConfig{{Service: "engine", Weight: 1}}},
		},
		Services: []deployment.ServiceConfig{{Name: "engine", MaxConnections: 360, Engine: engineConfig()}},
		Tenants:  []deployment.TenantConfig{{Name: "t", Keys: []string{"k"}}},
	})))
	f.handle(l, scheduler.NewBackendsChanged(f.now, f.list()))
	l.post(f.now.Add(simRecall), f.recall(f.now.Add(simRecall)))
}

// recall returns what lobbies have saved of suspects, with ages as of a time.
func (f *simFleet) recall(at time.Time) scheduler.SuspectsRecalled {
	recalled := make(map[string][]protocol.SuspectConfig)
	for lobby, saved := range f.saved {
		for _, suspect := range saved.suspects {
			suspect.Crashes = slices.Clone(suspect.Crashes)
			for n := range suspect.Crashes {
				suspect.Crashes[n].Age += at.Sub(saved.at)
			}
			recalled[lobby] = append(recalled[lobby], suspect)
		}
	}
	return scheduler.NewSuspectsRecalled(at, recalled)
}

func deleteRuns(runs []simRunning, drop func(simRunning) bool) []simRunning {
	var kept []simRunning
	for _, r := range runs {
		if !drop(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// list returns the platform's list of engines.
func (f *simFleet) list() []deployment.Backend {
	var list []deployment.Backend
	for _, e := range f.engines {
		if f.listed(e) != "" {
			list = append(list, deployment.NewBackend(engineServer(e.id)))
		}
	}
	return list
}

// listed returns the ID under which an engine is listed, "" if it is not.
func (f *simFleet) listed(e *simEngine) string {
	if !e.downSince.IsZero() && f.now.Sub(e.downSince) >= simListDelay {
		return ""
	}
	return e.id
}

func (f *simFleet) handle(l *simLobby, message scheduler.Message) {
	f.execute(l, l.core.Handle(f.now, message))
}

func (f *simFleet) execute(l *simLobby, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Send:
			f.send(l, a)
		case scheduler.Broadcast:
			f.broadcast(l, a)
		case scheduler.SaveSuspects:
			f.saved[l.address] = simSaved{at: f.now, suspects: a.Suspects()}
		}
	}
}

func (f *simFleet) send(l *simLobby, send scheduler.Send) {
	for _, e := range f.engines {
		if e.id != send.Forwarding().Backend() {
			continue
		}
		if !e.downSince.IsZero() {
			break
		}
		deadly := l.deadly[send.Number()]
		if deadly && f.now.Sub(l.contactSince) >= simLearnTime {
			f.sends = append(f.sends, f.now)
		}
		e.running = append(e.running, simRunning{lobby: l, number: send.Number(), deadly: deadly, sentAt: f.now})
		return
	}
	l.post(f.now.Add(simStep), scheduler.NewSendEnded(send.Number(), scheduler.Unsent, 0))
}

func (l *simLobby) post(at time.Time, message scheduler.Message) {
	l.inbox = append(l.inbox, simMessage{at: at, message: message})
}

func (f *simFleet) broadcast(from *simLobby, b scheduler.Broadcast) {
	from.serial++
	digest := protocol.NewDigest(protocol.DigestConfig{
		Sender: from.address, Incarnation: from.incarnation, Serial: from.serial, Loads: b.Loads(), Plan: b.Plan(), Replaced: b.Replaced(), Suspects: b.Suspects(),
	})
	for _, to := range f.lobbies {
		if to == from || f.now.Before(from.cutUntil) || f.now.Before(to.cutUntil) || f.random.Float64() < f.links.lost {
			continue
		}
		copies := 1
		if f.random.Float64() < f.links.doubled {
			copies = 2
		}
		for range copies {
			delay := time.Millisecond + time.Duration(f.random.Int64N(int64(f.links.delay)+1))
			to.post(f.now.Add(delay), scheduler.NewDigestReceived(digest))
		}
	}
}

// arrive sends a request to a lobby, drawn at random.
func (f *simFleet) arrive(config httpmeta.RequestConfig, deadly bool) {
	f.arriveAt(f.lobbies[f.random.IntN(len(f.lobbies))], config, deadly)
}

// arriveAt sends a request to a lobby.
func (f *simFleet) arriveAt(l *simLobby, config httpmeta.RequestConfig, deadly bool) {
	l.number++
	config.ID, config.Host, config.APIKey, config.Model, config.Arrived = fmt.Sprint(l.address, l.number), "h", "k", "m", f.now
	config.PromptTokens, config.MaxOutputTokens = 1, 1
	if deadly {
		l.deadly[l.number] = true
	} else {
		second := int(f.now.Sub(noon) / time.Second)
		l.second[l.number] = second
		if f.sound[second] == nil {
			f.sound[second] = &simShare{}
		}
		f.sound[second].arrived++
	}
	l.post(f.now, scheduler.NewArrived(l.number, httpmeta.NewRequest(config)))
}

// advance moves the engines, then the lobbies that are not frozen.
func (f *simFleet) advance(step int) {
	f.now = f.now.Add(simStep)
	changed := false
	for _, e := range f.engines {
		before := f.listed(e)
		f.advanceEngine(e)
		changed = changed || f.listed(e) != before
	}
	for _, l := range f.lobbies {
		if changed {
			l.post(f.now, scheduler.NewBackendsChanged(f.now, f.list()))
		}
		if f.now.Before(l.frozenUntil) {
			continue
		}
		for _, m := range l.due(f.now) {
			f.handle(l, m.message)
		}
		if step%5 == 0 {
			f.execute(l, l.core.Tick(f.now))
		}
	}
}

// due removes and returns the messages that have arrived.
func (l *simLobby) due(now time.Time) []simMessage {
	var due, later []simMessage
	for _, m := range l.inbox {
		if m.at.After(now) {
			later = append(later, m)
			continue
		}
		due = append(due, m)
	}
	l.inbox = later
	return due
}

func (f *simFleet) advanceEngine(e *simEngine) {
	if !e.downSince.IsZero() {
		if f.now.Sub(e.downSince) >= simDown {
			f.starts++
			e.id, e.downSince = fmt.Sprintf("e%d", f.starts), time.Time{}
		}
		return
	}
	for at := range e.running {
		r := &e.running[at]
		if r.began || f.now.Sub(r.sentAt) < simBegin+f.wait {
			continue
		}
		if r.deadly {
			for _, other := range e.running {
				if other.deadly {
					f.crashes = append(f.crashes, f.now)
				}
			}
			f.crash(e)
			return
		}
		r.began = true
		if second, ok := r.lobby.second[r.number]; ok {
			f.sound[second].began++
			delete(r.lobby.second, r.number)
		}
		r.lobby.post(f.now, scheduler.NewStreamStarted(r.number))
	}
	e.running = deleteRuns(e.running, func(r simRunning) bool {
		if f.now.Sub(r.sentAt) < simRun+f.wait {
			return false
		}
		r.lobby.post(f.now, scheduler.NewSendEnded(r.number, scheduler.Complete, 200))
		return true
	})
}

// crash ends an engine, with all that it runs.
func (f *simFleet) crash(e *simEngine) {
	for _, r := range e.running {
		result := scheduler.Lost
		if r.began {
			result = scheduler.Truncated
		}
		delete(r.lobby.second, r.number) // a later begin is not that of the first attempt
		r.lobby.post(f.now, scheduler.NewSendEnded(r.number, result, 0).WithDisconnect())
	}
	e.running, e.downSince = nil, f.now
}

// lateSends returns the number of deadly requests sent later than simLearnTime after
// the crash with the given number, by lobbies in contact.
func (f *simFleet) lateSends(crash int) int {
	if len(f.crashes) < crash {
		return 0
	}
	n := 0
	for _, at := range f.sends {
		if at.Sub(f.crashes[crash-1]) > simLearnTime {
			n++
		}
	}
	return n
}

// soundShare returns the share of the sound requests of a span, in seconds, that
// began at their first attempt.
func (f *simFleet) soundShare(from, to int) float64 {
	arrived, began := 0, 0
	for second, share := range f.sound {
		if second >= from && second < to {
			arrived += share.arrived
			began += share.began
		}
	}
	return float64(began) / float64(max(arrived, 1))
}

// simFaults are the disturbances that the tests of crashing requests go through.
func simFaults() map[string]struct {
	links simLinks
	at    map[time.Duration]func(f *simFleet)
} {
	freeze := func(f *simFleet) {
		f.lobbies[0].frozenUntil = f.now.Add(2 * time.Second)
		f.lobbies[0].contactSince = f.now.Add(2 * time.Second)
	}
	cut := func(f *simFleet) {
		f.lobbies[1].cutUntil = f.now.Add(4 * time.Second)
		f.lobbies[1].contactSince = f.now.Add(4 * time.Second)
	}
	half := func(f *simFleet) {
		for _, l := range f.lobbies[2:] {
			l.cutUntil, l.contactSince = f.now.Add(4*time.Second), f.now.Add(4*time.Second)
		}
	}
	busy := func(f *simFleet) { f.wait = 900 * time.Millisecond }
	return map[string]struct {
		links simLinks
		at    map[time.Duration]func(f *simFleet)
	}{
		"engines are busy":                          {at: map[time.Duration]func(f *simFleet){time.Second: busy}},
		"engines are busy, half of lobbies cut off": {at: map[time.Duration]func(f *simFleet){time.Second: busy, 3 * time.Second: half}},
		"half of the lobbies are cut off":           {at: map[time.Duration]func(f *simFleet){3 * time.Second: half, 12 * time.Second: half}},
		"undisturbed":                               {links: simLinks{delay: 2 * time.Millisecond}},
		"half of the digests lost":                  {links: simLinks{delay: 20 * time.Millisecond, lost: 0.5}},
		"late and doubled digests":                  {links: simLinks{delay: 400 * time.Millisecond, doubled: 0.5}},
		"a lobby restarts":                          {at: map[time.Duration]func(f *simFleet){6 * time.Second: func(f *simFleet) { f.start(f.lobbies[2]) }}},
		"all lobbies restart at once": {at: map[time.Duration]func(f *simFleet){8 * time.Second: func(f *simFleet) {
			for _, l := range f.lobbies {
				f.start(l)
			}
		}}},
		"lobbies restart in turn": {at: map[time.Duration]func(f *simFleet){
			5 * time.Second: func(f *simFleet) { f.start(f.lobbies[0]) }, 6 * time.Second: func(f *simFleet) { f.start(f.lobbies[1]) },
			7 * time.Second: func(f *simFleet) { f.start(f.lobbies[2]) }, 8 * time.Second: func(f *simFleet) { f.start(f.lobbies[3]) },
		}},
		"a lobby freezes":    {at: map[time.Duration]func(f *simFleet){3 * time.Second: freeze, 9 * time.Second: freeze}},
		"a lobby is cut off": {at: map[time.Duration]func(f *simFleet){2500 * time.Millisecond: cut, 10 * time.Second: cut}},
	}
}

// TestRepeatedRequestThatCrashesBackendsIsHeldBack guards against a request that ends
// each backend server that runs it and is sent on by every lobby that gets a copy.
func TestRepeatedRequestThatCrashesBackendsIsHeldBack(t *testing.T) {
	for name, tc := range simFaults() {
		for _, path := range []string{"/stream/", "/resumable/"} {
			for _, gap := range []int{20, 80, 300} { // steps between two copies
				for seed := range uint64(3) {
					t.Run(fmt.Sprintf("%s, %s every %v, seed %d", name, path, time.Duration(gap)*simStep, seed), func(t *testing.T) {
						f := newSimFleet(seed, tc.links)
						for step := 1; f.now.Sub(noon) < simEnd; step++ {
							if event, ok := tc.at[f.now.Sub(noon)]; ok {
								event(f)
							}
							if f.now.Sub(noon) >= simOnset && step%gap == 0 {
								f.arrive(httpmeta.RequestConfig{Path: path + "deadly", Fingerprint: httpmeta.Fingerprint{1}}, true)
							}
							f.arriveSound(step)
							f.advance(step)
						}
						f.check(t, 3)
					})
				}
			}
		}
	}
}

// TestCopiesOfACrashingRequestAreNotSentTogether guards against copies of a request under
// which backend servers have ended that arrive together, and are all sent before the first
// of them shows that it still crashes its backend server.
func TestCopiesOfACrashingRequestAreNotSentTogether(t *testing.T) {
	const gap = 450 // steps between two bursts, more than simLearnTime
	for name, tc := range simFaults() {
		for _, copies := range []int{2, 4, 8} {
			for _, lobbies := range []int{1, simLobbies} { // over which the copies are spread
				for seed := range uint64(3) {
					t.Run(fmt.Sprintf("%s, %d copies at %d lobbies, seed %d", name, copies, lobbies, seed), func(t *testing.T) {
						t.Parallel()
						f := newSimFleet(seed, tc.links)
						for step := 1; f.now.Sub(noon) < simEnd; step++ {
							if event, ok := tc.at[f.now.Sub(noon)]; ok {
								event(f)
							}
							if f.now.Sub(noon) >= simOnset && step%gap == 0 {
								first := f.random.IntN(simLobbies)
								for n := range copies {
									l := f.lobbies[(first+n%lobbies)%simLobbies]
									f.arriveAt(l, httpmeta.RequestConfig{Path: "/stream/deadly", Fingerprint: httpmeta.Fingerprint{1}}, true)
								}
							}
							f.arriveSound(step)
							f.advance(step)
						}
						f.check(t, 3)
					})
				}
			}
		}
	}
}

// TestPromptPartThatCrashesBackendsIsHeldBack guards against requests that differ but
// for one part of their prompts, and end each backend server that begins to answer them.
func TestPromptPartThatCrashesBackendsIsHeldBack(t *testing.T) {
	prompts := map[string][]string{
		"second part":             {"template", "deadly"},
		"third part":              {"template", "subject7", "deadly"},
		"part before a sound one": {"template", "deadly", "subject7"},
		"first part":              {"deadly", "subject7"},
	}
	for name, tc := range simFaults() {
		for prompt, parts := range prompts {
			for _, gap := range []int{10, 28, 150} { // steps between two deadly requests
				t.Run(fmt.Sprintf("%s, %s every %v", name, prompt, time.Duration(gap)*simStep), func(t *testing.T) {
					t.Parallel()
					f := newSimFleet(1, tc.links)
					for step := 1; f.now.Sub(noon) < simEnd; step++ {
						if event, ok := tc.at[f.now.Sub(noon)]; ok {
							event(f)
						}
						if f.now.Sub(noon) >= simOnset && step%gap == 0 {
							f.arrive(promptConfig(byte(3), step, append(slices.Clone(parts), fmt.Sprint("own", -step))...), true)
						}
						f.arriveSound(step)
						f.advance(step)
					}
					f.check(t, 5)
				})
			}
		}
	}
}

// TestEvidenceOutlivesAllLobbies guards against requests that crash backend servers anew
// whenever all lobbies have been killed at once. They come while all lobbies are in contact.
func TestEvidenceOutlivesAllLobbies(t *testing.T) {
	kills := map[string][]time.Duration{
		"killed once":          {8 * time.Second},
		"killed three times":   {7 * time.Second, 13 * time.Second, 19 * time.Second},
		"killed after each":    {3 * time.Second, 7 * time.Second, 11 * time.Second, 15 * time.Second, 19 * time.Second},
		"killed, digests lost": {8 * time.Second, 16 * time.Second},
	}
	requests := map[string]struct {
		crash  int // the crash from which on few may be sent
		config func(step int) httpmeta.RequestConfig
	}{
		"copies of a request": {crash: 3, config: func(int) httpmeta.RequestConfig {
			return httpmeta.RequestConfig{Path: "/stream/deadly", Fingerprint: httpmeta.Fingerprint{1}}
		}},
		"requests with a part": {crash: 5, config: func(step int) httpmeta.RequestConfig {
			return promptConfig(3, step, "template", "deadly", fmt.Sprint("own", -step))
		}},
	}
	for name, times := range kills {
		for kind, tc := range requests {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, kind, seed), func(t *testing.T) {
					t.Parallel()
					f := newSimFleet(seed, simLinks{lost: map[bool]float64{true: 0.5}[name == "killed, digests lost"]})
					for step := 1; f.now.Sub(noon) < simEnd; step++ {
						if slices.Contains(times, f.now.Sub(noon)) {
							for _, l := range f.lobbies {
								f.start(l)
							}
						}
						if step%40 == 0 && f.now.Sub(f.lobbies[0].contactSince) >= simLearnTime {
							f.arrive(tc.config(step), true)
						}
						f.arriveSound(step)
						f.advance(step)
					}
					f.check(t, tc.crash)
				})
			}
		}
	}
}

// promptConfig returns a request that differs from those of other steps, with the given
// parts of its prompt.
func promptConfig(kind byte, step int, parts ...string) httpmeta.RequestConfig {
	config := httpmeta.RequestConfig{Path: "/stream/a", Fingerprint: httpmeta.Fingerprint{kind, byte(step), byte(step >> 8)}}
	for _, id := range parts {
		config.Parts = append(config.Parts, httpmeta.NewPart(httpmeta.PartConfig{ID: id}))
	}
	return config
}

// arriveSound sends sound requests that share their caller and parts of their prompts.
func (f *simFleet) arriveSound(step int) {
	if step%2 != 0 {
		return
	}
	f.arrive(promptConfig(2, step, "template", fmt.Sprint("subject", step%23), fmt.Sprint("own", step)), false)
}

// check reports deadly requests beyond the allowed ones, counted from the crash with
// the given number on, and sound requests that are not served.
func (f *simFleet) check(t *testing.T, crash int) {
	t.Helper()
	if late := f.lateSends(crash); late > simMaxRetries {
		t.Errorf("%d crashing requests sent later than %v after crash %d, want at most %d; %d crashes in all", late, simLearnTime, crash, simMaxRetries, len(f.crashes))
	}
	if share := f.soundShare(14, 25); share < 0.9 {
		t.Errorf("%.2f of the sound requests began at their first attempt, want 0.9 or more", share)
	}
}
