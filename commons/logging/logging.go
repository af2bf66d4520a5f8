// Package logging sets up the structured log of a process: one line of key=value
// pairs per event.
package logging

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Config holds the construction parameters of a logger.
type Config struct {
	Output   io.Writer
	Level    string // debug, info, warning or error
	Program  string
	Instance string
}

// New returns a logger that adds the program and the instance to every line, and cuts long
// values. It returns an error if the level is unknown.
func New(config Config) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(config.Level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", config.Level)
	}
	log := logrus.New()
	log.SetOutput(config.Output)
	log.SetLevel(level)
	log.AddHook(lengthLimit{})
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	return log.WithFields(logrus.Fields{"program": config.Program, "instance": config.Instance}), nil
}
