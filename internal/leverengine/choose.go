package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// farFactor makes an upstream of another failure domain look slower: its bytes
// are priced, and its way is longer.
const farFactor = 1.6

// choose returns the upstream from which the answer is expected first, and the
// time that it is expected to take. One that was not tried goes before those
// that were.
func (f *fanout) choose(p *part, now time.Time) (*leverdirectory.Upstream, time.Duration) {
	var best *leverdirectory.Upstream
	var least time.Duration
	for _, again := range []bool{false, true} {
		for _, u := range f.engine.Directory.View().Upstreams(p.service) {
			if slices.ContainsFunc(p.tried, func(t *leverdirectory.Upstream) bool { return t.Key() == u.Key() }) != again {
				continue
			}
			d := f.engine.Health.Expect(u, f.class, now)
			if u.Domain != f.engine.Domain {
				d = time.Duration(farFactor * float64(d))
			}
			if best == nil || d < least {
				best, least = u, d
			}
		}
		if best != nil || p.open > 0 {
			break
		}
	}
	return best, least
}
