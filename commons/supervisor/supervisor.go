// Package supervisor runs the threads of a process as a supervision tree, in
// which each parent restarts the children that fail. It also starts and stops
// whole programs.
package supervisor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// Restart limits and the time-out of a stop. Each supervisor counts the failures
// of its children and halves the count every failureDecay. If the count exceeds
// failureThreshold, it waits for failureBackoff before it restarts children
// again. Children that do not return within stopTimeout after a stop are
// abandoned.
const (
	failureThreshold = 5.0
	failureDecay     = 30 // seconds
	failureBackoff   = 2 * time.Second
	stopTimeout      = 10 * time.Second
)

// Service is a supervised thread. Serve runs until ctx is done or it fails; the
// supervisor restarts a failed service.
type Service interface {
	Serve(ctx context.Context) error
}

// Token identifies a service that was added to a supervisor, for Remove.
type Token = suture.ServiceToken

// Config holds the construction parameters of a Supervisor.
type Config struct {
	Name string // name in supervision events
	Log  *logrus.Entry
}

// Supervisor is one inner node of the supervision tree: it starts its children,
// restarts those that fail and stops all of them together.
type Supervisor struct {
	node *suture.Supervisor
}

// New returns a supervisor without children.
func New(config Config) *Supervisor {
	spec := suture.Spec{
		EventHook:        logEvent(config.Log),
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	}
	return &Supervisor{node: suture.New(config.Name, spec)}
}

// Add adds a child, which is started at once if the supervisor is running.
func (s *Supervisor) Add(service Service) Token { return s.node.Add(service) }

// Remove stops a child and removes it.
func (s *Supervisor) Remove(token Token) error { return s.node.Remove(token) }

// Serve runs the children until ctx is done.
func (s *Supervisor) Serve(ctx context.Context) error { return s.node.Serve(ctx) }

func logEvent(log *logrus.Entry) suture.EventHook {
	return func(event suture.Event) {
		fields := logrus.Fields{"event": "supervision"}
		log.WithFields(fields).Warn(event.String())
	}
}
