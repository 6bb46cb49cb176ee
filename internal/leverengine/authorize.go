package leverengine

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// Allowance limits what all VMs together run for an organisation. It is safe for
// concurrent use.
type Allowance interface {
	// Take takes one request from the organisation's allowance, which may take some
	// milliseconds.
	Take(ctx context.Context, o *leverdirectory.Organisation) AllowanceDecision
	// Return gives back a request that has been taken and has not reached any
	// upstream.
	Return(o *leverdirectory.Organisation)
}

// AllowanceDecision is the result of Allowance.Take.
type AllowanceDecision struct {
	// Granted says that the request may run.
	Granted bool
	// Undecided says that this VM can't tell whether the allowance is used up.
	Undecided bool
	// RetryAfter is when a request may be granted, if this one was not.
	RetryAfter time.Duration
	Reason     string
}

// authorize finds the organisation of a caller's request if the configuration requires
// keys. It returns the outcome of a request without a known key.
func (e *Engine) authorize(req *Request, c *leverdirectory.Config, route *leverdirectory.Route) (*leverdirectory.Organisation, *Outcome) {
	if !c.KeysRequired {
		return nil, nil
	}
	var o *leverdirectory.Organisation
	if !route.Public {
		if reason := e.refuseKeys(); reason != "" {
			return nil, &Outcome{Verdict: NotReady, RetryAfter: defaultRetryAfter, Reason: reason}
		}
		if o = c.Organisation(req.Key); o == nil {
			return nil, e.unknownKey()
		}
		req.Organisation = o.Name
		if o.Ranked {
			req.Overrides = req.Overrides.withRank(o.Rank)
		}
	}
	if req.SetOrganisation != nil {
		req.SetOrganisation(req.Header, req.Organisation)
	}
	return o, nil
}

func (e *Engine) refuseKeys() string {
	if e.RefuseKeys == nil {
		return ""
	}
	return e.RefuseKeys()
}

// unknownKey returns the outcome of a request without a known key: Unauthorized if the
// configuration is up to date, otherwise NotReady. It does not say whether there was a
// key.
func (e *Engine) unknownKey() *Outcome {
	if !e.Current() {
		return &Outcome{Verdict: NotReady, RetryAfter: defaultRetryAfter, Reason: "no known key, and the configuration may be outdated"}
	}
	return &Outcome{Verdict: Unauthorized, Reason: "no known key"}
}

// takeAllowance returns the outcome of a request that the organisation's allowance does
// not permit, and nil for one that may run.
func (e *Engine) takeAllowance(ctx context.Context, o *leverdirectory.Organisation) *Outcome {
	if e.Allowance == nil || o == nil || o.Rate <= 0 {
		return nil
	}
	switch d := e.Allowance.Take(ctx, o); {
	case d.Granted:
		return nil
	case d.Undecided:
		return &Outcome{Verdict: NotRun, Cause: NoCapacity, RetryAfter: d.RetryAfter, Reason: d.Reason}
	default:
		return &Outcome{Verdict: OverAllowance, Cause: NoCapacity, RetryAfter: d.RetryAfter, Reason: d.Reason}
	}
}

// returnAllowance gives back what was taken for a request that has reached no upstream.
func (e *Engine) returnAllowance(o *leverdirectory.Organisation, out *Outcome) {
	if e.Allowance == nil || o == nil || o.Rate <= 0 || out.MaybeRan || out.Attempts > 0 {
		return
	}
	if out.Verdict == NotRun || out.Verdict == Late {
		e.Allowance.Return(o)
	}
}
