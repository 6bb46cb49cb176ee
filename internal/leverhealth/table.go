// Package leverhealth holds what this VM believes of each upstream: how long
// it takes, whether it stands still, fails or sheds. All evidence comes from
// the VM's own calls. It does no I/O.
package leverhealth

import (
	"math"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// Class names the requests whose times are compared with each other.
type Class string

// Result says how a call ended.
type Result uint8

// The results.
const (
	// Good is a whole answer.
	Good Result = iota
	// Shed means that the upstream did not run the request.
	Shed
	// Elsewhere means that another upstream has the address.
	Elsewhere
	// Failed is an answer that says that the upstream failed.
	Failed
	// Reset means that the connection ended without a whole answer.
	Reset
	// Refused means that no connection could be made.
	Refused
	// GivenUp means that the call was not waited for any longer.
	GivenUp
	// Withdrawn means that the call was given up before it was sent.
	Withdrawn
	// Absent means that the upstream is well and does not have what was asked.
	Absent
)

const (
	// gain is the weight of one more observation.
	gain = 0.2
	// classGain is the same for the figures over all upstreams.
	classGain = 0.01
	// forget is the half-life of what is believed without new evidence. Slow
	// spells of upstreams last a few seconds.
	forget = 2 * time.Second
	// firstPause and longestPause bound how long an upstream is avoided after
	// connections to it failed; the pause doubles with each failure.
	firstPause   = 150 * time.Millisecond
	longestPause = 2 * time.Second
	// elsewherePause is how long an address is avoided that another upstream
	// answers at; the list is corrected within that time.
	elsewherePause = 3 * time.Second
	// avoided is the penalty for what may be used only if nothing else can.
	avoided = 10 * time.Second
	// stalledPenalty ranks an upstream that stands still behind a slow one.
	stalledPenalty = time.Second
	// failureCost is the time that a failure is taken to cost.
	failureCost = 150 * time.Millisecond
	// coldFactor is how much slower an upstream is taken to be after its start.
	coldFactor = 1.5
	// leastDelay and mostDeviations bound the time after which a call is
	// unusually slow.
	leastDelay     = 8 * time.Millisecond
	mostDeviations = 3.0
	// baseFall is the weight of one more observation below the base. One above it
	// raises the base by baseRise of itself at the most: a flood must not make the
	// work look greater while it lasts.
	baseFall = 0.1
	baseRise = 0.0002
	// firstMean stands for a class without observations.
	firstMean = 20 * time.Millisecond
)

// Table holds the beliefs. The zero value is ready to use. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	states  map[leverdirectory.Key]*state
	classes map[Class]*spread
}

// spread is the mean and the mean deviation of a class's times in seconds.
type spread struct {
	mean, deviation float64
	// base is about the least time, that of a call that does not queue.
	base float64
	n    int
}

// state is what is believed of one start of an upstream.
type state struct {
	seen  time.Time
	open  []time.Time
	heard time.Time
	// slow is the upstream's time over the class's mean, by class.
	slow map[Class]*average
	// failing is the part of the calls that failed.
	failing  average
	pause    time.Duration
	avoid    time.Time
	belief   Belief
	coldTill time.Time
}

// average moves with each observation and falls back to its base with time.
type average struct {
	value, base float64
	at          time.Time
}

func (a *average) get(now time.Time) float64 {
	if a.at.IsZero() {
		return a.base
	}
	keep := math.Exp2(-float64(now.Sub(a.at)) / float64(forget))
	return a.base + (a.value-a.base)*keep
}

func (a *average) add(v float64, now time.Time) {
	old := a.get(now)
	a.value = old + gain*(v-old)
	a.at = now
}

func (t *Table) state(u *leverdirectory.Upstream, now time.Time) *state {
	if t.states == nil {
		t.states = make(map[leverdirectory.Key]*state)
	}
	s := t.states[u.Key()]
	if s == nil {
		s = &state{slow: make(map[Class]*average), coldTill: now.Add(u.ColdFor), belief: Sound}
		t.states[u.Key()] = s
	}
	s.seen = now
	return s
}

func (t *Table) class(c Class) *spread {
	if t.classes == nil {
		t.classes = make(map[Class]*spread)
	}
	s := t.classes[c]
	if s == nil {
		s = &spread{mean: firstMean.Seconds(), base: firstMean.Seconds(), deviation: firstMean.Seconds() / 2}
		t.classes[c] = s
	}
	return s
}

// Begin takes in that a call starts.
func (t *Table) Begin(u *leverdirectory.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.open = append(s.open, now)
}

