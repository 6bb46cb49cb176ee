package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
)

// candidates describes the upstreams that an attempt may be sent to: those of the
// service that earlier attempts have not tried. If there are none, those that were
// tried, unless one of the earlier attempts is still in flight.
type candidates struct {
	service  leverid.ServiceID
	earlier  []*attempt
	inFlight bool
}

// tried reports whether an earlier attempt was placed at an upstream.
func (c *candidates) tried(u *leverdirectory.Upstream) bool {
	return slices.ContainsFunc(c.earlier, func(a *attempt) bool { return a.upstream().Key() == u.Key() })
}

// placement is the upstream of an attempt, and since when.
type placement struct {
	upstream *leverdirectory.Upstream
	at       time.Time
}

// unplaced stands for the upstream of an attempt that waits. Logs show its ID.
var unplaced = &leverdirectory.Upstream{ID: "none"}

// upstream returns the upstream of the attempt, or unplaced.
func (a *attempt) upstream() *leverdirectory.Upstream {
	if p := a.placed.Load(); p != nil {
		return p.upstream
	}
	return unplaced
}

func (a *attempt) waiting() bool { return a.placed.Load() == nil }

// waited returns how long the attempt has waited for an upstream with room.
func (a *attempt) waited(now time.Time) time.Duration {
	if p := a.placed.Load(); p != nil {
		return p.at.Sub(a.started)
	}
	return now.Sub(a.started)
}

// Place records where the attempt is sent next, or that it waits if u is nil. Time
// that it waits is not held against any upstream.
func (a *attempt) Place(u *leverdirectory.Upstream) {
	e := a.fanout.engine
	p := a.placed.Load()
	if e.Cold != nil {
		a.moveCold(u, e.Timer.Now())
	}
	switch {
	case p == nil && u == nil, p != nil && p.upstream == u:
		return
	case p == nil:
		a.fanout.waiting.Add(-1)
	default:
		e.Health.Withdraw(p.upstream, p.at)
	}
	if u == nil {
		a.placed.Store(nil)
		a.fanout.waiting.Add(1)
		return
	}
	now := e.Timer.Now()
	e.Health.BeginCall(u, a.fanout.class, now)
	a.placed.Store(&placement{u, now})
}

// MaxConnections returns the connection limit of each candidate.
func (a *attempt) MaxConnections() int { return a.fanout.engine.connectionLimit(a.candidates.service) }

// Choose returns the best candidate that has room, of those that are avoided the
// least: waiting for a slow one is better than a call at an address where another
// upstream responds.
func (a *attempt) Choose(hasRoom func(*leverdirectory.Upstream) bool) *leverdirectory.Upstream {
	f := a.fanout
	now := f.engine.Timer.Now()
	usable := func(u *leverdirectory.Upstream) bool { return f.engine.Health.Wait(u, now) == 0 && hasRoom(u) }
	if !slices.ContainsFunc(f.eligible(&a.candidates, now), usable) {
		// The pool has to know of room that other requests may use.
		for _, u := range f.engine.Directory.View().Upstreams(a.candidates.service) {
			hasRoom(u)
		}
		return nil
	}
	for {
		u := a.chooseOnce(now, hasRoom)
		if a.takeChosen(u, now) {
			return u
		}
	}
}

func (a *attempt) chooseOnce(now time.Time, hasRoom func(*leverdirectory.Upstream) bool) *leverdirectory.Upstream {
	f := a.fanout
	health, least := f.engine.Health, leverhealth.AvoidUnreachable
	f.pick(&a.candidates, now, func(u *leverdirectory.Upstream) bool {
		least = min(least, health.Avoidance(u, f.class, now))
		return false
	})
	u, _ := f.pick(&a.candidates, now, func(u *leverdirectory.Upstream) bool {
		return health.Avoidance(u, f.class, now) == least && hasRoom(u)
	})
	return u
}
