package scheduler_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

// callerKind is one kind of request in a simulation.
type callerKind struct {
	name      string
	customer  string // its API key
	path      string
	model     string
	rate      float64 // requests per second
	from, to  time.Duration
	objective time.Duration
	limit     time.Duration // callers give up after this time
	prompt    int64
	output    int64
}

// simulationConfig holds the construction parameters of a simulation.
type simulationConfig struct {
	seed          uint64
	lobbies       int
	servers       []deployment.BackendConfig
	configuration deployment.Config
	kinds         []callerKind
	run           time.Duration // mean time of a run
	backlog       int           // requests that a backend server queues beyond its slots
	span          time.Duration
	lostDigests   float64 // fraction
	die           time.Duration
	dying         int           // lobbies that end at that time
	skew          float64       // fraction of callers that ask the last lobby
	gone          time.Duration // time at which the last backend server refuses connections
	listLag       time.Duration // time from then until it is not listed any more
	frozen        time.Duration
	freeze        time.Duration // time for which the last lobby handles nothing
}

// outcome counts what callers of one kind got.
type outcome struct{ asked, inTime, late, lost int }

// event is something that happens at a time.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulatedCaller is one caller, over all requests that it makes.
type simulatedCaller struct {
	kind    callerKind
	arrived time.Duration
	done    bool
}

// simulatedServer is a backend server that runs as many requests as it has slots, queues
// a few more and rejects the rest.
type simulatedServer struct {
	slots   int
	running int
	backlog []func()
	gone    bool
}

// simulation plays callers, lobby cores that exchange delayed digests, and backend servers
// in virtual time.
type simulation struct {
	config   simulationConfig
	random   *rand.Rand
	events   events
	serial   int
	now      time.Duration
	cores    []*scheduler.Core
	dead     []bool
	servers  map[string]*simulatedServer
	callers  map[uint64]*simulatedCaller // by number of their open request
	lobbyOf  map[uint64]int              // by number of the request
	numbers  uint64
	sends    int
	rejected int
	outcomes map[string]*outcome
	byKey    map[string]*outcome // by customer
}

func newSimulation(config simulationConfig) *simulation {
	s := &simulation{
		config: config, random: rand.New(rand.NewPCG(config.seed, 1)), dead: make([]bool, config.lobbies),
		servers: make(map[string]*simulatedServer), callers: make(map[uint64]*simulatedCaller), lobbyOf: make(map[uint64]int), outcomes: make(map[string]*outcome), byKey: make(map[string]*outcome),
	}
	var list []deployment.Backend
	for _, server := range config.servers {
		list = append(list, deployment.NewBackend(server))
		s.servers[server.ID] = &simulatedServer{slots: server.Slots}
	}
	for i := range config.lobbies {
		core := scheduler.NewCore(scheduler.CoreConfig{
			Domain: fmt.Sprint("d", i%3+1), MinLobbies: 4, Stop: supervisor.NewStopSchedule(8 * time.Second), Limiter: &fakeLimiter{remaining: 1 << 30},
			Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(config.seed, uint64(i))),
			RetryBudget: scheduler.RetryBudgetConfig{Ratio: 0.2, Extra: 20, Window: 10 * time.Second},
		})
		core.Handle(noon, scheduler.NewConfigurationChanged(deployment.NewConfiguration(config.configuration)))
		core.Handle(noon, scheduler.NewLobbyCountChanged(config.lobbies))
		core.Handle(noon, scheduler.NewBackendsChanged(noon, list))
		s.cores = append(s.cores, core)
		s.tickAfter(i, time.Duration(s.random.IntN(50))*time.Millisecond)
	}
	if config.gone > 0 {
		s.after(config.gone, func() { s.servers[config.servers[len(config.servers)-1].ID].gone = true })
		s.after(config.gone+config.listLag, func() { s.list(list[:len(list)-1]) })
	}
	for _, kind := range config.kinds {
		s.outcomes[kind.name], s.byKey[kind.customer] = &outcome{}, &outcome{}
		s.arriveAfter(kind, kind.from)
	}
	for i := range config.dying {
		s.after(config.die, func() { s.kill(i) })
	}
	return s
}