// End takes in how the call that began at start ended. It returns what is
// believed anew of the upstream, or "".
func (t *Table) End(u *leverdirectory.Upstream, c Class, start time.Time, r Result, now time.Time) Belief {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	before := s.belief
	t.take(s, c, start, r, now)
	s.belief = s.believe(now)
	if s.belief == before {
		return ""
	}
	return s.belief
}

// Belief is what a VM thinks of an upstream.
type Belief string

// The beliefs.
const (
	// Sound upstreams are used as their times suggest.
	Sound Belief = "sound"
	// Unreachable upstreams, and addresses that another upstream answers at,
	// are used only if nothing else can be.
	Unreachable Belief = "unreachable"
	// Failing upstreams fail or shed at least half of the calls.
	Failing Belief = "failing"
)

// failingPart and soundPart are the parts of failed calls from which on an
// upstream counts as failing, and below which it counts as sound again.
const (
	failingPart = 0.5
	soundPart   = 0.2
)

func (s *state) believe(now time.Time) Belief {
	part := s.failing.get(now)
	switch {
	case now.Before(s.avoid):
		return Unreachable
	case part >= failingPart, s.belief == Failing && part >= soundPart:
		return Failing
	}
	return Sound
}

func (t *Table) take(s *state, c Class, start time.Time, r Result, now time.Time) {
	for i, at := range s.open {
		if at.Equal(start) {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			break
		}
	}
	switch r {
	case Absent:
		s.heard = now
	case Good:
		s.heard = now
		s.pause = 0
		s.avoid = time.Time{}
		s.failing.add(0, now)
		t.observe(s, c, now.Sub(start), now)
	case Shed, Failed:
		s.heard = now
		s.failing.add(1, now)
	case Reset:
		s.failing.add(1, now)
	case Refused:
		s.pause = min(max(2*s.pause, firstPause), longestPause)
		s.avoid = now.Add(s.pause)
	case Elsewhere:
		s.avoid = now.Add(elsewherePause)
	case GivenUp:
		t.observe(s, c, now.Sub(start), now)
	}
}

// observe compares a time with the class's. What is far out counts for the
// upstream, not for the class.
func (t *Table) observe(s *state, c Class, took time.Duration, now time.Time) {
	g := t.class(c)
	v := took.Seconds()
	clipped := min(v, g.mean+4*g.deviation)
	g.n++
	w := max(classGain, 1/float64(g.n+1))
	g.deviation += w * (math.Abs(clipped-g.mean) - g.deviation)
	g.mean += w * (clipped - g.mean)
	if clipped < g.base {
		g.base += baseFall * (clipped - g.base)
	} else {
		g.base += baseRise * min(clipped-g.base, g.base)
	}
	a := s.slow[c]
	if a == nil {
		a = &average{base: 1}
		s.slow[c] = a
	}
	a.add(v/max(g.mean, 1e-4), now)
}

// SlowAfter returns the time after which a call of the class is unusually
// slow.
func (t *Table) SlowAfter(c Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowAfter(c)
}

func (t *Table) slowAfter(c Class) time.Duration {
	g := t.class(c)
	return max(seconds(g.mean+mostDeviations*g.deviation), leastDelay)
}

// Work returns the time that a call of the class takes without queueing.
func (t *Table) Work(c Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seconds(t.class(c).base)
}

// Expect returns the time that a call is expected to take, with penalties for
// what speaks against the upstream.
func (t *Table) Expect(u *leverdirectory.Upstream, c Class, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	g := t.class(c)
	v := g.mean
	if a := s.slow[c]; a != nil {
		v *= a.get(now)
	}
	v *= 1 + float64(len(s.open))/float64(max(u.Slots, 1))
	if now.Before(s.coldTill) {
		v *= coldFactor
	}
	v += s.failing.get(now) * failureCost.Seconds()
	d := seconds(v)
	if s.stalled(t.slowAfter(c), now) {
		d += stalledPenalty
	}
	if now.Before(s.avoid) {
		d += avoided
	}
	return d
}

// Usable reports whether an expected time carries no penalty for an upstream
// that stands still or can't be reached.
func Usable(d time.Duration) bool { return d < stalledPenalty }

// stalled reports whether a call is open for unusually long and nothing was
// heard since it began.
func (s *state) stalled(slow time.Duration, now time.Time) bool {
	for _, at := range s.open {
		if now.Sub(at) > slow && !s.heard.After(at) {
			return true
		}
	}
	return false
}

// Retain forgets the upstreams that known refuses.
func (t *Table) Retain(known func(leverdirectory.Key) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.states {
		if len(s.open) == 0 && !known(k) {
			delete(t.states, k)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
