package levertimer

import (
	"context"
	"sync"
	"time"
)

// End is the time at which a VM's work ends. The zero value is not set. It is safe
// for concurrent use.
type End struct {
	mu     sync.Mutex
	at     time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

// Set sets the end.
func (e *End) Set(s *Service, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = at
	e.init()
	s.RunAfter(at.Sub(s.Now()), e.cancel)
}

// Context returns a context that is done at the end.
func (e *End) Context() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.init()
}

// init returns the context. The caller holds the mutex.
func (e *End) init() context.Context {
	if e.ctx == nil {
		e.ctx, e.cancel = context.WithCancel(context.Background())
	}
	return e.ctx
}

// Limit returns the end if it is set and before t, otherwise t.
func (e *End) Limit(t time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.at.IsZero() || t.Before(e.at) {
		return t
	}
	return e.at
}
