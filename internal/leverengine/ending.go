package leverengine

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/levermetric"
)

const (
	// endingRetryAfter is the retry delay suggested to callers whose requests the
	// ending VM refuses: another VM can take them at once.
	endingRetryAfter = 10 * time.Millisecond
	// delegatedMargin is reserved for the answer of the VM that runs a delegated
	// request to this one.
	delegatedMargin = 20 * time.Millisecond
	// endingReason is the reason of requests that end with the VM's work.
	endingReason = "the VM stops"
)

// EndBy makes all requests end by a time, with the answer that they have then.
// Requests that arrive before it but are unlikely to be answered by then are
// refused.
func (e *Engine) EndBy(at time.Time) { e.ending.Set(e.Timer, at) }

// refuseLate returns the outcome of a request that is unlikely to be answered
// before the VM's work ends, and nil otherwise.
func (e *Engine) refuseLate(req *Request, r *leverdirectory.Route) *Outcome {
	now := e.Timer.Now()
	deadline := req.deadline(r)
	end := e.ending.Limit(deadline)
	if end.Equal(deadline) {
		return nil
	}
	left, needed := end.Sub(now), max(r.Objective, e.Health.SlowAfter(classOf(r)))
	if left >= needed {
		return nil
	}
	out := &Outcome{Verdict: NotRun, RetryAfter: endingRetryAfter, Reason: endingReason}
	if req.PriorAttempts > 0 {
		// Another VM may have run the request.
		out.Verdict, out.MaybeRan = MayHaveRun, true
	}
	rank := r.Rank.String()
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", rank), 1)
	e.Log.Info("a request is refused because the VM stops", "id", req.ID, "route", r.Name, "rank", rank,
		"stops-in", left.Round(logPrecision), "may-take", needed.Round(logPrecision))
	return out
}

// delegateUntilEnd runs a request on another VM until the work of this VM ends. If
// the end is known, the other VM gets it as the caller's timeout.
func (e *Engine) delegateUntilEnd(ctx context.Context, d Delegate, req *Request, view *leverdirectory.View, r *leverdirectory.Route) (*Outcome, bool) {
	deadline, timeout := req.deadline(r), req.CallerTimeout
	if at := e.ending.Limit(deadline); at.Before(deadline) {
		req.CallerTimeout = max(at.Sub(req.Received)-delegatedMargin, time.Millisecond)
		defer func() { req.CallerTimeout = timeout }()
	}
	end := e.ending.Context()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(end, cancel)()
	out, ok := d.Run(ctx, req, view.Config.Version, r.MaxAttempts)
	if ok && out.Verdict == CallerGone && end.Err() != nil {
		return &Outcome{Verdict: Late, MaybeRan: out.MaybeRan, Reason: endingReason}, true
	}
	return out, ok
}

// isOver reports whether the request must end now, with the answer that it has.
func (f *fanout) isOver(now time.Time) bool { return f.endedEarly || !now.Before(f.deadline) }

// endEarly makes the request end now. Attempts that were not sent are withdrawn
// first, so that a request of which nothing was sent ends as not run.
func (f *fanout) endEarly() {
	f.endedEarly = true
	unsent := make(map[*attempt]bool)
	for _, a := range f.attempts {
		unsent[a] = a.exchange.Withdraw() && !a.sent.Load()
	}
	for len(f.results) > 0 {
		a := <-f.results
		delete(unsent, a)
		f.handleResult(a)
	}
	// The results of the others may come later.
	for _, a := range f.attempts {
		if unsent[a] && !a.handled {
			f.parts[a.part].inFlight--
			f.parts[a.part].possibleRuns--
		}
	}
	f.reason = endingReason
}
