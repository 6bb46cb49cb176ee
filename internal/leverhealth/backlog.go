package leverhealth

import (
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// flight is a call in flight.
type flight struct {
	at time.Time
	// work is the mean time of its class when it began, in seconds.
	work float64
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
