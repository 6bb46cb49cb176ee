package leverhealth

import (
	"math"
	"time"

	"arbutuslever.dev/lever/internal/levercost"
	"arbutuslever.dev/lever/internal/leverdirectory"
)

const (
	// queueHalfLife is the half-life of the queue that an upstream has stated. At tens of
	// milliseconds per call, its queue is another one after that time.
	queueHalfLife = 100 * time.Millisecond
	// paceHalfLife is that of the pace, after which the times of this VM's own calls say
	// more. Slow spells last 600 ms or longer.
	paceHalfLife = 300 * time.Millisecond
	// loadWindow is the age from which a stated load has no effect.
	loadWindow = 2 * time.Second
	// usualPace is the pace of an upstream that works as fast as usual.
	usualPace = 100
)

// Load is what an upstream states about its own load. The zero value states nothing.
type Load struct {
	// Running and Waiting are the requests of all VMs, Slots how many can run.
	Running, Waiting, Slots int
	// Pace is how long work takes at this moment, in percent of the usual time; 0 if it
	// is not stated.
	Pace int
}

// Stated reports whether the upstream has stated its load.
func (l Load) Stated() bool { return l.Slots > 0 }

// statedLoad is the last load that an upstream has stated.
type statedLoad struct {
	Load
	at time.Time
	// others is the number of requests that this VM has not sent.
	others int
}

// ObserveLoad records the load that an upstream has stated in a response. The call that
// received it is still in flight.
func (t *Tracker) ObserveLoad(u *leverdirectory.Upstream, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.stated = statedLoad{l, now, max(l.Running+l.Waiting-len(s.inFlight), 0)}
}

// FirstOddLoad reports whether an upstream has not stated an invalid load before.
func (t *Tracker) FirstOddLoad(u *leverdirectory.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	first := !s.oddLoad
	s.oddLoad = true
	return first
}

// weight returns how much of what was stated still holds.
func (l *statedLoad) weight(halfLife time.Duration, now time.Time) float64 {
	if !l.Stated() || now.Sub(l.at) >= loadWindow {
		return 0
	}
	return math.Exp2(-float64(now.Sub(l.at)) / float64(halfLife))
}

// present returns the expected ratio of the upstream's time to the mean of a class.
func (s *state) present(now time.Time) float64 {
	v := s.slowness.get(now)
	if s.stated.Pace == 0 {
		return v
	}
	w := s.stated.weight(paceHalfLife, now)
	return v + w*(s.slowness.usual(now)*float64(s.stated.Pace)/usualPace-v)
}

// expect returns what is expected of a call with the given mean time, in seconds.
func (s *state) expect(mean float64, now time.Time) levercost.Expectation {
	e := s.slowness.expect(mean, now)
	if s.stated.Pace == 0 {
		return e
	}
	// The stated pace takes the place of what was learned as far as it still holds.
	if w := s.stated.weight(paceHalfLife, now); w > e.Weight {
		e.Last, e.Weight = e.Usual*float64(s.stated.Pace)/usualPace, w
	}
	return e
}
