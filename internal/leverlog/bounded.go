package leverlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 2048
	// kindRate and kindBurst bound the lines of one kind: those with the same
	// sentence. At the bound ten kinds write about 100 KB a second.
	kindRate  = 50
	kindBurst = 200
)

// Sink writes lines to a slow writer without making anyone wait. Lines that
// find its queue full are dropped and counted.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewSink returns a sink that writes to w until Close is called.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued and ends the writing. Nothing may be written
// after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	told := int64(0)
	for line := range s.lines {
		// A log that can't be written has nowhere to say so.
		_, _ = s.w.Write(line)
		if n := s.dropped.Load(); n != told {
			_, _ = io.WriteString(s.w, "level=warn msg=\"log: lines were dropped\" count="+strconv.FormatInt(n-told, 10)+"\n")
			told = n
		}
	}
}

// gate bounds the lines of each kind. It is safe for concurrent use.
type gate struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is a token bucket for the lines with one sentence.
type kind struct {
	tokens  float64
	at      time.Time
	leftOut int
}

// pass reports whether a line may be written, and how many of its kind were
// left out before it.
func (g *gate) pass(sentence string, now time.Time) (leftOut int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.kinds == nil {
		g.kinds = make(map[string]*kind)
	}
	k := g.kinds[sentence]
	if k == nil {
		k = &kind{tokens: kindBurst, at: now}
		g.kinds[sentence] = k
	}
	k.tokens = min(k.tokens+kindRate*now.Sub(k.at).Seconds(), kindBurst)
	k.at = now
	if k.tokens < 1 {
		k.leftOut++
		return 0, false
	}
	k.tokens--
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
