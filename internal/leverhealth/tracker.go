// Package leverhealth estimates the response time and the health of each
// upstream: whether it is slow, unresponsive, failing or shedding load. The
// estimates are based on this VM's own calls only. It does no I/O.
package leverhealth

import (
	"math"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercost"
	"arbutuslever.dev/lever/internal/leverdirectory"
)

// Class identifies requests whose response times are comparable.
type Class string

// Result is the result of a call.
type Result uint8

// The results.
const (
	// Good is a complete response.
	Good Result = iota
	// Shed means that the upstream declined the request without running it, or
	// that the queue of its home VM rejected the call.
	Shed
	// WrongUpstream means that another upstream responded at the address.
	WrongUpstream
	// Failed is a response that reports a failure of the upstream.
	Failed
	// Reset means that the connection ended without a complete response.
	Reset
	// Refused means that no connection could be established.
	Refused
	// Canceled means that the call was canceled after it had been sent.
	Canceled
	// Withdrawn means that the call was canceled before it was sent.
	Withdrawn
	// Lost means that contact was lost with the VM that made the call. The result
	// is unknown and says nothing about the upstream.
	Lost
	// Absent means that the upstream is healthy but does not have what was
	// requested.
	Absent
)

const (
	// upstreamWeight is the weight of a new observation in the moving averages
	// of an upstream.
	upstreamWeight = 0.2
	// classWeight is the minimum weight of a new observation in the moving
	// averages of a class, which cover all upstreams.
	classWeight = 0.01
	// decayHalfLife is the half-life of a failure rate without new observations.
	decayHalfLife = 2 * time.Second
	// minAvoidance and maxAvoidance limit how long an upstream is avoided after
	// a failed connection. The time doubles with each failure.
	minAvoidance = 150 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// wrongUpstreamAvoidance is how long an address is avoided after another
	// upstream responded there. The list of upstreams is corrected within that
	// time.
	wrongUpstreamAvoidance = 3 * time.Second
	// avoidedPenalty is added for an upstream that may be used only if there is
	// no other.
	avoidedPenalty = 10 * time.Second
	// unresponsivePenalty ranks an unresponsive upstream behind a slow one.
	unresponsivePenalty = time.Second
	// failureCost is the assumed time that a failed call costs.
	failureCost = 150 * time.Millisecond
	// coldFactor is the assumed slowdown of an upstream after its start.
	coldFactor = 1.5
	// A call is unusually slow after the mean plus slowDeviations mean
	// deviations, but not before minSlowAfter.
	minSlowAfter   = 8 * time.Millisecond
	slowDeviations = 3.0
	// baseFallWeight is the weight of an observation below the base. One above
	// it raises the base by at most the fraction baseRiseWeight, so that
	// queueing during overload does not inflate the estimated work.
	baseFallWeight = 0.1
	baseRiseWeight = 0.0002
	// initialMean is the mean of a class without observations.
	initialMean = 20 * time.Millisecond
)

// Tracker holds the estimates of all upstreams. The zero value is ready to use.
// It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	states  map[leverdirectory.Key]*state
	classes map[Class]*classStats
	blocks  blocks
	// shape is the distribution of the times of all classes.
	shape levercost.Shape
}

// classStats holds the response time statistics of a class over all upstreams,
// in seconds.
type classStats struct {
	mean, deviation float64
	// base approximates the minimum, which is the time of a call that does not
	// queue.
	base float64
	n    int
	// shape is the distribution of the times, relative to what was expected of each
	// upstream.
	shape levercost.Shape
}

// state holds the estimates for one incarnation of an upstream.
type state struct {
	seen         time.Time
	inFlight     []flight
	lastResponse time.Time
	// slowness is the ratio of the upstream's time to the class's mean, of all
	// classes.
	slowness slowness
	stated   statedLoad
	// oddLoad is set if the upstream has stated an invalid load.
	oddLoad bool
	// failureRate is the fraction of calls that failed or were shed.
	failureRate decayingMean
	avoidance   time.Duration
	avoidUntil  time.Time
	status      Status
	coldUntil   time.Time
}

