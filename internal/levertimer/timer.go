// Package levertimer provides the current time, timers and random choices. It
// is built on package time, so that tests in a testing/synctest bubble use
// virtual time.
package levertimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Service provides time, timers and random choices. The zero value is ready to
// use. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	rng    *rand.Rand
	active int
}

// Now returns the current time with its monotonic clock reading.
func (s *Service) Now() time.Time { return time.Now() }

// Active returns the number of subscriptions that have not been stopped and of
// RunAfter calls that are pending.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Seed makes later random choices reproducible.
func (s *Service) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Jitter returns d scaled by a random factor in [1-fraction, 1+fraction).
func (s *Service) Jitter(d time.Duration, fraction float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := rand.Float64()
	if s.rng != nil {
		u = s.rng.Float64()
	}
	return time.Duration(float64(d) * (1 - fraction + 2*fraction*u))
}

// RandIntN returns a random number in [0, n), which must be positive.
func (s *Service) RandIntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng != nil {
		return s.rng.IntN(n)
	}
	return rand.IntN(n)
}

// Subscription delivers ticks on C until it is stopped. Ticks are dropped for a
// slow reader; they never queue up.
type Subscription struct {
	// C receives the time of each tick.
	C    <-chan time.Time
	stop func()
	once sync.Once
}

// Stop ends the subscription. Further calls have no effect.
func (s *Subscription) Stop() { s.once.Do(s.stop) }

// Every returns a subscription that ticks with the given period, which must be
// positive.
func (s *Service) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	s.addActive(1)
	return &Subscription{C: t.C, stop: func() { t.Stop(); s.addActive(-1) }}
}

// After returns a subscription that ticks once, after d. It ticks immediately
// if d is not positive.
func (s *Service) After(d time.Duration) *Subscription {
	t := time.NewTimer(d)
	s.addActive(1)
	return &Subscription{C: t.C, stop: func() { t.Stop(); s.addActive(-1) }}
}

// Sleep waits for d. It returns false if ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) bool {
	t := s.After(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// Overrun returns by how much a wait that began at since exceeded period, or
// zero if it did not. A large value means that the process was not running: it
// was stopped, or its VM was paused.
func Overrun(since, now time.Time, period time.Duration) time.Duration {
	return max(now.Sub(since)-period, 0)
}

// RunAfter calls f on its own goroutine after d. It cannot be canceled.
func (s *Service) RunAfter(d time.Duration, f func()) {
	s.addActive(1)
	time.AfterFunc(d, func() {
		s.addActive(-1)
		f()
	})
}
