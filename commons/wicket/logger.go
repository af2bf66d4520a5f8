package wicket

import "github.com/sirupsen/logrus"

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