// decayingMean is an exponentially weighted moving average that decays to 0
// without new observations.
type decayingMean struct {
	value float64
	at    time.Time
}

func (m *decayingMean) get(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp2(-float64(now.Sub(m.at))/float64(decayHalfLife))
}

func (m *decayingMean) add(v float64, now time.Time) {
	old := m.get(now)
	m.value = old + upstreamWeight*(v-old)
	m.at = now
}

func (t *Tracker) state(u *leverdirectory.Upstream, now time.Time) *state {
	if t.states == nil {
		t.states = make(map[leverdirectory.Key]*state)
	}
	s := t.states[u.Key()]
	if s == nil {
		s = &state{coldUntil: now.Add(u.ColdFor), status: Healthy}
		t.states[u.Key()] = s
	}
	s.seen = now
	return s
}

func (t *Tracker) class(c Class) *classStats {
	if t.classes == nil {
		t.classes = make(map[Class]*classStats)
	}
	s := t.classes[c]
	if s == nil {
		s = &classStats{mean: initialMean.Seconds(), base: initialMean.Seconds(), deviation: initialMean.Seconds() / 2}
		t.classes[c] = s
	}
	return s
}

// Begin records the start of a call of an unknown class.
func (t *Tracker) Begin(u *leverdirectory.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	s.inFlight = append(s.inFlight, flight{at: now})
}

// Withdraw records that the call that began at start is not sent to the upstream.
func (t *Tracker) Withdraw(u *leverdirectory.Upstream, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[u.Key()]; s != nil {
		s.endCall(start)
	}
}

