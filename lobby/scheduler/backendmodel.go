package scheduler

import "time"

const (
	// evidenceLifetime is the time after which an observation of a backend server
	// counts for nothing, unless others have followed.
	evidenceLifetime = 10 * time.Second
	// priorWeight is the number of observations that the average of the service
	// counts for in the estimate of one backend server: a lobby sees few requests of
	// each, and a single one says little.
	priorWeight = 4
	maxRatio    = 4 // largest factor by which a backend server may differ from the average of its service
	// changeCount observations in succession that differ from the estimate in the
	// same direction by more than changeRatio mean that the backend server has
	// changed: what was observed before is discarded. A single one is an outlier, and
	// counts as if it differed by changeRatio.
	changeCount = 3
	changeRatio = 1.5
	loadLevels  = 8  // levels of load by which the average of a service is kept; the last one is beyond fullShare
	minAveraged = 8  // observations of a level before its average is used
	maxAveraged = 50 // observations over which the average of a level extends
	minEvents   = 8  // events of the shortest stream whose steps are observed
	// minObservedPrefill is the shortest prefill that is observed.
	minObservedPrefill = minObservedTokens * defaultTokenTime
)

// backendModel is what has been learned of one backend server: how its times compare
// with those that the average of its service has under the same load. All ratios are one
// without observations. Its state ends with the backend server's start.
type backendModel struct {
	prefill evidence // prefill time
	step    evidence // time from one event to the next, below fullShare
	full    evidence // the same beyond fullShare, compared with what step explains
}

// startObserved records how long a prompt took from its send to the first event,
// compared with the average of the service. weight is the part of that which is known to
// be prefill of the prompt, at most one.
func (m *backendModel) startObserved(now time.Time, ratio, weight float64) {
	m.prefill.observe(now, ratio, weight)
}

// stepObserved records the time between the events of a stream, compared with the
// average of the service at the same level of load.
func (m *backendModel) stepObserved(now time.Time, level int, ratio float64) {
	if level == loadLevels-1 {
		m.full.observe(now, ratio/m.step.ratio(now), 1)
		return
	}
	m.step.observe(now, ratio, 1)
}

// prefillTime returns the time that the backend server is expected to take for a prompt
// that takes the given time on average.
func (m *backendModel) prefillTime(now time.Time, average time.Duration) time.Duration {
	return time.Duration(float64(average) * m.prefill.ratio(now))
}

// contention estimates the delay that a number of open requests causes for another one:
// each makes the engine's steps longer, and those beyond fullShare of the slots also
// cause queueing.
func (m *backendModel) contention(now time.Time, open, slots int) time.Duration {
	beyond := max(open-fullAt(slots), 0)
	running := float64(open) * float64(runningCost) * m.step.ratio(now)
	overload := float64(beyond) * float64(overloadCost) * m.full.ratio(now)
	return time.Duration(running + overload)
}

// evidence is the decaying average of observations of a ratio.
type evidence struct {
	mean      float64
	weight    float64 // number of observations that the mean counts for, at the time of the last one
	at        time.Time
	deviating float64 // sum of the last observations that differ from the mean in the same direction
	count     int     // their number, negative if they are below the mean
}

// ratio returns the estimate: the mean of the observations, drawn towards one, the
// average of the service, the fewer and the older they are.
func (e *evidence) ratio(now time.Time) float64 {
	weight := e.weightAt(now)
	return (priorWeight + weight*e.mean) / (priorWeight + weight)
}

func (e *evidence) weightAt(now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	left := 1 - float64(now.Sub(e.at))/float64(evidenceLifetime)
	return e.weight * min(max(left, 0), 1)
}

// observe adds an observation that counts for the given weight, at most one.
func (e *evidence) observe(now time.Time, ratio, weight float64) {
	ratio = min(max(ratio, 1.0/maxRatio), maxRatio)
	before, reference := e.weightAt(now), 1.0
	if before > 0 {
		reference = e.mean
	}
	e.at = now
	if e.changed(ratio, reference) {
		e.mean, e.weight = e.deviating/changeCount, changeCount*weight
		e.deviating, e.count = 0, 0
		return
	}
	ratio = min(max(ratio, reference/changeRatio), reference*changeRatio)
	e.weight = before + weight
	if e.weight > 0 {
		e.mean = (before*reference + weight*ratio) / e.weight
	}
}

// changed reports whether an observation is the last of changeCount that differ from the
// reference in the same direction.
func (e *evidence) changed(ratio, reference float64) bool {
	direction := 0
	switch {
	case ratio > reference*changeRatio:
		direction = 1
	case ratio < reference/changeRatio:
		direction = -1
	}
	if direction == 0 || direction*e.count < 0 {
		e.deviating, e.count = 0, 0
	}
	if direction == 0 {
		return false
	}
	e.deviating += ratio
	e.count += direction
	return e.count*direction >= changeCount
}

