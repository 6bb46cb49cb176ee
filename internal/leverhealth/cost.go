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
	h.First = t.state(first, now).expect(mean, now)
	s := t.state(second, now)
	h.Second = s.expect(mean*t.backlog(s, second, mean, now), now)
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

// flight is a call in flight.
type flight struct {
	at time.Time
	// work is the mean time of its class in seconds, or 0 if that is unknown.
	work float64
}

// BeginCall records the start of a call.
func (t *Tracker) BeginCall(u *leverdirectory.Upstream, c Class, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.inFlight = append(s.inFlight, flight{now, t.class(c).mean})
}

// maxFlightWork is the multiple of a class's mean time that a call in flight counts at
// most. A call that is never answered must not rule out an upstream that answers others.
const maxFlightWork = 20

// backlog returns the factor by which the work that an upstream has to do delays a call
// with the given mean time, in seconds. The work is that of this VM's calls in flight,
// by their classes and ages, and of the calls of others that the upstream has stated.
func (t *Tracker) backlog(s *state, u *leverdirectory.Upstream, mean float64, now time.Time) float64 {
	queue := float64(s.stated.others) * s.stated.weight(queueHalfLife, now)
	for _, f := range s.inFlight {
		if f.work <= 0 || mean <= 0 {
			queue++
			continue
		}
		rest := 1.0
		if t.shape.Ready() {
			rest = t.shape.Rest(now.Sub(f.at).Seconds() / (f.work * s.slowness.usual(now)))
		}
		queue += min(rest*f.work/mean, maxFlightWork)
	}
	return 1 + queue/float64(max(u.Slots, 1))
}
