package leverengine

import (
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
)

// remoteDomainFactor scales the estimated time of an upstream in another failure
// domain, because traffic between domains is billed and has a longer round trip.
const remoteDomainFactor = 1.6

// Estimator estimates how long calls take. The upstream with the shortest time is
// chosen.
type Estimator interface {
	Estimate(u *leverdirectory.Upstream, c leverhealth.Class, now time.Time) time.Duration
}

// estimator returns the configured Estimator, or the tracker if there is none.
func (e *Engine) estimator() Estimator {
	if e.Estimator != nil {
		return e.Estimator
	}
	return e.Health
}

// candidates returns the candidates for the next attempt at a part.
func (p *part) candidates() candidates {
	return candidates{service: p.service, earlier: p.attempts, inFlight: p.inFlight > 0}
}

// pickUpstream returns the candidate with the shortest estimated response time, and
// that estimate.
func (f *fanout) pickUpstream(p *part, now time.Time) (*leverdirectory.Upstream, time.Duration) {
	c := p.candidates()
	return f.reserve(func() (*leverdirectory.Upstream, time.Duration) {
		return f.pick(&c, now, func(*leverdirectory.Upstream) bool { return true })
	}, now)
}

// pick returns the accepted candidate with the shortest estimated response time, and
// that estimate. Upstreams that take no requests from this VM are no candidates.
func (f *fanout) pick(c *candidates, now time.Time, accept func(*leverdirectory.Upstream) bool) (*leverdirectory.Upstream, time.Duration) {
	var best *leverdirectory.Upstream
	var bestTime time.Duration
	upstreams := f.eligible(c, now)
	for _, alreadyTried := range []bool{false, true} {
		found := false
		for _, u := range upstreams {
			if c.tried(u) != alreadyTried || f.engine.Health.Wait(u, now) > 0 {
				continue
			}
			found = true
			if !accept(u) {
				continue
			}
			expected := f.engine.estimator().Estimate(u, f.class, now)
			if u.Domain != f.engine.Domain {
				expected = time.Duration(remoteDomainFactor * float64(expected))
			}
			if best == nil || expected < bestTime {
				best, bestTime = u, expected
			}
		}
		if found || c.inFlight {
			break
		}
	}
	return best, bestTime
}
