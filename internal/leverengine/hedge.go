package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercost"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/levermetric"
)

const (
	// hedgeInterval is the least time between two decisions on the hedges of a
	// request.
	hedgeInterval = 2 * time.Millisecond
	// hedgeIntervalFraction is the fraction of the age of a request that passes at least
	// between two decisions.
	hedgeIntervalFraction = 0.1
	// maxOpenFraction is the fraction of the parts that may be open for hedges to be
	// weighed. If more are, this VM is probably slow itself: when it is not, about 15%
	// are open at the first decision.
	maxOpenFraction = 0.3
	// minWeighedParts is the number of parts from which maxOpenFraction applies.
	minWeighedParts = 8
)

// HedgePolicy decides when parts get second attempts.
type HedgePolicy interface {
	// FirstHedge returns the age from which a call of a class may be worth a second
	// attempt. If it returns false, all parts that are open are hedged at fixed times.
	FirstHedge(c leverhealth.Class) (time.Duration, bool)
	// WorthHedging reports whether an attempt at first gets a second one at another
	// upstream. The policy sets what is expected of both.
	WorthHedging(first, second *leverdirectory.Upstream, c leverhealth.Class, h levercost.Hedge, now time.Time) bool
}

// hedges returns the configured HedgePolicy, or the tracker if there is none.
func (e *Engine) hedges() HedgePolicy {
	if e.Hedges != nil {
		return e.Hedges
	}
	return e.Health
}

// onTimer starts the retries and hedges that are due.
func (f *fanout) onTimer(now time.Time) {
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled() || p.branched {
			continue
		}
		if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
			p.retryAt = time.Time{}
			f.startAttempt(i, p.possibleArrivals > 0)
		}
	}
	f.doubleOverdue(now)
	f.moveAttempts(now)
	if !now.Before(f.hedgeAt) {
		f.hedge(now)
	}
}

// scheduleHedges sets when hedges are considered first.
func (f *fanout) scheduleHedges() {
	slow := f.engine.Health.SlowAfter(f.class)
	f.hedgeAllAfter = min(slow, time.Duration(maxHedgeDelayFraction*float64(f.route.Objective)))
	f.hedgeAt = f.startTime.Add(f.hedgeAllAfter)
	if !f.route.Repeatable {
		return
	}
	if first, ok := f.engine.hedges().FirstHedge(f.class); ok {
		f.weighHedges = true
		f.hedgeAt = f.startTime.Add(min(first, f.hedgeAllAfter))
	}
}

// catchUp reports whether hedges have to wait because this VM may not have read
// responses that have arrived: the timer was late, results are waiting, or most parts
// are open. It delays hedges only until attempts are so old that all are hedged.
func (f *fanout) catchUp(now time.Time) bool {
	if !f.weighHedges || now.Sub(f.startTime) >= f.hedgeAllAfter+hedgeInterval {
		return false
	}
	if len(f.results) > 0 || now.Sub(f.hedgeAt) > hedgeInterval {
		return true
	}
	if now.Sub(f.startTime) >= f.hedgeAllAfter {
		return false
	}
	own, open := 0, 0
	for i := range f.parts {
		p := &f.parts[i]
		if len(p.attempts) == 0 {
			continue
		}
		own++
		if !p.settled() {
			open++
		}
	}
	return own >= minWeighedParts && float64(open) > maxOpenFraction*float64(own)
}

// hedge starts another attempt for parts that have one in flight, or two if the route
// allows three, if that is worthwhile, another upstream is usable and the budget allows
// it.
func (f *fanout) hedge(now time.Time) {
	wait := f.catchUp(now)
	f.scheduleNextHedge(now)
	if wait {
		f.engine.Metrics.Add(levermetric.Name("hedges-postponed"), 1)
	}
	if wait || !f.route.Repeatable || f.trial || f.retrying {
		return
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled() || !f.mayHedge(p) || p.possibleRuns >= f.maxRuns() || len(p.attempts) >= f.maxSends() || p.waiting() {
			continue
		}
		u, expected := f.pickUpstream(p, now)
		if u == nil || !leverhealth.Usable(expected) || !f.worthHedging(p, u, now) {
			continue
		}
		if !f.confirmed() {
			f.hedgeAt = now.Add(confirmPollInterval)
			return
		}
		if !f.engine.Budget.Take(p.service, leverbudget.Hedge, now) {
			f.recordDenied("hedge", i)
			continue
		}
		f.hedged++
		if f.weighHedges && now.Sub(f.startTime) < f.hedgeAllAfter {
			f.engine.Metrics.Add(levermetric.Name("hedges-early"), 1)
		}
		f.recordExtra("hedge", f.send(i, u, true, now), "slow at "+string(p.attempts[len(p.attempts)-2].upstream().ID))
	}
}

// scheduleNextHedge sets when hedges are considered after now.
func (f *fanout) scheduleNextHedge(now time.Time) {
	if f.weighHedges {
		f.hedgeAt = now.Add(max(hedgeInterval, time.Duration(hedgeIntervalFraction*float64(now.Sub(f.startTime)))))
		return
	}
	f.hedgeAt = f.hedgeAt.Add(f.engine.Health.SlowAfter(f.class))
}

// mayHedge reports whether a part has as many attempts in flight that another one may be
// made. A third one has to be weighed.
func (f *fanout) mayHedge(p *part) bool {
	return p.inFlight == 1 || p.inFlight == 2 && f.weighHedges
}

// worthHedging reports whether a part is hedged now by another attempt at an upstream.
// What counts is the age of its last attempt.
func (f *fanout) worthHedging(p *part, second *leverdirectory.Upstream, now time.Time) bool {
	if !f.weighHedges {
		return true
	}
	for _, a := range slices.Backward(p.attempts) {
		if pl := a.placed.Load(); !a.handled && pl != nil {
			return f.engine.hedges().WorthHedging(pl.upstream, second, f.class, levercost.Hedge{
				Age: now.Sub(pl.at), Limit: f.hedgeAllAfter, Left: f.due().Sub(now), BudgetUsed: f.engine.Budget.HedgesUsed(p.service, now),
			}, now)
		}
	}
	return false
}

// due returns when the answer, or the first report of a branch, is due.
func (f *fanout) due() time.Time {
	if f.sub != nil {
		return f.sub.request.ReportAt
	}
	return f.partialAt
}
