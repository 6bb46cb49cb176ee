package leverlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverlog"

	"github.com/matryer/is"
)

// TestRateLimitPerMessage checks that lines with the same message are rate
// limited, and that other messages still pass.
func TestRateLimitPerMessage(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l := leverlog.New(&b, "info", "vm").For("part")
	for range 10000 {
		l.Info("a request ended")
	}
	l.Info("another message")
	is.True(strings.Count(b.String(), "a request ended") < 1000)
	is.True(strings.Contains(b.String(), "another message"))
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	n       int
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.n++
	return len(b), nil
}

// TestSinkNeverBlocks checks that a Sink drops and counts lines while its queue
// is full, so that a blocked reader of the log can't stall the process.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		s := leverlog.NewSink(w)
		for range 10000 {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.True(s.Dropped() > 0)
		close(w.release)
		s.Close()
		is.True(w.n < 10000)
	})
}

// TestLineAfterCloseEndedTheProcess logs from a goroutine that outlives Close.
func TestLineAfterCloseEndedTheProcess(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	s := leverlog.NewSink(&b)
	_, err := s.Write([]byte("line\n"))
	is.NoErr(err)
	s.Close()
	is.Equal(b.String(), "line\n")
	for range 10000 {
		_, err := s.Write([]byte("late\n"))
		is.NoErr(err)
	}
}

// TestBlockedReaderHeldTheEnd closes a Sink whose reader never reads.
func TestBlockedReaderHeldTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		s := leverlog.NewSink(w)
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		began := time.Now()
		s.Close()
		is.True(time.Since(began) < time.Second)
		close(w.release)
	})
}
