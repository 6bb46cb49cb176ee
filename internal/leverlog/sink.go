package leverlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the number of lines that are buffered for a slow reader.
	queueSize = 2048
	// messageRate, in lines per second, and messageBurst, in lines, limit the
	// lines with the same message. Ten messages at the limit write about
	// 100 KB per second.
	messageRate  = 50
	messageBurst = 200
	// flushTimeout bounds how long Close waits for a slow writer, because a
	// process that stops has to end within its grace period.
	flushTimeout = 100 * time.Millisecond
)

// Sink is a writer that passes lines to a slow writer in the background. Lines
// that arrive while the queue is full are dropped and counted.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewSink returns a Sink that writes to w until Close is called.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line. It never blocks and never fails. Lines that arrive
// after Close may be lost.
func (s *Sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the Sink. It gives up when the writer
// takes longer than flushTimeout. Close must be called at most once.
func (s *Sink) Close() {
	close(s.closing)
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for {
		line := s.next()
		if line == nil {
			return
		}
		// A failure to write the log can't be logged.
		_, _ = s.w.Write(line)
		if n := s.dropped.Load(); n != reported {
			_, _ = io.WriteString(s.w, "level=warn msg=\"log: lines were dropped\" count="+strconv.FormatInt(n-reported, 10)+"\n")
			reported = n
		}
	}
}

// next waits for a line. It returns nil if the Sink is closed and no line is
// queued.
func (s *Sink) next() []byte {
	select {
	case line := <-s.lines:
		return line
	case <-s.closing:
	}
	select {
	case line := <-s.lines:
		return line
	default:
		return nil
	}
}

// limiter limits the rate of lines with the same message. It is safe for
// concurrent use.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one message.
type bucket struct {
	tokens     float64
	updated    time.Time
	suppressed int
}

// allow reports whether a line may be written, and how many lines with the same
// message were suppressed since the last one written.
func (l *limiter) allow(message string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	b := l.buckets[message]
	if b == nil {
		b = &bucket{tokens: messageBurst, updated: now}
		l.buckets[message] = b
	}
	b.tokens = min(b.tokens+messageRate*now.Sub(b.updated).Seconds(), messageBurst)
	b.updated = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}
