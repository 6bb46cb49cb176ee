package levertimer

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseTick is the interval at which a PauseDetector runs.
	pauseTick = 100 * time.Millisecond
	// pauseThreshold is the shortest time without a tick that counts as a pause. A
	// VM whose processor time is limited may not run for some tenths of a second.
	pauseThreshold = 500 * time.Millisecond
	// pauseAftermath is how long after a pause messages may still be read that
	// arrived during it.
	pauseAftermath = 100 * time.Millisecond
)

// PauseDetector finds out whether the process was not running for a while: it was
// stopped, or its VM was suspended. Ages that messages state are then too small.
// Run must be running. It is safe for concurrent use.
type PauseDetector struct {
	Timer *Service

	mu sync.Mutex
	// tick is the time of the last tick, ended the end of the last pause.
	tick, ended time.Time
}

// Run ticks until ctx ends.
func (p *PauseDetector) Run(ctx context.Context) {
	for {
		p.Paused()
		p.mu.Lock()
		p.tick = p.Timer.Now()
		p.mu.Unlock()
		if !p.Timer.Sleep(ctx, pauseTick) {
			return
		}
	}
}

// Paused reports whether a pause has just ended.
func (p *PauseDetector) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	if !p.tick.IsZero() {
		// The steady clock may not count the time of a suspended VM.
		steady, wall := now.Sub(p.tick), now.Round(0).Sub(p.tick.Round(0))
		if max(steady, wall) > pauseThreshold {
			p.tick, p.ended = now, now
		}
	}
	return !p.ended.IsZero() && now.Sub(p.ended) < pauseAftermath
}
