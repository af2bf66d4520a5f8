package placement

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	// savePeriod is the time between two saves of the demand.
	savePeriod = 5 * time.Second
	// minDemandChange is the change, as a share of the demand, below which it is not
	// saved again.
	minDemandChange = 0.1
	// recallPeriod is the time after the first list of backend servers during which the
	// demand saved before the start counts. By then what is in demand is known.
	recallPeriod = 10 * time.Second
	// recallRetryPeriod is the time between two attempts to read the saved demand.
	recallRetryPeriod = 500 * time.Millisecond
)

// DemandStore keeps the demand for models while all lobbies are down.
type DemandStore interface {
	// SaveDemand writes the demand, in engines by model.
	SaveDemand(demand map[string]float64) error
	// SavedDemand returns the demand that was written last, nil if there is none.
	SavedDemand() (map[string]float64, error)
}

// recalledDemand is the message that carries the demand that was saved before this
// lobby's start.
type recalledDemand struct{ demand map[string]float64 }

// demandSave is the message that carries the demand to be saved.
type demandSave struct {
	demand map[string]float64
	always bool // another lobby may have saved its demand since this one's last save
}

// recorder reads the saved demand once and saves the demand that the planner passes to
// it. It has a thread of its own because calls of the store block.
type recorder struct {
	store     DemandStore
	planner   *ring.Ring
	inbox     *ring.Ring
	log       *logrus.Entry
	last      map[string]float64
	reachable bool
}

func newRecorder(store DemandStore, planner *ring.Ring, log *logrus.Entry) *recorder {
	return &recorder{store: store, planner: planner, inbox: ring.New(ring.Config{Name: "demand", Capacity: 1}), log: log, reachable: true}
}

// String returns the thread's name, which supervision events carry.
func (*recorder) String() string { return "demand" }

// save queues the demand. While the store does not answer, it is dropped and the result is
// false: the next save follows after savePeriod.
func (r *recorder) save(save demandSave) bool { return r.inbox.Put(save) == nil }

// Serve recalls the saved demand, and then saves what is queued until ctx ends.
func (r *recorder) Serve(ctx context.Context) error {
	if err := r.recall(ctx); err != nil {
		return err
	}
	for {
		item, err := r.inbox.Take(ctx)
		if err != nil {
			return err
		}
		save, ok := item.(demandSave)
		if !ok {
			continue
		}
		if save.always {
			r.last = nil
		}
		if !demandChanged(r.last, save.demand) {
			continue
		}
		if err := r.store.SaveDemand(save.demand); r.logResult(err) {
			r.last = save.demand
		}
	}
}

// recall reads the saved demand and passes it to the planner. It tries again until
// recallPeriod has passed: later the demand is known from requests.
func (r *recorder) recall(ctx context.Context) error {
	for range recallPeriod / recallRetryPeriod {
		demand, err := r.store.SavedDemand()
		if r.logResult(err) {
			r.log.WithFields(logrus.Fields{"event": "demand_recalled", "models": len(demand)}).Info("demand before the start read from the store")
			return r.planner.PutWithin(ctx, recalledDemand{demand: demand}, putTimeout)
		}
		if err := supervisor.Sleep(ctx, recallRetryPeriod); err != nil {
			return err
		}
	}
	return nil
}

// logResult logs when calls of the store begin to fail or succeed again. It reports
// whether the call succeeded.
func (r *recorder) logResult(err error) bool {
	log := r.log.WithFields(logrus.Fields{"event": "store", "reads": "demand"})
	if err != nil && r.reachable {
		log.WithError(err).Warn("demand for models not saved or read")
	}
	if err == nil && !r.reachable {
		log.Info("store reachable")
	}
	r.reachable = err == nil
	return r.reachable
}

// demandChanged reports whether the demand differs from the saved one by more than
// minDemandChange of it.
func demandChanged(saved, demand map[string]float64) bool {
	total, change := 0.0, 0.0
	for model, engines := range demand {
		total += engines
		change += math.Abs(engines - saved[model])
	}
	for model, engines := range saved {
		if _, ok := demand[model]; !ok {
			change += engines
		}
	}
	return change > minDemandChange*total
}
