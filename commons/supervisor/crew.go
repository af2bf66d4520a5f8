// Package crew provides supervision: it runs the duties of a process as a tree
// in which each parent restarts the children that fail.
package supervisor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// Limits on restarts. A supervisor that sees more failures than
// failureThreshold, each counting half after failureDecay, pauses for
// failureBackoff before it restarts its children again.
const (
	failureThreshold = 5.0
	failureDecay     = 30 // seconds
	failureBackoff   = 2 * time.Second
	stopTimeout      = 10 * time.Second
)

// Service is a supervised activity. Serve runs until ctx ends or it fails; a
// failed service is started again by its supervisor.
type Service interface {
	Serve(ctx context.Context) error
}

// Token names one service of a supervisor, for its removal.
type Token = suture.ServiceToken

// Config holds the construction parameters of a Crew.
type Config struct {
	Name string
	Log  *logrus.Entry
}

// Crew is responsible for one node of the supervision tree: it starts its
// children, restarts those that fail and stops all of them together.
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

// Add makes service a child. It starts at once if the crew is running.
func (c *Supervisor) Add(service Service) Token { return c.node.Add(service) }

// Remove stops a child and forgets it.
func (c *Supervisor) Remove(token Token) error { return c.node.Remove(token) }

// Serve runs the children until ctx ends.
func (c *Supervisor) Serve(ctx context.Context) error { return c.node.Serve(ctx) }

func logEvent(log *logrus.Entry) suture.EventHook {
	return func(event suture.Event) {
		fields := logrus.Fields{"event": "supervision"}
		log.WithFields(fields).Warn(event.String())
	}
}
