package leverhealth

import (
	"math"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

const (
	// Forever is the wait for an upstream that is leaving.
	Forever = time.Duration(math.MaxInt64)
	// leavingTTL is how long an upstream that is leaving is remembered after it was
	// last listed. Its entry may expire and be back.
	leavingTTL = time.Hour
	// MaxPause is the longest pause that an upstream may ask for. A faulty one must not
	// take itself out of use for good.
	MaxPause = 5 * time.Minute
)

// blocks holds the upstreams that take no requests from this VM. The tracker's mutex
// guards the maps.
type blocks struct {
	// n is the number of entries.
	n atomic.Int64
	// leaving holds when each upstream that is leaving was last listed.
	leaving map[leverdirectory.Key]time.Time
	// pauses holds when the pause of each upstream that has asked for one ends.
	pauses map[leverdirectory.Key]time.Time
	// odd holds the upstreams that have asked for an odd pause.
	odd map[leverdirectory.Key]bool
}

func (b *blocks) count() { b.n.Store(int64(len(b.leaving) + len(b.pauses))) }

// Leave records that an upstream is leaving, which lasts until its run ends. It
// returns false if that is known.
func (t *Tracker) Leave(u *leverdirectory.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blocks.leaving == nil {
		t.blocks.leaving = make(map[leverdirectory.Key]time.Time)
	}
	_, known := t.blocks.leaving[u.Key()]
	t.blocks.leaving[u.Key()] = now
	t.blocks.count()
	return !known
}

// Pause records that an upstream takes no requests for d. It returns false if a pause
// is under way, which d may extend.
func (t *Tracker) Pause(u *leverdirectory.Upstream, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blocks.pauses == nil {
		t.blocks.pauses = make(map[leverdirectory.Key]time.Time)
	}
	until, known := t.blocks.pauses[u.Key()]
	if end := now.Add(d); end.After(until) {
		t.blocks.pauses[u.Key()] = end
	}
	t.blocks.count()
	return !known
}

// EndPause forgets the pause of an upstream if it is over. Otherwise it returns how
// much of it is left.
func (t *Tracker) EndPause(u *leverdirectory.Upstream, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left := t.blocks.pauses[u.Key()].Sub(now); left > 0 {
		return left
	}
	delete(t.blocks.pauses, u.Key())
	t.blocks.count()
	return 0
}

// FirstOddPause reports whether an upstream has not asked for an odd pause before.
func (t *Tracker) FirstOddPause(u *leverdirectory.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blocks.odd == nil {
		t.blocks.odd = make(map[leverdirectory.Key]bool)
	}
	first := !t.blocks.odd[u.Key()]
	t.blocks.odd[u.Key()] = true
	return first
}

// AnyBlocked reports whether Wait may return a time other than 0 for any upstream.
func (t *Tracker) AnyBlocked() bool { return t.blocks.n.Load() > 0 }

// Wait returns how long an upstream takes no requests from this VM: 0 if it takes
// them, Forever if it is leaving.
func (t *Tracker) Wait(u *leverdirectory.Upstream, now time.Time) time.Duration {
	if !t.AnyBlocked() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.blocks.leaving[u.Key()]; ok {
		return Forever
	}
	return max(t.blocks.pauses[u.Key()].Sub(now), 0)
}

// retain forgets the upstreams that have not been listed for long, and returns those
// that were leaving.
func (b *blocks) retain(known func(leverdirectory.Key) bool, now time.Time) []leverdirectory.Key {
	var gone []leverdirectory.Key
	for k, listed := range b.leaving {
		switch {
		case known(k):
			b.leaving[k] = now
		case now.Sub(listed) >= leavingTTL:
			delete(b.leaving, k)
			gone = append(gone, k)
		}
	}
	for k := range b.odd {
		if !known(k) {
			delete(b.odd, k)
		}
	}
	b.count()
	return gone
}
