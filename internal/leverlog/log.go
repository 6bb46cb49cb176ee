// Package leverlog writes structured logs. Each message has the fixed prefix of
// the component that logs it.
package leverlog

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger is the logger of one component. The zero value discards all lines. It
// is safe for concurrent use.
type Logger struct {
	base    log.Logger
	prefix  string
	limiter *limiter
}

// New returns a Logger that writes logfmt lines at minLevel or above to w. The
// levels are debug, info, warn and error; any other minLevel means info.
func New(w io.Writer, minLevel, vm string) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "time", log.DefaultTimestampUTC, "vm", vm)
	return Logger{base: level.NewFilter(base, level.Allow(level.ParseDefault(minLevel, level.InfoValue()))), limiter: &limiter{}}
}

// For returns the logger of the component with the given prefix.
func (l Logger) For(prefix string) Logger {
	return Logger{base: l.base, prefix: prefix + ": ", limiter: l.limiter}
}

// Debug logs details for troubleshooting.
func (l Logger) Debug(message string, keyvals ...any) { l.write(level.Debug, message, keyvals) }

// Info logs an event of normal operation.
func (l Logger) Info(message string, keyvals ...any) { l.write(level.Info, message, keyvals) }

// Warn logs a condition that an operator should look into.
func (l Logger) Warn(message string, keyvals ...any) { l.write(level.Warn, message, keyvals) }

// Error logs a failure that needs an operator.
func (l Logger) Error(message string, keyvals ...any) { l.write(level.Error, message, keyvals) }

func (l Logger) write(withLevel func(log.Logger) log.Logger, message string, keyvals []any) {
	if l.base == nil {
		return
	}
	suppressed, ok := l.limiter.allow(l.prefix+message, time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		keyvals = append(keyvals, "left-out", suppressed)
	}
	// A failure to write the log can't be logged.
	_ = withLevel(l.base).Log(append([]any{"msg", l.prefix + message}, keyvals...)...)
}
