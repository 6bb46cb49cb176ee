package leverengine

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercold"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
)

// ColdLimit bounds the requests that all VMs together send to an upstream that is cold,
// which is slow until its caches have filled. It is safe for concurrent use.
type ColdLimit interface {
	// Any reports whether the limit may apply to any upstream.
	Any() bool
	// Update records the upstreams and the configuration.
	Update(v *leverdirectory.View, now time.Time)
	// Observe records that a response of an upstream says for how long it is cold. It
	// reports whether the upstream was not known to be cold and is.
	Observe(u *leverdirectory.Upstream, d time.Duration, now time.Time) bool
	// Unreachable records that no connection to an upstream could be opened.
	Unreachable(u *leverdirectory.Upstream, now time.Time)
	// Wait returns how long no request may be sent to an upstream: 0 if one may.
	Wait(u *leverdirectory.Upstream, now time.Time) time.Duration
	// Take reports whether a request may be sent to an upstream, and whether it counts,
	// so that End has to be called for it.
	Take(u *leverdirectory.Upstream, now time.Time) (counted, ok bool)
	// End records the end of a request that counts.
	End(u *leverdirectory.Upstream, e levercold.End, now time.Time)
}

// coldPatience is how long a request waits for a place at a cold upstream if there is no
// other. It is refused if that would take longer.
const coldPatience = 150 * time.Millisecond

// coldPlace is the place at a cold upstream that an attempt holds. The zero value holds
// none.
type coldPlace struct {
	mu sync.Mutex
	// held is the upstream, or nil. chosen is the one to which the call may go next.
	held, chosen *leverdirectory.Upstream
}

// anyCold reports whether the limit may apply to any upstream.
func (e *Engine) anyCold() bool { return e.Cold != nil && e.Cold.Any() }

// coldWait returns how long no request may be sent to an upstream because it is cold.
func (e *Engine) coldWait(u *leverdirectory.Upstream, now time.Time) time.Duration {
	if e.Cold == nil {
		return 0
	}
	return e.Cold.Wait(u, now)
}

// takeCold takes a place at an upstream if it is cold.
func (e *Engine) takeCold(u *leverdirectory.Upstream, now time.Time) (counted, ok bool) {
	counted, ok = e.Cold.Take(u, now)
	if counted {
		e.Metrics.Add("cold-places-taken", 1)
	}
	return counted, ok
}

// reserve picks an upstream for the next attempt and takes a place if it is cold. The
// place is returned at the next pick unless an attempt has been sent there.
func (f *fanout) reserve(pick func() (*leverdirectory.Upstream, time.Duration), now time.Time) (*leverdirectory.Upstream, time.Duration) {
	f.returnReserved(now)
	for {
		u, expected := pick()
		if u == nil || !f.engine.anyCold() {
			return u, expected
		}
		counted, ok := f.engine.takeCold(u, now)
		if counted {
			f.reserved = u
		}
		if ok {
			return u, expected
		}
		// Another request has just taken the last place.
	}
}

// returnReserved returns the place that no attempt has used.
func (f *fanout) returnReserved(now time.Time) {
	if f.reserved != nil {
		f.engine.Cold.End(f.reserved, levercold.NotArrived, now)
		f.reserved = nil
	}
}

// useReserved lets the attempt that is sent to u have the reserved place.
func (f *fanout) useReserved(a *attempt, u *leverdirectory.Upstream) {
	if f.reserved == u {
		a.cold.held, f.reserved = u, nil
	}
}

// takeChosen takes a place at the upstream to which the call goes next, if that is cold.
// It returns false if there is none any more.
func (a *attempt) takeChosen(u *leverdirectory.Upstream, now time.Time) bool {
	e := a.fanout.engine
	if u == nil || !e.anyCold() {
		return true
	}
	counted, ok := e.takeCold(u, now)
	if counted {
		a.cold.mu.Lock()
		defer a.cold.mu.Unlock()
		a.cold.chosen = u
	}
	return ok
}

// moveCold returns the place that the attempt holds unless the call is sent to the same
// upstream, and lets it hold that of the chosen one.
func (a *attempt) moveCold(u *leverdirectory.Upstream, now time.Time) {
	a.cold.mu.Lock()
	defer a.cold.mu.Unlock()
	c, limit := &a.cold, a.fanout.engine.Cold
	if c.chosen != nil && (c.chosen != u || c.held == u) {
		limit.End(c.chosen, levercold.NotArrived, now)
		c.chosen = nil
	}
	if c.held == u {
		return
	}
	if c.held != nil {
		limit.End(c.held, levercold.NotArrived, now)
	}
	c.held, c.chosen = c.chosen, nil
}

// endCold returns the place that the attempt holds.
func (a *attempt) endCold(now time.Time) {
	if p := a.placed.Load(); p != nil && a.kind == leverhealth.Refused && a.fanout.engine.Cold != nil {
		a.fanout.engine.Cold.Unreachable(p.upstream, now)
	}
	a.cold.mu.Lock()
	defer a.cold.mu.Unlock()
	c := &a.cold
	if c.held == nil {
		return
	}
	end := levercold.Arrived
	switch a.kind {
	case leverhealth.Refused, leverhealth.Withdrawn, leverhealth.WrongUpstream:
		end = levercold.NotArrived
	case leverhealth.Canceled, leverhealth.Lost:
		end = levercold.Unknown
	}
	if end != levercold.NotArrived {
		a.fanout.engine.Metrics.Add("cold-places-used", 1)
	}
	a.fanout.engine.Cold.End(c.held, end, now)
	c.held = nil
}

// recordCold records what the head of a response says about the upstream's state.
func (a *attempt) recordCold() {
	e, p := a.fanout.engine, a.placed.Load()
	if p != nil && a.meta.ColdKnown && !a.meta.WrongUpstream && e.Cold != nil {
		if e.Cold.Observe(p.upstream, a.meta.ColdFor, e.Timer.Now()) {
			e.recordBelief("an upstream is cold", "cold", p.upstream, "for", a.meta.ColdFor, "id", a.fanout.req.ID)
		}
	}
}
