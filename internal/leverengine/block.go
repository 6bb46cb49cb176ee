package leverengine

import (
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermetric"
)

// blockedReason is the reason of requests for which upstreams are known but take no
// requests. The service follows.
const blockedReason = "the upstreams take no requests: "

// broadcast wakes all goroutines that wait for it. The zero value is ready to use.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// next returns a channel that the next send closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}

// recordBlock records that the upstream of an attempt takes no requests, for a while or
// at all, if its response says so. A response of another upstream says nothing about
// the expected one.
func (a *attempt) recordBlock() {
	p := a.placed.Load()
	if p == nil || a.meta.WrongUpstream {
		return
	}
	e, u := a.fanout.engine, p.upstream
	now := e.Timer.Now()
	if a.meta.Leaving && e.Health.Leave(u, now) {
		e.recordBelief("an upstream is leaving", "leaving", u, "born", u.Born, "id", a.fanout.req.ID)
		key := u.Key()
		e.Pool.Retain(func(k leverdirectory.Key) bool { return k != key })
		e.blocked.send()
		e.departures.send()
	}
	if a.meta.RetryAfter == "" {
		return
	}
	if (a.meta.Pause < 0 || a.meta.Pause > leverhealth.MaxPause) && e.Health.FirstOddPause(u) {
		e.recordBelief("an upstream asks for an odd pause", "odd-pause", u, "retry-after", a.meta.RetryAfter, "id", a.fanout.req.ID)
	}
	if d := min(a.meta.Pause, leverhealth.MaxPause); d > 0 && e.Health.Pause(u, d, now) {
		e.recordBelief("an upstream asks for a pause", "pausing", u, "retry-after", d, "id", a.fanout.req.ID)
		e.endPauseAfter(u, d)
		e.blocked.send()
	}
}

// endPauseAfter records the end of the pause of an upstream once it is over. It may
// have grown meanwhile.
func (e *Engine) endPauseAfter(u *leverdirectory.Upstream, d time.Duration) {
	e.Timer.RunAfter(d, func() {
		switch left := e.Health.EndPause(u, e.Timer.Now()); {
		case left > 0:
			e.endPauseAfter(u, left)
		default:
			e.recordBelief("an upstream's pause is over", "pause-over", u)
		}
	})
}

// recordBelief logs and counts what this VM begins or ceases to believe of an upstream.
func (e *Engine) recordBelief(message, belief string, u *leverdirectory.Upstream, attributes ...any) {
	e.Metrics.Add(levermetric.Name("upstream-beliefs", "belief", belief), 1)
	e.Log.Info(message, append([]any{"upstream", u.ID, "service", u.Service, "address", u.Address}, attributes...)...)
}

// anyBlocked reports whether wait may return a time other than 0 for any service.
func (f *fanout) anyBlocked() bool {
	e := f.engine
	return e.Health.AnyBlocked() || e.anyCold() || e.Directory.View().AnyWithdrawn() || f.req.Homes != nil
}

// wait returns how long no upstream of a service takes the request from this VM: 0 if one
// does or none is known.
func (f *fanout) wait(s leverid.ServiceID, now time.Time) time.Duration {
	e := f.engine
	view := e.Directory.View()
	if view.Withdrawn(s) || f.isOutside(s) {
		return withdrawnWait
	}
	if !e.Health.AnyBlocked() && !e.anyCold() {
		return 0
	}
	shortest := time.Duration(0)
	for _, u := range view.Upstreams(s) {
		if !f.isHome(u) {
			continue
		}
		d := e.Health.Wait(u, now)
		if d == 0 {
			if d = e.coldWait(u, now); d <= coldPatience {
				return 0
			}
		}
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

func (f *fanout) isBlocked(s leverid.ServiceID, now time.Time) bool { return f.wait(s, now) > 0 }

// watchBlocks withdraws the attempts that wait while no upstream takes requests. If
// others wait, it returns a channel that is closed when that may have changed.
func (f *fanout) watchBlocks(now time.Time) <-chan struct{} {
	if f.waiting.Load() == 0 {
		return nil
	}
	next := f.engine.blocked.next()
	if !f.anyBlocked() {
		return next
	}
	for _, a := range f.attempts {
		if !a.handled && a.waiting() && f.isBlocked(f.parts[a.part].service, now) {
			a.exchange.Withdraw()
		}
	}
	return next
}

// partWaits returns how long the parts whose upstreams take no requests have to wait,
// in ascending order.
func (f *fanout) partWaits(now time.Time) []time.Duration {
	if !f.anyBlocked() {
		return nil
	}
	var waits []time.Duration
	for i := range f.parts {
		if p := &f.parts[i]; !p.done && !p.branched {
			if d := f.wait(p.service, now); d > 0 {
				waits = append(waits, d)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// leastParts returns the least number of parts of an answer.
func (f *fanout) leastParts() int {
	if !f.gather {
		return 1
	}
	return leastParts(f.route.LeastCoverage, len(f.parts))
}

// lacksParts reports whether too few parts have upstreams that take requests. The VM
// that has handed out a branch decides that for the whole request.
func (f *fanout) lacksParts(now time.Time) bool {
	return f.sub == nil && len(f.partWaits(now)) > len(f.parts)-f.leastParts()
}

// giveUp ends a request of which nothing has been sent.
func (f *fanout) giveUp() {
	f.reason = blockedReason + "too many parts"
	for i := range f.parts {
		p := &f.parts[i]
		if why := f.whyBlocked(p.service); why != blockedReason {
			f.reason = why + "too many parts"
		}
		p.branched, p.awaited, p.exhausted = false, false, true
	}
}

// retryAfter returns when enough upstreams may take requests.
func (f *fanout) retryAfter(now time.Time) time.Duration {
	waits := f.partWaits(now)
	needed := len(waits) - (len(f.parts) - f.leastParts())
	if needed < 1 {
		return defaultRetryAfter
	}
	if d := waits[needed-1]; d < leverhealth.Forever {
		return d
	}
	return defaultRetryAfter
}