// list lets the lobbies read a list of backend servers.
func (s *simulation) list(backends []deployment.Backend) {
	for lobby := range s.cores {
		s.handle(lobby, scheduler.NewBackendsChanged(noon, backends))
	}
}

// after schedules an event.
func (s *simulation) after(delay time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{at: s.now + delay, serial: s.serial, do: do})
}

// run plays the whole simulation, until the last caller has given up.
func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// over reports whether the time in which callers arrive has passed by so much that none is
// left.
func (s *simulation) over() bool { return s.now > s.config.span+30*time.Second }

func (s *simulation) tickAfter(lobby int, delay time.Duration) {
	s.after(delay, func() {
		if s.over() || s.dead[lobby] {
			return
		}
		if s.now >= s.thawed(lobby) {
			s.execute(lobby, s.cores[lobby].Tick(s.time()))
		}
		s.tickAfter(lobby, 50*time.Millisecond)
	})
}

func (s *simulation) time() time.Time { return noon.Add(s.now) }

func (s *simulation) arriveAfter(kind callerKind, delay time.Duration) {
	s.after(delay, func() {
		end := s.config.span
		if kind.to > 0 {
			end = kind.to
		}
		if s.now > end {
			return
		}
		c := &simulatedCaller{kind: kind, arrived: s.now}
		s.outcomes[kind.name].asked++
		s.byKey[kind.customer].asked++
		s.ask(c)
		s.arriveAfter(kind, time.Duration(s.random.ExpFloat64()/kind.rate*float64(time.Second)))
	})
}

// ask sends a caller's request to a random lobby.
func (s *simulation) ask(c *simulatedCaller) {
	lobby := s.random.IntN(len(s.cores))
	for s.dead[lobby] {
		lobby = s.random.IntN(len(s.cores))
	}
	if s.random.Float64() < s.config.skew {
		lobby = len(s.cores) - 1
	}
	s.numbers++
	number, left := s.numbers, c.kind.limit-(s.now-c.arrived)
	s.callers[number], s.lobbyOf[number] = c, lobby
	request := httpmeta.NewRequest(httpmeta.RequestConfig{
		ID: fmt.Sprint("r", number), Host: "h", Path: c.kind.path, APIKey: c.kind.customer, Model: c.kind.model, Arrived: s.time(), Timeout: left,
		PromptTokens: c.kind.prompt, MaxOutputTokens: c.kind.output,
	})
	s.handle(lobby, scheduler.NewArrived(number, request))
}

// handle lets a lobby handle a message, once it is not frozen.
func (s *simulation) handle(lobby int, message scheduler.Message) {
	if s.dead[lobby] {
		return
	}
	if until := s.thawed(lobby); s.now < until {
		s.after(until-s.now, func() { s.handle(lobby, message) })
		return
	}
	s.execute(lobby, s.cores[lobby].Handle(s.time(), message))
}

// thawed returns the end of a lobby's pause, if it is frozen now.
func (s *simulation) thawed(lobby int) time.Duration {
	if lobby != len(s.cores)-1 || s.now < s.config.frozen || s.now >= s.config.frozen+s.config.freeze {
		return 0
	}
	return s.config.frozen + s.config.freeze
}

// answered records that a caller has got its answer.
func (s *simulation) answered(c *simulatedCaller) {
	if c.done {
		return
	}
	c.done = true
	took := s.now - c.arrived
	for _, o := range []*outcome{s.outcomes[c.kind.name], s.byKey[c.kind.customer]} {
		switch {
		case took <= c.kind.objective:
			o.inTime++
		case took <= c.kind.limit:
			o.late++
		default:
			o.lost++
		}
	}
}

