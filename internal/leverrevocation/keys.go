// Package leverrevocation decides whether the keys that a VM knows may still be valid,
// by how long the VM has had no path to the store. It does no I/O.
package leverrevocation

import (
	"sync"
	"time"
)

const (
	// minAge is the least age of the last path that refuses requests. Observe is called
	// every 50 ms, but a VM whose processor time is limited may not run for some tenths
	// of a second.
	minAge = 500 * time.Millisecond
	// StartWait is how long a VM that has just started waits for a path before it uses
	// the keys that VMs without a path have sent. It is the usual time in which a revoked
	// key must stop working. At 3 s, a VM that the store had rejected for 2 s did not find
	// its path in time, because its pauses between calls grow to 2 s.
	StartWait = 5 * time.Second
)

// Keys decides whether requests with keys are served. The zero value serves them,
// except while a VM starts. It is safe for concurrent use.
type Keys struct {
	// Bound is how long after its revocation a key may be accepted at most, also by a
	// VM without a path. If it is 0, a VM without a path serves as before.
	Bound time.Duration
	// Detection is the longest time that the VM may take to notice that it has lost its
	// path.
	Detection time.Duration

	mu sync.Mutex
	// started and observed are the times of the first and of the last call of Observe.
	started, observed time.Time
	// path is when there last was a path, or zero.
	path time.Time
	// doubtUntil is the time until which a path is doubted after a pause.
	doubtUntil time.Time
}

// Observe records whether the VM seems to have a path.
func (k *Keys) Observe(hasPath bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.observed.IsZero() {
		k.started, k.observed = now, now
	}
	if k.Bound > 0 && since(k.observed, now) >= k.maxAge() {
		// The process was stopped for so long that its path may have been lost before,
		// which it has not noticed yet.
		k.doubtUntil = now.Add(k.Detection)
	}
	k.observed = now
	if hasPath && !now.Before(k.doubtUntil) {
		k.path = now
	}
}

// Starting reports whether the VM has just started and has found no path yet. Others
// without a path may have sent it keys that were revoked long ago.
func (k *Keys) Starting(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isStarting(now)
}

func (k *Keys) isStarting(now time.Time) bool {
	return k.path.IsZero() && (k.started.IsZero() || now.Sub(k.started) < StartWait)
}

// Refuse returns why requests that need a key are refused now, or "".
func (k *Keys) Refuse(now time.Time) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.isStarting(now):
		return "keys are not known to be valid: no path to the store since the start"
	case k.Bound > 0 && since(k.path, now) >= k.maxAge():
		return "keys may have been revoked: no path to the store"
	}
	return ""
}

// maxAge is the age of the last observed path at which the real one may have been lost
// for Bound.
func (k *Keys) maxAge() time.Duration { return max(k.Bound-k.Detection, minAge) }

// since returns the time since t. The steady clock may not count the time of a
// suspended VM.
func since(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
