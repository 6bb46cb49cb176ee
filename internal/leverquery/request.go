// Package leverquery runs the queries of the native API. It pins a snapshot for
// each query, sends the query to the shards, and merges their replies into one
// answer that states its coverage. A snapshot is one version of the service's
// index and is identified by the version's number.
package leverquery

import (
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Request is a caller's query.
type Request struct {
	Service leverid.ServiceID
	Rank    leverid.Rank
	ID      leverid.RequestID
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Body     levermsg.RawJSON
	// Once marks a request that is not repeatable. It is sent only to the
	// shard that Key selects.
	Once bool
	Key  string
	// Version and After request the page that follows an earlier answer:
	// its snapshot and the key of its last record. Version is 0 for the
	// current snapshot.
	Version leverid.IndexVersion
	After   string
	Limit   int
}

// Coverage lists the shards of the pinned version that an answer covers. Total
// is the number of shards and Covered that of the complete replies.
type Coverage struct {
	Total   int
	Covered int
	// Missing are the shards without a valid reply.
	Missing []leverid.ShardID
	// Partial are the shards whose upstream marked its reply as incomplete.
	Partial []leverid.ShardID
}

// Answer is the answer to a request, computed from a single snapshot.
type Answer struct {
	Records  []levermsg.Record
	Snapshot leverid.IndexVersion
	Coverage Coverage
	// More reports whether further records follow the last one.
	More bool
	// Restarted reports whether the query was restarted at another version.
	Restarted bool
	// Attempts is the number of calls to upstreams.
	Attempts int
}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal, as reported to callers and counted in metrics.
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

// Refusal is the error of a request without an answer. Run states whether an
// upstream may have run the request; NotRun is certain.
type Refusal struct {
	Reason Reason
	Run    leverid.RunState
	Detail string
	// RetryAfter is the delay after which sending the request again may
	// succeed, or 0 if there is no suggestion.
	RetryAfter time.Duration
	// Coverage is set if some shards replied.
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
