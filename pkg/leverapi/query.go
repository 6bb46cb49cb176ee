// Package leverapi defines the JSON messages of the HTTP APIs for callers and
// operators.
package leverapi

import "encoding/json"

// Rank is the priority class of a request.
type Rank string

// The ranks, from the highest to the lowest priority.
const (
	Urgent  Rank = "urgent"
	Routine Rank = "routine"
	Bulk    Rank = "bulk"
)

// RunState reports whether an upstream may have run a refused request.
type RunState string

// The run states.
const (
	// NotRun means that no upstream ran the request. It can be sent again.
	NotRun RunState = "not-run"
	// MayHaveRun means that an upstream may have run the request.
	MayHaveRun RunState = "may-have-run"
)

// Query is the body of a POST to /v1/services/{service}/query.
type Query struct {
	// RequestID identifies the request and stays the same when the request is
	// sent again. It is required if NotRepeatable is set.
	RequestID string `json:"request-id,omitempty"`
	Rank      Rank   `json:"rank"`
	// DeadlineMS is the time limit for the answer in milliseconds from the
	// arrival of the request. If it is nil, the service's default applies.
	DeadlineMS *int64 `json:"deadline-ms,omitempty"`
	// NotRepeatable marks a request that must run at most once. It is sent only
	// to the shard of Key, which is then required.
	NotRepeatable bool   `json:"not-repeatable,omitempty"`
	Key           string `json:"key,omitempty"`
	// Limit is the maximum number of records in the answer, 0 for no limit.
	Limit int `json:"limit,omitempty"`
	// Page is the page token of an earlier answer. The query continues after
	// that answer, at the same snapshot.
	Page string `json:"page,omitempty"`
	// Body is forwarded to the upstreams.
	Body json.RawMessage `json:"body,omitempty"`
}

// Record is one entry of an answer.
type Record struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Coverage reports which shards an answer covers.
type Coverage struct {
	Covered int `json:"covered"`
	Total   int `json:"total"`
	// Missing lists the shards that did not answer.
	Missing []int `json:"missing"`
	// Partial lists the shards whose answer is incomplete.
	Partial []int `json:"partial"`
}

// Whole reports whether every shard is covered.
func (c Coverage) Whole() bool { return c.Total > 0 && c.Covered == c.Total }

// Answer is the body of a successful answer.
type Answer struct {
	RequestID string   `json:"request-id,omitempty"`
	Records   []Record `json:"records"`
	// Snapshot is the index version of every record.
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	// Page, if not empty, is the token with which to query the records that
	// follow.
	Page string `json:"page,omitempty"`
	// Restarted reports that the query was started again at another snapshot.
	Restarted bool `json:"restarted,omitempty"`
	// Attempts is the number of attempts sent to upstreams.
	Attempts int `json:"attempts"`
	// VM is the entry VM that answered.
	VM string `json:"vm"`
}

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// ProblemPrefix is the prefix of the type of each Problem.
const ProblemPrefix = "urn:arbutuslever:problem:"

// Problem is the body of a refusal, a problem details object (RFC 9457).
type Problem struct {
	// Type is ProblemPrefix followed by the reason.
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	RunState RunState `json:"run-state"`
	// RetryAfterMS is the proposed delay in milliseconds before the request is
	// sent again, 0 if sending it again would not help.
	RetryAfterMS int64     `json:"retry-after-ms,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
	RequestID    string    `json:"request-id,omitempty"`
	VM           string    `json:"vm,omitempty"`
}

// Reason returns Type without ProblemPrefix.
func (p *Problem) Reason() string {
	if len(p.Type) < len(ProblemPrefix) {
		return p.Type
	}
	return p.Type[len(ProblemPrefix):]
}

// Error returns the reason, the run state and the detail.
func (p *Problem) Error() string {
	s := p.Reason() + " (" + string(p.RunState) + ")"
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}
