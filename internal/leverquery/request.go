// Package leverquery runs one query of the product's own face: it pins a
// snapshot, has the engine ask the shards, and makes one answer with its
// coverage.
package leverquery

import (
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Request is one caller's query.
type Request struct {
	Service leverid.ServiceID
	Rank    leverid.Rank
	ID      leverid.RequestID
	// Deadline is when the caller stops to wait.
	Deadline time.Time
	Body     levermsg.RawJSON
	// Once marks a request that is not repeatable. It goes to the one shard
	// that Key selects.
	Once bool
	Key  string
	// Version and After continue an earlier answer.
	Version leverid.IndexVersion
	After   string
	Limit   int
}

// Coverage says which shards of the pinned version an answer covers.
type Coverage struct {
	Total   int
	Covered int
	// Missing are the shards without an answer.
	Missing []leverid.ShardID
	// Partial are the shards whose upstream itself answered incompletely.
	Partial []leverid.ShardID
}

// Answer is the answer to one request, from one snapshot.
type Answer struct {
	Records  []levermsg.Record
	Snapshot leverid.IndexVersion
	Coverage Coverage
	// More says that records follow after the last one.
	More bool
	// Restarted says that the query began again at another version.
	Restarted bool
	// Attempts counts the calls of upstreams.
	Attempts int
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	BadRequest      Reason = "bad-request"
	UnknownService  Reason = "unknown-service"
	UnknownVersion  Reason = "unknown-snapshot"
	Overloaded      Reason = "overloaded"
	DeadlineTooNear Reason = "deadline-too-near"
	DeadlinePassed  Reason = "deadline-passed"
	Incomplete      Reason = "incomplete"
	CrashSuspected  Reason = "crash-suspect"
	CrashBarred     Reason = "crash-barred"
	ClaimTaken      Reason = "already-claimed"
	ClaimFailed     Reason = "claim-unavailable"
	OutcomeUnknown  Reason = "outcome-unknown"
	Unavailable     Reason = "upstream-unavailable"
	Stopping        Reason = "stopping"
	NotReady        Reason = "not-ready"
)

// Refusal is the error of a request that got no answer. Run says truly whether
// an upstream may have run it.
type Refusal struct {
	Reason Reason
	Run    leverid.RunState
	Detail string
	// RetryAfter is when a resend may help; zero if it won't.
	RetryAfter time.Duration
	// Coverage is set if some shards had answered.
	Coverage Coverage
	Attempts int
}

// Error returns the reason, the run state and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Run)
	}
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Run, r.Detail)
}
