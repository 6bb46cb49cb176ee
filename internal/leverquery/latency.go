package leverquery

import (
	"sync"
	"time"
)

const (
	// latencyWindow is the length of one measurement window. Two are kept.
	latencyWindow = 5 * time.Second
	// minLatencyFraction of the lowest latency is the minimum time left for
	// which a request is attempted.
	minLatencyFraction = 0.5
)

// minLatency tracks the lowest latency of the current and the previous window.
// The zero value has no measurements. It is safe for concurrent use.
type minLatency struct {
	mu            sync.Mutex
	now, previous time.Duration
	windowStart   time.Time
}

// observe records the latency of one answer.
func (l *minLatency) observe(took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > latencyWindow {
		l.previous, l.now, l.windowStart = l.now, took, now
	}
	l.now = min(l.now, took)
}

// bound returns a lower bound of an answer's latency, or 0 without recent
// measurements.
func (l *minLatency) bound(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > 2*latencyWindow || l.previous == 0 {
		return 0
	}
	return time.Duration(minLatencyFraction * float64(min(l.now, l.previous)))
}
