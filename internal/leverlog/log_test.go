package leverlog_test

import (
	"bytes"
	"strings"
	"testing"

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
}
