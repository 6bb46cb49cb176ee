package leverengine

import (
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverhealth"
)

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

// hedge starts a second attempt for each part that has exactly one attempt in
// flight, which has been sent, if another upstream is usable and the budget allows it. It does not
// check how long the first attempt has been in flight.
func (f *fanout) hedge(now time.Time) {
	f.hedgeAt = f.hedgeAt.Add(f.engine.Health.SlowAfter(f.class))
	if !f.route.Repeatable || f.trial || f.retrying {
		return
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled() || p.inFlight != 1 || p.possibleRuns >= f.maxRuns() || len(p.attempts) >= f.maxSends() || p.waiting() {
			continue
		}
		if !f.confirmed() {
			f.hedgeAt = now.Add(confirmPollInterval)
			return
		}
		u, expected := f.pickUpstream(p, now)
		if u == nil || !leverhealth.Usable(expected) {
			continue
		}
		if !f.engine.Budget.Take(p.service, leverbudget.Hedge, now) {
			f.recordDenied("hedge", i)
			continue
		}
		f.hedged++
		f.recordExtra("hedge", f.send(i, u, true, now), "slow at "+string(p.attempts[len(p.attempts)-2].upstream().ID))
	}
}
