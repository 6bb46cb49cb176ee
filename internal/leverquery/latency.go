package leverquery

import (
	"sync"
	"time"
)

const (
	// fastestWindow is over how long the fastest answer is remembered.
	fastestWindow = 5 * time.Second
	// fastestPart of the fastest answer is the least time worth a try.
	fastestPart = 0.5
)

// fastest remembers the fastest answers of the last seconds. The zero value
// knows none. It is safe for concurrent use.
type fastest struct {
	mu            sync.Mutex
	now, previous time.Duration
	began         time.Time
}

// observe takes in an answer's time.
func (f *fastest) observe(took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.began) > fastestWindow {
		f.previous, f.now, f.began = f.now, took, now
	}
	f.now = min(f.now, took)
}

// least returns the least time that an answer can take, zero if unknown.
func (f *fastest) least(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.began) > 2*fastestWindow || f.previous == 0 {
		return 0
	}
	return time.Duration(fastestPart * float64(min(f.now, f.previous)))
}
