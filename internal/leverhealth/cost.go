package leverhealth

import (
	"time"

	"arbutuslever.dev/lever/internal/levercost"
	"arbutuslever.dev/lever/internal/leverdirectory"
)

// FirstHedge returns the age from which a call of the class may be worth a second
// attempt. It returns false if too little is known to decide that.
func (t *Tracker) FirstHedge(c Class) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.class(c)
	s := t.shapeOf(stats)
	if !s.Ready() {
		return 0, false
	}
	return max(seconds(s.FirstHedge()*stats.mean), minSlowAfter), true
}

// WorthHedging reports whether an attempt at first gets a second one at another
// upstream. It sets what is expected of both.
func (t *Tracker) WorthHedging(first, second *leverdirectory.Upstream, c Class, h levercost.Hedge, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.class(c)
	mean := max(stats.mean, minMean)
	h.First = t.state(first, now).slowness.expect(mean, now)
	s := t.state(second, now)
	h.Second = s.slowness.expect(mean*s.load(second), now)
	return h.Worthwhile(t.shapeOf(stats))
}

// shapeOf returns the distribution of a class or, if there are too few calls of it, that
// of all classes.
func (t *Tracker) shapeOf(stats *classStats) *levercost.Shape {
	if stats.shape.Ready() {
		return &stats.shape
	}
	return &t.shape
}

// load returns the factor by which the calls in flight delay another one.
func (s *state) load(u *leverdirectory.Upstream) float64 {
	return 1 + float64(len(s.inFlight))/float64(max(u.Slots, 1))
}
