// Package leverupstream calls upstreams over HTTP. docs/UPSTREAM.md states the
// protocol.
package leverupstream

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Request is the body of a call of one shard.
type Request struct {
	// Attempt is echoed by the reply.
	Attempt leverid.AttemptID    `json:"attempt"`
	Service leverid.ServiceID    `json:"service"`
	Version leverid.IndexVersion `json:"version"`
	Rank    leverid.Rank         `json:"rank"`
	Request leverid.RequestID    `json:"request"`
	// DeadlineMS is in milliseconds since the Unix epoch. The upstream must
	// not begin the request after it.
	DeadlineMS int64            `json:"deadline-ms"`
	Repeatable bool             `json:"repeatable"`
	After      string           `json:"after,omitempty"`
	Limit      int              `json:"limit,omitempty"`
	Body       levermsg.RawJSON `json:"body,omitempty"`
}

// Reason is why an upstream refused a call.
type Reason string

// The reasons.
const (
	ReasonShed     Reason = "shed"
	ReasonDraining Reason = "draining"
	ReasonGone     Reason = "gone"
	ReasonNotYet   Reason = "not-yet"
	ReasonExpired  Reason = "expired"
	ReasonFailed   Reason = "failed"
)

// Reply is the body of every reply. Reason is empty if the call succeeded.
type Reply struct {
	Attempt leverid.AttemptID    `json:"attempt"`
	Version leverid.IndexVersion `json:"version,omitempty"`
	Partial bool                 `json:"partial,omitempty"`
	Records []levermsg.Record    `json:"records,omitempty"`
	Oldest  leverid.IndexVersion `json:"oldest,omitempty"`
	Newest  leverid.IndexVersion `json:"newest,omitempty"`
	Reason  Reason               `json:"reason,omitempty"`
	Run     leverid.RunState     `json:"run-state"`
	Detail  string               `json:"detail,omitempty"`
}

var outcomes = map[Reason]levermsg.Outcome{
	ReasonShed:     levermsg.Shed,
	ReasonDraining: levermsg.Draining,
	ReasonGone:     levermsg.Gone,
	ReasonNotYet:   levermsg.NotYet,
	ReasonExpired:  levermsg.Expired,
	ReasonFailed:   levermsg.Failed,
}

// Result turns a reply into the end of an attempt. A reply that belongs to
// another attempt or another version counts for nothing.
func (r *Reply) Result(q *levermsg.Query, it levermsg.Item) levermsg.Result {
	out := levermsg.Result{
		Attempt: it.Attempt, Version: r.Version, Run: r.Run,
		Oldest: r.Oldest, Newest: r.Newest, Detail: r.Detail,
	}
	if r.Attempt != it.Attempt {
		out.Outcome = levermsg.Mismatch
		out.Run = leverid.MayHaveRun
		out.Detail = "reply to attempt " + r.Attempt.String()
		return out
	}
	if r.Reason != "" {
		out.Outcome = reasonOutcome(r.Reason)
		return out
	}
	out.Run = leverid.MayHaveRun
	if r.Version != q.Version {
		out.Outcome = levermsg.Mismatch
		out.Detail = "reply from another index version"
		return out
	}
	out.Outcome = levermsg.OK
	out.Partial = r.Partial
	out.Records = r.Records
	return out
}

func reasonOutcome(r Reason) levermsg.Outcome {
	if o, ok := outcomes[r]; ok {
		return o
	}
	return levermsg.Failed
}
