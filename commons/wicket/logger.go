package wicket

import (
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger for gnet that passes its lines on to log.
func NewLogger(log *logrus.Entry) logging.Logger { return quietLogger{log: log} }

// quietLogger is responsible for passing gnet's own log lines on, all but
// errors at debug level.
type quietLogger struct {
	log *logrus.Entry
}

func (q quietLogger) Debugf(format string, args ...any) { q.log.Debugf(format, args...) }

func (q quietLogger) Infof(format string, args ...any) { q.log.Debugf(format, args...) }

func (q quietLogger) Warnf(format string, args ...any) { q.log.Debugf(format, args...) }

func (q quietLogger) Errorf(format string, args ...any) { q.log.Errorf(format, args...) }

func (q quietLogger) Fatalf(format string, args ...any) { q.log.Errorf(format, args...) }
