package httpserver

import (
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger for gnet that passes its lines on to log.
func NewLogger(log *logrus.Entry) logging.Logger { return gnetLogger{log: log} }

// quietLogger is responsible for passing gnet's own log lines on, all but
// errors at debug level.
type gnetLogger struct {
	log *logrus.Entry
}

func (q gnetLogger) Debugf(format string, args ...any) { q.log.Debugf(format, args...) }

func (q gnetLogger) Infof(format string, args ...any) { q.log.Debugf(format, args...) }

func (q gnetLogger) Warnf(format string, args ...any) { q.log.Debugf(format, args...) }

func (q gnetLogger) Errorf(format string, args ...any) { q.log.Errorf(format, args...) }

func (q gnetLogger) Fatalf(format string, args ...any) { q.log.Errorf(format, args...) }
