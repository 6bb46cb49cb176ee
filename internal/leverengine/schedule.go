package leverengine

import "time"

// schedule holds the points in time at which the request changes its behavior.
type schedule struct {
	startTime, deadline time.Time
	// endedEarly is set when the VM's work has ended before the deadline.
	endedEarly bool
	// partialAt is when an answer with the minimum coverage is returned.
	// latePartialAt is when it is returned if the minimum coverage is reached
	// only after partialWindow.
	partialAt, latePartialAt time.Time
	// hedgeAt is when parts with one attempt in flight are hedged next.
	hedgeAt time.Time
	// weighHedges is set if each hedge is decided on by its own cost and gain.
	weighHedges bool
	// hedgeAllAfter is the age from which every attempt is hedged.
	hedgeAllAfter time.Duration
}

// nextWake returns when the request must be reconsidered if no attempt ends
// before. A hedge or a retry whose time has passed while a result was handled is due at
// once.
func (f *fanout) nextWake(now time.Time) time.Time {
	at := f.deadline
	due := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	consider := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	due(f.hedgeAt)
	consider(f.nextMove(now))
	if !f.overdueSince.IsZero() {
		consider(f.overdueSince.Add(overdueSettle))
		consider(f.overdueSince.Add(overdueGrace))
	}
	if f.sub != nil {
		consider(f.sub.wake())
	} else if f.gather {
		consider(f.partialAt)
		consider(f.latePartialAt)
	}
	for i := range f.parts {
		if p := &f.parts[i]; !p.settled() && !p.branched && !p.retryAt.IsZero() {
			due(p.retryAt)
		}
	}
	return at
}