// lost records that a caller has given up.
func (s *simulation) lost(c *simulatedCaller) {
	if !c.done {
		c.done = true
		s.outcomes[c.kind.name].lost++
		s.byKey[c.kind.customer].lost++
	}
}

// execute plays the actions of a lobby.
func (s *simulation) execute(lobby int, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Send:
			s.after(s.latency(), func() { s.receive(lobby, a) })
		case scheduler.Refuse:
			s.refused(a)
		case scheduler.Broadcast:
			s.broadcast(lobby, a)
		}
	}
}

func (s *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(s.random.IntN(4000))*time.Microsecond
}

// kill ends a lobby. Its callers lose their connections and ask another one.
func (s *simulation) kill(lobby int) {
	s.dead[lobby] = true
	for _, number := range slices.Sorted(maps.Keys(s.callers)) {
		if c := s.callers[number]; s.lobbyOf[number] == lobby {
			delete(s.callers, number)
			if !c.done {
				s.after(s.latency(), func() { s.ask(c) })
			}
		}
	}
}

// refused lets a caller come back if it obeys the retry delay.
func (s *simulation) refused(a scheduler.Refuse) {
	c, ok := s.callers[a.Number()]
	if !ok {
		return
	}
	delete(s.callers, a.Number())
	left := c.kind.limit - (s.now - c.arrived)
	if a.Status() != 503 || a.RetryAfter() > left/3 {
		s.lost(c)
		return
	}
	s.after(a.RetryAfter(), func() { s.ask(c) })
}

func (s *simulation) broadcast(lobby int, a scheduler.Broadcast) {
	digest := protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprintf("10.0.1.%d:7000", lobby), Incarnation: 1, Serial: int64(s.serial), Loads: a.Loads()})
	for other := range s.cores {
		if other == lobby || s.random.Float64() < s.config.lostDigests {
			continue
		}
		s.after(s.latency(), func() {
			s.handle(other, scheduler.NewDigestReceived(digest))
		})
	}
}

// receive plays a backend server that gets a request.
func (s *simulation) receive(lobby int, a scheduler.Send) {
	s.sends++
	server := s.servers[a.Forwarding().Backend()]
	start := func() { s.serve(lobby, server, a) }
	switch {
	case server.gone:
		s.end(lobby, a, scheduler.Unsent, 0)
	case server.running < server.slots:
		start()
	case len(server.backlog) < s.config.backlog:
		server.backlog = append(server.backlog, start)
	default:
		s.rejected++
		s.end(lobby, a, scheduler.Rejected, 503)
	}
}

// serve runs a request in a slot of a backend server.
func (s *simulation) serve(lobby int, server *simulatedServer, a scheduler.Send) {
	server.running++
	took := time.Duration(float64(s.config.run) * (0.8 + 0.4*s.random.Float64()))
	first := took
	if a.Stream() {
		first = min(took, 20*time.Millisecond+time.Duration(a.Request().PromptTokens())*45*time.Microsecond)
		took = first + time.Duration(a.Request().MaxOutputTokens())*15*time.Millisecond
	}
	s.after(first, func() {
		if c, ok := s.callers[a.Number()]; ok {
			s.answered(c)
		}
		if a.Stream() {
			s.handle(lobby, scheduler.NewStreamStarted(a.Number()))
		}
	})
	s.after(took, func() {
		server.running--
		if len(server.backlog) > 0 {
			next := server.backlog[0]
			server.backlog = server.backlog[1:]
			next()
		}
		s.end(lobby, a, scheduler.Complete, 200)
	})
}

// end reports the end of a send to its lobby.
func (s *simulation) end(lobby int, a scheduler.Send, result scheduler.Result, status int) {
	if s.dead[lobby] {
		return
	}
	s.after(s.latency(), func() {
		if _, open := s.callers[a.Number()]; !open || s.dead[lobby] {
			return
		}
		if result == scheduler.Complete {
			delete(s.callers, a.Number())
		}
		s.handle(lobby, scheduler.NewSendEnded(a.Number(), result, status))
	})
}
