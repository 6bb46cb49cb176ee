// Package leverapi holds the JSON messages of the callers' and the operators'
// HTTP interfaces.
package leverapi

import "encoding/json"

// Rank is the class of work of a request.
type Rank string

// The ranks, from the most to the least urgent.
const (
	Urgent  Rank = "urgent"
	Routine Rank = "routine"
	Bulk    Rank = "bulk"
)

// RunState says whether an upstream may have run a refused request.
type RunState string

// The run states.
const (
	// NotRun means that the request was not run and can be sent again.
	NotRun RunState = "not-run"
	// MayHaveRun means that it may have been run.
	MayHaveRun RunState = "may-have-run"
)

// Query is the body of a POST to /v1/services/{service}/query.
type Query struct {
	// RequestID names the request over its resends. It is required if
	// NotRepeatable is set.
	RequestID string `json:"request-id,omitempty"`
	Rank      Rank   `json:"rank"`
	// DeadlineMS is the time for the answer in milliseconds from the arrival
	// of the request. The service's default counts if it is absent.
	DeadlineMS *int64 `json:"deadline-ms,omitempty"`
	// NotRepeatable marks a request that must run at most once. It goes to the
	// one shard of Key.
	NotRepeatable bool   `json:"not-repeatable,omitempty"`
	Key           string `json:"key,omitempty"`
	// Limit bounds the records of the answer; 0 is no bound.
	Limit int `json:"limit,omitempty"`
	// Page continues an earlier answer at the same snapshot.
	Page string `json:"page,omitempty"`
	// Body is passed on to the upstreams.
	Body json.RawMessage `json:"body,omitempty"`
}

// Record is one entry of an answer.
type Record struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Coverage says which shards an answer covers.
type Coverage struct {
	Covered int `json:"covered"`
	Total   int `json:"total"`
	// Missing are the shards without an answer.
	Missing []int `json:"missing"`
	// Partial are the shards that answered incompletely.
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
	// Page, if not empty, asks for the records that follow.
	Page string `json:"page,omitempty"`
	// Restarted says that the query began again at another snapshot.
	Restarted bool `json:"restarted,omitempty"`
	// Attempts counts the attempts at upstreams.
	Attempts int    `json:"attempts"`
	VM       string `json:"vm"`
}

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// ProblemPrefix begins the type of each Problem.
const ProblemPrefix = "urn:arbutuslever:problem:"

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	// Type is ProblemPrefix and the reason.
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	RunState RunState `json:"run-state"`
	// RetryAfterMS proposes a pause before a resend; 0 if none helps.
	RetryAfterMS int64     `json:"retry-after-ms,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
	RequestID    string    `json:"request-id,omitempty"`
	VM           string    `json:"vm,omitempty"`
}

// Reason returns the part of Type that tells refusals apart.
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
