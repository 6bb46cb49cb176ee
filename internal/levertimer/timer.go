// Package levertimer is the timer service: the one source of the time that the
// other parts subscribe to. It is built on package time, so that a test inside
// testing/synctest runs it on virtual time.
package levertimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Service hands out the time. The zero value is ready to use. It is safe for
// concurrent use.
type Service struct {
	mu     sync.Mutex
	rng    *rand.Rand
	active int
}

// Now returns the present time with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Active returns the number of subscriptions that have not been stopped.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Seed makes later random choices repeatable.
func (s *Service) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Jitter returns d scaled by a random factor in [1-part, 1+part).
func (s *Service) Jitter(d time.Duration, part float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := rand.Float64()
	if s.rng != nil {
		u = s.rng.Float64()
	}
	return time.Duration(float64(d) * (1 - part + 2*part*u))
}

// Pick returns a random number in [0, n), which must be positive.
func (s *Service) Pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng != nil {
		return s.rng.IntN(n)
	}
	return rand.IntN(n)
}

// Subscription delivers the time on C until it is stopped. A reader that is
// slow misses ticks; ticks never queue up.
type Subscription struct {
	// C receives the time of each tick.
	C    <-chan time.Time
	stop func()
	once sync.Once
}

// Stop ends the subscription. It may be called more than once.
func (u *Subscription) Stop() { u.once.Do(u.stop) }

// Every ticks with the given period, which must be positive.
func (s *Service) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	s.add(1)
	return &Subscription{C: t.C, stop: func() { t.Stop(); s.add(-1) }}
}

// After ticks once, d from now. A d of zero or less ticks at once.
func (s *Service) After(d time.Duration) *Subscription {
	t := time.NewTimer(d)
	s.add(1)
	return &Subscription{C: t.C, stop: func() { t.Stop(); s.add(-1) }}
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

func (s *Service) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// Gap returns how much longer than period a wait took that began at since. It
// is zero for a wait within period. A large gap means that the process stood
// still: it was stopped, or its VM was paused.
func Gap(since, now time.Time, period time.Duration) time.Duration {
	return max(now.Sub(since)-period, 0)
}

// Do calls f on a goroutine of its own, d from now.
func (s *Service) Do(d time.Duration, f func()) {
	s.add(1)
	time.AfterFunc(d, func() {
		s.add(-1)
		f()
	})
}
