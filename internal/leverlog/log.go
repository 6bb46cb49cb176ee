// Package leverlog writes the structured log: short sentences, each with the
// fixed prefix of the part that writes it.
package leverlog

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger is the log of one part. The zero value discards everything. It is
// safe for concurrent use.
type Logger struct {
	base   log.Logger
	prefix string
	gate   *gate
}

// New returns a logger that writes lines in logfmt to w, from the least level
// on, which is debug, info, warn or error.
func New(w io.Writer, least, vm string) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "time", log.DefaultTimestampUTC, "vm", vm)
	return Logger{base: level.NewFilter(base, level.Allow(level.ParseDefault(least, level.InfoValue()))), gate: &gate{}}
}

// For returns the log of the part with the given prefix.
func (l Logger) For(prefix string) Logger {
	return Logger{base: l.base, prefix: prefix + ": ", gate: l.gate}
}

// Debug writes what helps to find a fault.
func (l Logger) Debug(sentence string, pairs ...any) { l.write(level.Debug, sentence, pairs) }

// Info writes what an operator may want to know.
func (l Logger) Info(sentence string, pairs ...any) { l.write(level.Info, sentence, pairs) }

// Warn writes what an operator should look at.
func (l Logger) Warn(sentence string, pairs ...any) { l.write(level.Warn, sentence, pairs) }

// Error writes what keeps the process from its work.
func (l Logger) Error(sentence string, pairs ...any) { l.write(level.Error, sentence, pairs) }

func (l Logger) write(at func(log.Logger) log.Logger, sentence string, pairs []any) {
	if l.base == nil {
		return
	}
	leftOut, ok := l.gate.pass(l.prefix+sentence, time.Now())
	if !ok {
		return
	}
	if leftOut > 0 {
		pairs = append(pairs, "left-out", leftOut)
	}
	// A log that can't be written has nowhere to say so.
	_ = at(l.base).Log(append([]any{"msg", l.prefix + sentence}, pairs...)...)
}
