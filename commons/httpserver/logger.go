package httpserver

import (
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger for gnet that writes to log.
func NewLogger(log *logrus.Entry) logging.Logger { return gnetLogger{log: log} }

// gnetLogger forwards gnet's log lines: errors at error level, all others at debug
// level.
type gnetLogger struct {
	log *logrus.Entry
}

func (l gnetLogger) Debugf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Infof(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Warnf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Errorf(format string, args ...any) { l.log.Errorf(format, args...) }

func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Errorf(format, args...) }