// loadCurve is the average of a quantity by level of load, over the backend servers of
// one service that run one model.
type loadCurve struct {
	levels [loadLevels]struct {
		mean  float64
		count int
	}
}

// compare adds a positive observation at a level. It returns its ratio to the average
// before, and whether that average is known.
func (l *loadCurve) compare(level int, observed float64) (float64, bool) {
	average := &l.levels[level]
	known := average.count >= minAveraged
	before := average.mean
	if known {
		observed = min(max(observed, before/maxRatio), before*maxRatio)
	}
	average.count = min(average.count+1, maxAveraged)
	average.mean += (observed - average.mean) / float64(average.count)
	if !known {
		return 1, false
	}
	return observed / before, true
}

// serviceModel holds the averages with which the backend servers of a service that run
// one model are compared.
type serviceModel struct {
	prefill loadCurve // time to the first event by the time that the pending prefill was expected to take
	step    loadCurve // seconds from one event to the next
}

// fullAt returns the number of open requests beyond which an engine is nearly full.
func fullAt(slots int) int { return int(fullShare * float64(slots)) }

// loadLevel returns the level of load of an engine with a number of open requests.
func loadLevel(open, slots int) int {
	full := max(fullAt(slots), 1)
	if open > full {
		return loadLevels - 1
	}
	return min(max(open, 0)*(loadLevels-1)/full, loadLevels-2)
}

// startSample is what is known about a send when it begins, for the comparison with the
// time that its first event takes.
type startSample struct {
	own   time.Duration // expected prefill time of the prompt at an average backend server; zero if it is not observed
	ahead time.Duration // the same of the prompts before it, of this lobby and the others
	level int           // level of load
	// certain is the share of the prompt that is known to need prefill: the rest is
	// assumed to be cached.
	certain  float64
	estimate StartEstimateConfig
}

// newStartSample returns the sample of a request before its capacity is reserved.
func (c *Core) newStartSample(now time.Time, req *openRequest, chosen candidate) startSample {
	s, ahead := chosen.server, chosen.server.prefill+chosen.server.peerPrefill
	return startSample{
		own:     c.estimator.promptTime(req.request.Model(), chosen.uncached),
		ahead:   time.Duration(float64(ahead) / s.model.prefill.ratio(now)),
		level:   s.loadLevel(),
		certain: float64(chosen.uncached) / float64(max(req.request.PromptTokens(), chosen.uncached)),
		estimate: StartEstimateConfig{
			Cached: chosen.match.tokens, CacheAge: chosen.match.age(now), Predicted: ahead + chosen.prefill + observationOverhead,
		},
	}
}

// loadLevel returns the level of load of a backend server.
func (s *server) loadLevel() int { return loadLevel(s.open+s.peerOpen, s.backend.Slots()) }

// promptTime returns the estimated prefill time of a number of tokens at a backend
// server.
func (c *Core) promptTime(now time.Time, s *server, model string, tokens int64) time.Duration {
	return s.model.prefillTime(now, c.estimator.promptTime(model, tokens))
}

// serviceModel returns the averages for the backend servers that can run a request. One
// of them must hold its model, since callers may name any.
func (c *Core) serviceModel(req *openRequest) *serviceModel {
	key := req.queueKey()
	model, ok := c.models[key]
	if !ok {
		model = &serviceModel{}
		c.models[key] = model
	}
	return model
}

// observeStart learns from the time that the first event of a send took.
func (c *Core) observeStart(now time.Time, req *openRequest) {
	sample := req.startSample
	req.startSample = startSample{}
	req.levelAtStart = req.server.loadLevel()
	if req.request.PromptTokens() > 0 {
		sample.estimate.Observed = now.Sub(req.sentAt)
		req.estimate = NewStartEstimate(sample.estimate)
	}
	took := now.Sub(req.sentAt) - observationOverhead
	if sample.own < minObservedPrefill || took <= 0 || !req.server.hasModel(req.request.Model()) {
		return
	}
	expected := float64(sample.own + sample.ahead)
	ratio, known := c.serviceModel(req).prefill.compare(sample.level, float64(took)/expected)
	if known {
		req.server.model.startObserved(now, ratio, sample.certain*float64(sample.own)/expected)
	}
}

// observeSteps learns from the time that the events of a complete stream took. The load
// may have changed meanwhile: only streams that began and ended at the same side of
// fullShare tell what it does.
func (c *Core) observeSteps(now time.Time, req *openRequest, s *server, events int) {
	if req.beganAt.IsZero() || events < minEvents || !now.After(req.beganAt) || !s.hasModel(req.request.Model()) {
		return
	}
	end, full := s.loadLevel(), loadLevels-1
	if (end == full) != (req.levelAtStart == full) {
		return
	}
	level := (req.levelAtStart + end) / 2
	step := now.Sub(req.beganAt).Seconds() / float64(events-1)
	if ratio, known := c.serviceModel(req).step.compare(level, step); known {
		s.model.stepObserved(now, level, ratio)
	}
}
