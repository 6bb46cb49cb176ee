package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// remoteDomainFactor scales the estimated time of an upstream in another failure
// domain, because traffic between domains is billed and has a longer round trip.
const remoteDomainFactor = 1.6

// pickUpstream returns the upstream with the shortest estimated response time,
// and that estimate. An upstream that has already been tried for the part is
// picked only if there is no other and the part has no attempt in flight.
func (f *fanout) pickUpstream(p *part, now time.Time) (*leverdirectory.Upstream, time.Duration) {
	var best *leverdirectory.Upstream
	var bestTime time.Duration
	for _, alreadyTried := range []bool{false, true} {
		for _, u := range f.engine.Directory.View().Upstreams(p.service) {
			if slices.ContainsFunc(p.tried, func(t *leverdirectory.Upstream) bool { return t.Key() == u.Key() }) != alreadyTried {
				continue
			}
			expected := f.engine.Health.Estimate(u, f.class, now)
			if u.Domain != f.engine.Domain {
				expected = time.Duration(remoteDomainFactor * float64(expected))
			}
			if best == nil || expected < bestTime {
				best, bestTime = u, expected
			}
		}
		if best != nil || p.inFlight > 0 {
			break
		}
	}
	return best, bestTime
}
