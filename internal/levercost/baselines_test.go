package levercost_test

import (
	"math"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/levercost"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
)

var policies = []policy{
	{name: "round-robin", apply: func(e *leverengine.Engine, s *sender) { e.Estimator, e.Hedges = roundRobin{s}, fixedHedges{} }},
	{name: "least", apply: func(e *leverengine.Engine, s *sender) { e.Estimator, e.Hedges = leastInFlight{s}, fixedHedges{} }},
	{name: "two-choices", apply: func(e *leverengine.Engine, s *sender) { e.Estimator, e.Hedges = twoChoices{s}, fixedHedges{} }},
	{name: "tracker", apply: func(e *leverengine.Engine, s *sender) { e.Estimator, e.Hedges = newMeanTracker(e, s), fixedHedges{} }},
	{name: "cost", apply: func(*leverengine.Engine, *sender) {}},
	{name: "cost-header", apply: func(*leverengine.Engine, *sender) {}, states: true},
}

// fixedHedges hedges all parts at fixed times.
type fixedHedges struct{}

func (fixedHedges) FirstHedge(leverhealth.Class) (time.Duration, bool) { return 0, false }

func (fixedHedges) WorthHedging(_, _ *leverdirectory.Upstream, _ leverhealth.Class, _ levercost.Hedge, _ time.Time) bool {
	return true
}

// plain offsets the engine's preference for upstreams of the own failure domain.
func (s *sender) plain(u *leverdirectory.Upstream, d time.Duration) time.Duration {
	const remoteDomainFactor = 1.6
	if u.Domain != s.domain {
		return time.Duration(float64(d) / remoteDomainFactor)
	}
	return d
}

// roundRobin chooses the upstream to which this VM has not sent for longest.
type roundRobin struct{ *sender }

func (s roundRobin) Estimate(u *leverdirectory.Upstream, _ leverhealth.Class, _ time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plain(u, time.Duration(s.last[u.ID]))
}

// leastInFlight chooses the upstream with the fewest calls of this VM, and among those
// the one to which it has not sent for longest.
type leastInFlight struct{ *sender }

func (s leastInFlight) Estimate(u *leverdirectory.Upstream, _ leverhealth.Class, _ time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plain(u, time.Duration(s.inFlight[u.ID])*time.Second+time.Duration(s.last[u.ID]))
}

// twoChoices chooses the better of two upstreams by leastInFlight.
type twoChoices struct{ *sender }

func (s twoChoices) Estimate(u *leverdirectory.Upstream, c leverhealth.Class, now time.Time) time.Duration {
	s.mu.Lock()
	excluded := leverid.Hash(string(u.Service), now.String()) % replicaCount
	s.mu.Unlock()
	d := leastInFlight(s).Estimate(u, c, now)
	if strings.HasSuffix(string(u.ID), string(rune('0'+excluded))) {
		d += time.Hour
	}
	return d
}

// meanTracker is the estimator that the engine had before: moving means by class and
// upstream that decay to the class's mean within seconds.
type meanTracker struct {
	*sender
	health *leverhealth.Tracker
	means  map[string]float64
	counts map[string]int
	ratios map[string]*decaying
}

type decaying struct {
	value, base float64
	at          time.Time
}

func (d *decaying) get() float64 {
	return d.base + (d.value-d.base)*math.Exp2(-time.Since(d.at).Seconds()/2)
}

func (d *decaying) add(v float64) {
	old := d.get()
	d.value, d.at = old+0.2*(v-old), time.Now()
}

func newMeanTracker(e *leverengine.Engine, s *sender) *meanTracker {
	t := &meanTracker{sender: s, health: e.Health, means: make(map[string]float64), counts: make(map[string]int), ratios: make(map[string]*decaying)}
	s.ended = t.end
	return t
}

func (t *meanTracker) ratio(key string, base float64) *decaying {
	if t.ratios[key] == nil {
		t.ratios[key] = &decaying{value: base, base: base}
	}
	return t.ratios[key]
}

// end is called with the sender's mutex held.
func (t *meanTracker) end(u *leverdirectory.Upstream, path string, took time.Duration, good bool) {
	failed := 1.0
	if good {
		failed = 0
		if t.counts[path] == 0 {
			t.means[path] = 0.02
		}
		t.counts[path]++
		t.means[path] += max(0.01, 1/float64(t.counts[path]+1)) * (min(took.Seconds(), 3*t.means[path]) - t.means[path])
		t.ratio(string(u.ID)+path, 1).add(took.Seconds() / t.means[path])
	}
	t.ratio(string(u.ID), 0).add(failed)
}

func (t *meanTracker) Estimate(u *leverdirectory.Upstream, c leverhealth.Class, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	path := "/" + string(c)
	v := max(t.means[path], 1e-4)*t.ratio(string(u.ID)+path, 1).get()*(1+float64(t.inFlight[u.ID])/slotCount) + 0.15*t.ratio(string(u.ID), 0).get()
	if t.health.Avoidance(u, c, now) != leverhealth.NotAvoided {
		v++
	}
	return time.Duration(v * float64(time.Second))
}
