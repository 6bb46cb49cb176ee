package leverengine

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/leverrank"
)

const (
	// slowCallFraction is the fraction of the route's objective above which a
	// single call counts as slow. It is well below 1 because a fan-out needs
	// time in addition to its slowest call.
	slowCallFraction = 0.28
	// maxRetryAfter limits the retry delay suggested to a caller whose request
	// was refused.
	maxRetryAfter = 2 * time.Second
)

// limiters holds the admission limiters. The key is the route's Room or, if that
// is empty, the request's first service, so that routes over the same index
// share one. The zero value is ready to use. It is safe for concurrent use.
type limiters struct {
	mu        sync.Mutex
	byService map[leverid.ServiceID]*leverrank.Limiter
}

func (l *limiters) get(s leverid.ServiceID, floors leverrank.Floors) *leverrank.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = make(map[leverid.ServiceID]*leverrank.Limiter)
	}
	limiter := l.byService[s]
	if limiter == nil {
		limiter = &leverrank.Limiter{Floors: floors}
		l.byService[s] = limiter
	}
	return limiter
}

// admit returns the outcome of a request that is refused before it has run
// because its deadline has passed or capacity is lacking, and nil otherwise.
func (f *fanout) admit() *Outcome {
	if !f.startTime.Before(f.deadline) {
		return &Outcome{Verdict: Late, Reason: "the deadline passed before the request was started"}
	}
	if limit := f.engine.MaxInFlight; limit > 0 && f.engine.InFlight() > limit {
		return &Outcome{Verdict: NotRun, Cause: NoCapacity, RetryAfter: defaultRetryAfter, Reason: "too many requests in flight"}
	}
	f.work = f.engine.Health.ServiceTime(f.class).Seconds()
	admission := f.limiter.AdmitRequest(f.offer(), f.startTime)
	if admission.Admitted {
		return nil
	}
	why, reason := "rank", "insufficient capacity for this rank"
	switch {
	case admission.Early:
		why, reason = "early", "it was refused before and returned too early"
	case admission.RetryAfter > 0:
		why, reason = "organisation", "insufficient capacity for this organisation"
	}
	f.engine.Metrics.Add(levermetric.Name("requests-refused", "why", why), 1)
	if admission.RetryAfter > 0 {
		return &Outcome{Verdict: NotRun, Cause: NoCapacity, RetryAfter: admission.RetryAfter, Reason: reason}
	}
	// The smaller the admitted fraction, the longer the suggested delay.
	retryAfter := time.Duration(float64(defaultRetryAfter) / max(f.limiter.Fraction(f.route.Rank), 0.01))
	return &Outcome{Verdict: NotRun, Cause: NoCapacity, RetryAfter: min(retryAfter, maxRetryAfter), Reason: reason}
}

// offer returns the request as the limiter knows it.
func (f *fanout) offer() *leverrank.Request {
	flow := f.flow()
	r := &leverrank.Request{Rank: f.route.Rank, Work: f.work, Organisation: flow.Organisation, Weight: flow.Weight}
	if r.Organisation != "" {
		r.Content = f.req.Fingerprint()
	}
	return r
}

// flow returns the organisation of the request and its weight, which is its limit.
func (f *fanout) flow() leverrank.Flow {
	flow := leverrank.Flow{Organisation: f.req.Organisation, Work: f.work}
	if flow.Organisation == "" {
		return flow
	}
	if o := f.view.Config.OrganisationNamed(flow.Organisation); o != nil {
		flow.Weight = o.Rate
	}
	return flow
}

// observeSheds tells the limiter of the calls of an organisation's request that upstreams
// have declined. Upstreams with short queues decline work before calls become slow, and
// without a limit organisations don't share what can be done. Without organisations,
// only the queues in front of upstreams limit the work.
func (f *fanout) observeSheds(out *Outcome) {
	if f.req.Organisation == "" {
		return
	}
	now := f.engine.Timer.Now()
	declined := false
	for _, a := range f.attempts {
		if p := &f.parts[a.part]; a.handled && a.kind == leverhealth.Shed {
			declined = true
			f.limiter.ObserveShed(p.service, a.upstream().ID, !p.done, now)
		}
	}
	if declined && out.Verdict == NotRun {
		if d := f.limiter.Declined(f.offer(), now); d > 0 {
			out.RetryAfter = d
		}
	}
}

// isSlow reports whether a call that took d was slow.
func (f *fanout) isSlow(d time.Duration) bool {
	return d > time.Duration(slowCallFraction*float64(f.route.Objective))
}
