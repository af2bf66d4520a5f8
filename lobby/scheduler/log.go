package scheduler

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/quarantine"
)

func (s *Scheduler) logSend(a Send) {
	log := s.config.Log
	if a.Resumption() {
		log = log.WithFields(logrus.Fields{"resumes": a.Request().Resumes(), "version": a.Version()})
	}
	log.WithFields(logrus.Fields{
		"event": "sent", "request": a.Request().ID(), "backend": a.Forwarding().Backend(), "tenant": a.Forwarding().Tenant(), "model": a.Request().Model(),
		"adapter": a.Request().Adapter(), "waited": time.Since(a.Request().Arrived()),
	}).Info("request sent")
}

// recordSend logs how a send ended, and updates the metrics.
func (s *Scheduler) recordSend(a RecordSend) {
	s.stats.sendEnded(a)
	log := s.config.Log
	if a.Disconnected() {
		log = log.WithFields(contentFields(a.Request())).WithField("crashes", a.Crashes())
	}
	if e := a.Estimate(); e.Known() {
		log = log.WithFields(logrus.Fields{"cached": e.Cached(), "cache_age": e.CacheAge(), "start_predicted": e.Predicted(), "start_observed": e.Observed()})
	}
	log.WithFields(logrus.Fields{
		"event": "ended", "request": a.Request().ID(), "backend": a.Backend(), "result": a.Result(), "status": a.Status(),
		"waited": a.Waited(), "first": a.FirstEvent(), "pause": a.LongestPause(), "took": a.Took(),
	}).Log(recordLevel(a), "send ended")
}

// recordTakeUp logs what is known of a stream that a caller takes up.
func (s *Scheduler) recordTakeUp(a RecordTakeUp) {
	s.stats.takeUp(a)
	log := s.config.Log.WithFields(logrus.Fields{
		"event": "taken_up", "request": a.request.ID(), "resumes": a.request.Resumes(), "service": a.finding.Origin().Service(), "version": a.finding.Origin().Version(),
		"source": a.finding.Source(), "age": a.finding.Age(),
	})
	if a.goesOn {
		log.Info("stream taken up: it goes on at the software version at which it began")
		return
	}
	log.Warn("stream taken up, of which nobody knows at which software version it began")
}

// recordDoubt logs that a backend server may have started again, or has not.
func (s *Scheduler) recordDoubt(a RecordDoubt) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "doubt", "backend": a.origin.backend, "start": a.origin.startTime, "list_age": a.listAge})
	if a.raised {
		s.stats.doubts.Inc()
		log.Info("backend server may start again with another software version: no stream goes on there")
		return
	}
	log.WithField("event", "doubt_ended").Info("backend server is listed with the same start: streams go on there")
}

// recordLeaving logs that a backend server leaves.
func (s *Scheduler) recordLeaving(a RecordLeaving) {
	s.config.Log.WithFields(logrus.Fields{"event": "backend_leaving", "backend": a.origin.backend, "start": a.origin.startTime, "source": a.source, "lobby": a.peer, "list_age": a.listAge}).Info("backend server leaves: no new requests")
}

// recordEvacuation logs that the evacuation of a failure domain begins or ends.
func (s *Scheduler) recordEvacuation(a RecordEvacuation) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "evacuation", "domain": a.domain, "state": a.state, "source": a.source, "age": a.age, "backends": a.backends})
	switch {
	case a.backends == 0:
		log.Warn("no backend server belongs to the failure domain")
	case a.state == evacuationEnded:
		log.Info("backend servers of the failure domain get requests again")
	default:
		log.Info("backend servers of the failure domain get no new requests")
	}
}

// recordShare logs that requests wait for a share of slots.
func (s *Scheduler) recordShare(a RecordShare) {
	s.config.Log.WithFields(logrus.Fields{
		"event": "share_used", "service": a.load.Service(), "open": a.load.Open(), "limit": a.load.Limit(), "slots": a.load.Slots(), "peers": a.load.Peers(), "waiting": a.waiting,
	}).Info("share of the slots is used: requests wait in the queue")
}

// recordHold logs that a backend server is held, or that its hold ends.
func (s *Scheduler) recordHold(a RecordHold) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "hold", "backend": a.backend, "asked": a.asked, "until": a.until, "age": a.age, "list_age": a.listAge, "lobbies": a.lobbies})
	switch {
	case a.ended:
		log.WithField("event", "hold_ended").Info("requests return to the backend server a few at a time")
	case a.asked > maxHold:
		log.Warn("backend server refused a request and asks for an absurdly long time without others: shortened")
	default:
		log.Info("backend server refused a request and wants no others for a time")
	}
}

// recordCold logs that a cold time of a backend server has begun or ended.
func (s *Scheduler) recordCold(a RecordCold) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "cold", "backend": a.backend, "cold": a.cold, "until": a.until, "list_age": a.listAge})
	if a.cold {
		log.Info("backend server is cold: requests are limited to its cold rate")
		return
	}
	log.Info("backend server is not cold any more: the rate of requests rises")
}

// recordLimit logs that a backend server has begun or ceased to name a rate, or has changed it.
func (s *Scheduler) recordLimit(a RecordLimit) {
	s.stats.limits[a.state].Inc()
	s.config.Log.WithFields(logrus.Fields{"event": "limit", "backend": a.backend, "state": a.state, "rate": a.rate, "before": a.before, "age": a.age, "share": a.share, "lobbies": a.lobbies, "lobby": a.peer}).Info(limitTexts[a.state])
}

// recordQuarantine logs that a suspect was quarantined, tried or released.
func (s *Scheduler) recordQuarantine(change quarantine.Change) {
	log := s.config.Log.WithFields(logrus.Fields{
		"event": change.State(), "kind": change.Suspect().Kind(), "suspect": change.Suspect().ID(), "crashes": change.Events(), "last_crash": change.LastCrash(), "until": change.Until(),
	})
	switch change.State() {
	case quarantine.Quarantined:
		s.stats.quarantines.Inc()
		log.Warn("suspect quarantined: backend servers closed their connections before they answered it")
	case quarantine.Tried:
		log.Info("suspect tried: a single request of it may run")
	case quarantine.Released:
		log.Info("suspect released: it was answered, or its crashes are long ago or explained by another suspect")
	}
}

// contentFields returns log fields that identify a request's content: its fingerprint
// and the IDs of its prompt's parts.
func contentFields(request *httpmeta.Request) logrus.Fields {
	ids := make([]string, 0, len(request.Parts()))
	for _, part := range request.Parts() {
		ids = append(ids, part.ID())
	}
	return logrus.Fields{"fingerprint": request.Fingerprint(), "parts": strings.Join(ids, ",")}
}

func (s *Scheduler) logRefusal(r Refuse) {
	log := s.config.Log
	if r.Cause() == quarantined {
		log = log.WithFields(contentFields(r.Request()))
	}
	log.WithFields(logrus.Fields{
		"event": "refused", "request": r.Request().ID(), "cause": r.Cause(), "status": r.Status(), "model": r.Request().Model(),
		"adapter": r.Request().Adapter(), "retry_after": r.RetryAfter(), "forecast": r.Forecast(),
		"waited": r.Waited(), "holders": r.Holders(), "waiting": r.Queued(), "list_age": r.ListAge(),
	}).Warn("request refused")
}

// recordLevel returns the log level for the end of a send. Failures are
// warnings, so that they are kept when lower levels are dropped.
func recordLevel(r RecordSend) logrus.Level {
	if r.Result() == Complete || r.Result() == Deferred {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}