// endCall removes one call from those in flight.
func (s *state) endCall(start time.Time) {
	for i, f := range s.inFlight {
		if f.at.Equal(start) {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// End records the result of the call that began at start. It returns the
// upstream's new status if that has changed, otherwise "".
func (t *Tracker) End(u *leverdirectory.Upstream, c Class, start time.Time, r Result, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	before := s.status
	t.record(s, c, start, r, now)
	s.status = s.evaluate(now)
	if s.status == before {
		return ""
	}
	return s.status
}

// Status is the health status of an upstream as estimated by this VM.
type Status string

// The statuses.
const (
	// Healthy upstreams are ranked by their estimated time.
	Healthy Status = "sound"
	// Unreachable upstreams, and addresses at which another upstream responds,
	// are used only if there is no alternative.
	Unreachable Status = "unreachable"
	// Failing upstreams are those whose moving failure rate has reached
	// failingThreshold and is not yet below recoveryThreshold.
	Failing Status = "failing"
)

// failingThreshold is the failure rate from which an upstream counts as failing,
// recoveryThreshold the one below which it counts as healthy again.
const (
	failingThreshold  = 0.5
	recoveryThreshold = 0.2
)

func (s *state) evaluate(now time.Time) Status {
	rate := s.failureRate.get(now)
	switch {
	case now.Before(s.avoidUntil):
		return Unreachable
	case rate >= failingThreshold, s.status == Failing && rate >= recoveryThreshold:
		return Failing
	}
	return Healthy
}

func (t *Tracker) record(s *state, c Class, start time.Time, r Result, now time.Time) {
	s.endCall(start)
	switch r {
	case Absent:
		s.lastResponse = now
	case Good:
		s.lastResponse = now
		s.avoidance = 0
		s.avoidUntil = time.Time{}
		s.failureRate.add(0, now)
		t.observe(s, c, now.Sub(start), false, now)
	case Shed, Failed:
		s.lastResponse = now
		s.failureRate.add(1, now)
	case Reset:
		s.failureRate.add(1, now)
	case Refused:
		s.avoidance = min(max(2*s.avoidance, minAvoidance), maxAvoidance)
		s.avoidUntil = now.Add(s.avoidance)
	case WrongUpstream:
		s.avoidUntil = now.Add(wrongUpstreamAvoidance)
	case Canceled:
		t.observe(s, c, now.Sub(start), true, now)
	}
}

// observe updates the statistics of the class and the upstream with the time of
// a call. An outlier counts in full for the upstream, but is clipped for the
// class.
func (t *Tracker) observe(s *state, c Class, took time.Duration, silent bool, now time.Time) {
	stats := t.class(c)
	v := took.Seconds()
	ratio := v / max(stats.mean, minMean)
	stats.shape.Add(ratio / s.slowness.usual(now))
	t.shape.Add(ratio / s.slowness.usual(now))
	clipped := min(v, stats.mean+4*stats.deviation)
	stats.n++
	w := max(classWeight, 1/float64(stats.n+1))
	stats.deviation += w * (math.Abs(clipped-stats.mean) - stats.deviation)
	stats.mean += w * (clipped - stats.mean)
	if clipped < stats.base {
		stats.base += baseFallWeight * (clipped - stats.base)
	} else {
		stats.base += baseRiseWeight * min(clipped-stats.base, stats.base)
	}
	s.slowness.add(ratio, silent, now)
}

// SlowAfter returns the time after which a call of the class is unusually
// slow.
func (t *Tracker) SlowAfter(c Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowAfter(c)
}

func (t *Tracker) slowAfter(c Class) time.Duration {
	stats := t.class(c)
	return max(seconds(stats.mean+slowDeviations*stats.deviation), minSlowAfter)
}

// ServiceTime returns the time that a call of the class takes without queueing.
func (t *Tracker) ServiceTime(c Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seconds(t.class(c).base)
}

// AdoptServiceTime sets the time that ServiceTime returns for a class of which this
// VM has made no calls. Zero has no effect.
func (t *Tracker) AdoptServiceTime(c Class, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stats := t.class(c); stats.n == 0 && d > 0 {
		stats.base = d.Seconds()
	}
}

// Estimate returns the estimated time of a call to the upstream, with penalties
// if the upstream is failing, unresponsive or unreachable.
func (t *Tracker) Estimate(u *leverdirectory.Upstream, c Class, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	stats := t.class(c)
	v := stats.mean * s.present(now) * t.backlog(s, u, stats.mean, now)
	if now.Before(s.coldUntil) {
		v *= coldFactor
	}
	v += s.failureRate.get(now) * failureCost.Seconds()
	d := seconds(v)
	if s.unresponsive(t.slowAfter(c), now) {
		d += unresponsivePenalty
	}
	if now.Before(s.avoidUntil) {
		d += avoidedPenalty
	}
	return d
}

// Avoidance says whether an upstream is used only if there is no better one.
type Avoidance uint8

// The degrees of avoidance, in ascending order.
const (
	NotAvoided Avoidance = iota
	// AvoidUnresponsive upstreams have calls in flight that are unusually slow.
	AvoidUnresponsive
	// AvoidUnreachable upstreams can't be connected to, or another one responds at
	// their address.
	AvoidUnreachable
)

// Avoidance returns the degree to which an upstream is avoided.
func (t *Tracker) Avoidance(u *leverdirectory.Upstream, c Class, now time.Time) Avoidance {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(u, now)
	switch {
	case now.Before(s.avoidUntil):
		return AvoidUnreachable
	case s.unresponsive(t.slowAfter(c), now):
		return AvoidUnresponsive
	}
	return NotAvoided
}

// Usable reports whether an estimated time is free of the penalties for
// unresponsive and unreachable upstreams.
func Usable(d time.Duration) bool { return d < unresponsivePenalty }

// unresponsive reports whether a call has been in flight for longer than
// threshold and the upstream has not responded to any call since it began.
func (s *state) unresponsive(threshold time.Duration, now time.Time) bool {
	for _, f := range s.inFlight {
		if now.Sub(f.at) > threshold && !s.lastResponse.After(f.at) {
			return true
		}
	}
	return false
}

// Retain removes the upstreams for which known returns false, except those with
// calls in flight. It returns those that it no longer takes for leaving.
func (t *Tracker) Retain(known func(leverdirectory.Key) bool, now time.Time) []leverdirectory.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.states {
		if len(s.inFlight) == 0 && !known(k) {
			delete(t.states, k)
		}
	}
	return t.blocks.retain(known, now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
