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
)

// blocks holds the upstreams that take no requests from this VM. The tracker's mutex
// guards the maps.
type blocks struct {
	// n is the number of entries.
	n atomic.Int64
	// leaving holds when each upstream that is leaving was last listed.
	leaving map[leverdirectory.Key]time.Time
}

func (b *blocks) count() { b.n.Store(int64(len(b.leaving))) }

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

// AnyBlocked reports whether Wait may return a time other than 0 for any upstream.
func (t *Tracker) AnyBlocked() bool { return t.blocks.n.Load() > 0 }

// Wait returns how long an upstream takes no requests from this VM: 0 if it takes
// them, Forever if it is leaving.
func (t *Tracker) Wait(u *leverdirectory.Upstream, _ time.Time) time.Duration {
	if !t.AnyBlocked() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.blocks.leaving[u.Key()]; ok {
		return Forever
	}
	return 0
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
	b.count()
	return gone
}
