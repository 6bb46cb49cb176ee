package leverengine

import (
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
)

const (
	// defaultDrainTime is how long an upstream that drains goes on serving, unless the
	// engine is told another time.
	defaultDrainTime = 3 * time.Second
	// replaceFraction is the fraction of the drain time after which a call without an
	// answer gets a second attempt at another upstream. abandonFraction is that after
	// which the call is canceled: the upstream may exit soon, and a request that has no
	// other attempt and can't get one now ends, so that its caller can repeat it.
	replaceFraction = 0.5
	abandonFraction = 0.8
	// replaceInterval is the delay before a replacement that is not possible yet is
	// tried again.
	replaceInterval = 100 * time.Millisecond
)

// departure is what an attempt knows of the end of its upstream. The zero value means
// that the upstream stays.
type departure struct {
	// replaceAt and abandonAt are when the attempt is replaced and canceled.
	replaceAt, abandonAt time.Time
	// abandoned is set once the attempt has been canceled, last if no other upstream of
	// the service stayed then.
	abandoned, last bool
}

func (d *departure) known() bool { return !d.abandonAt.IsZero() }

// departs reports whether an upstream takes no new requests for good: it drains, is
// leaving, or is no longer listed.
func (e *Engine) departs(u *leverdirectory.Upstream, now time.Time) bool {
	if e.Health.Wait(u, now) == leverhealth.Forever {
		return true
	}
	for _, v := range e.Directory.View().Upstreams(u.Service) {
		if v.Key() == u.Key() {
			return false
		}
	}
	return true
}

// watchDepartures notes which attempts are at upstreams that end soon. It returns a
// channel that is closed when that may have changed.
func (f *fanout) watchDepartures(now time.Time) <-chan struct{} {
	if !f.route.Repeatable {
		// Such a request stays where it is: it may be running.
		return nil
	}
	next := f.engine.departures.next()
	drain := f.engine.DrainTime
	if drain <= 0 {
		drain = defaultDrainTime
	}
	for _, a := range f.attempts {
		switch {
		case a.handled || a.waiting() || a.departure.abandoned:
		case !f.engine.departs(a.upstream(), now):
			a.departure = departure{}
		case !a.departure.known():
			f.departing = true
			a.departure = departure{
				replaceAt: now.Add(time.Duration(replaceFraction * float64(drain))),
				abandonAt: now.Add(time.Duration(abandonFraction * float64(drain))),
			}
		}
	}
	return next
}

// moveAttempts replaces and cancels the attempts at upstreams that end soon, as far as
// that is due. A call that waits in such an upstream's queue would be lost with it.
func (f *fanout) moveAttempts(now time.Time) {
	if !f.departing {
		return
	}
	for _, a := range f.attempts {
		p := &f.parts[a.part]
		if !a.movable() || p.done {
			continue
		}
		elsewhere := f.inFlightElsewhere(p)
		if !elsewhere && !now.Before(a.departure.replaceAt) {
			elsewhere = f.replace(a, now)
			a.departure.replaceAt = now.Add(replaceInterval)
		}
		if !elsewhere && a.isWithdrawn() {
			// Nothing says that the upstream exits.
			continue
		}
		if !now.Before(a.departure.abandonAt) && (elsewhere || p.possibleRuns < f.maxRuns()) {
			f.recordAbandoned(a, now)
			a.departure.abandoned, a.departure.last = true, f.allDepart(p, now)
			a.exchange.Cancel()
		}
	}
}

// movable reports whether the attempt is in flight at an upstream that ends soon and has
// not been canceled for that.
func (a *attempt) movable() bool {
	return !a.handled && a.departure.known() && !a.departure.abandoned
}

// allDepart reports whether no upstream of a part's service stays.
func (f *fanout) allDepart(p *part, now time.Time) bool {
	for _, u := range f.engine.Directory.View().Upstreams(p.service) {
		if f.isHome(u) && !f.engine.departs(u, now) {
			return false
		}
	}
	return true
}

// inFlightElsewhere reports whether a part has an attempt in flight at an upstream that
// stays.
func (f *fanout) inFlightElsewhere(p *part) bool {
	for _, a := range p.attempts {
		if !a.handled && !a.departure.known() && !a.waiting() {
			return true
		}
	}
	return false
}

// replace starts an attempt at another upstream if one is usable and the budget allows
// it. It reports whether it did.
func (f *fanout) replace(old *attempt, now time.Time) bool {
	p := &f.parts[old.part]
	if f.trial || f.retrying || p.possibleRuns >= f.maxRuns() || len(p.attempts) >= f.maxSends() || f.isOver(now) || !f.confirmed() {
		return false
	}
	u, expected := f.pickUpstream(p, now)
	if u == nil || !leverhealth.Usable(expected) {
		return false
	}
	if !f.engine.Budget.Take(p.service, leverbudget.Retry, now) {
		f.recordDenied("move", old.part)
		return false
	}
	f.retried++
	f.recordExtra("move", f.send(old.part, u, true, now), "no answer from departing "+string(old.upstream().ID))
	return true
}

// nextMove returns when an attempt is due to be replaced or canceled, or zero.
func (f *fanout) nextMove(now time.Time) time.Time {
	var next time.Time
	if !f.departing {
		return next
	}
	for _, a := range f.attempts {
		if !a.movable() || f.parts[a.part].done {
			continue
		}
		for _, at := range []time.Time{a.departure.replaceAt, a.departure.abandonAt} {
			if at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}
