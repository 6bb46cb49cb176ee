package leverlog_test

import (
	"bytes"
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/leverlog"

	"github.com/matryer/is"
)

// TestBoundOfKind: lines of one kind are bounded, and what was left out is told.
func TestBoundOfKind(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l := leverlog.New(&b, "info", "vm").For("part")
	for range 10000 {
		l.Info("a request ended")
	}
	l.Info("another sentence")
	is.True(strings.Count(b.String(), "a request ended") < 1000)
	is.True(strings.Contains(b.String(), "another sentence"))
}

// stuck is a writer that does not return until it is let go.
type stuck struct {
	free chan struct{}
	n    int
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	s.n++
	return len(b), nil
}

// TestSinkNeverBlocks: lines that find the queue full are dropped and counted.
func TestSinkNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &stuck{free: make(chan struct{})}
	s := leverlog.NewSink(w)
	for range 10000 {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(s.Dropped() > 0)
	close(w.free)
	s.Close()
	is.True(w.n < 10000)
}
