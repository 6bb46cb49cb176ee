// Package leverengine runs requests: it finds the route, chooses upstreams,
// fans out, retries and hedges within the fleet's budget, and makes the answer.
// Requests and answers are opaque to it.
package leverengine

import (
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

// Request is a caller's request.
type Request struct {
	ID     leverid.RequestID
	Method string
	Host   string
	// URI is the path with its query, as it was received. Path is the path.
	URI, Path string
	Header    http.Header
	Body      []byte
	// Wait is how long the caller waits from Received on, 0 if it did not say.
	Wait     time.Duration
	Received time.Time
	// Way is the time that the request and its answer take between the caller
	// and this VM, as far as is known.
	Way time.Duration
	// Spent is the number of attempts at each part that another VM may have
	// made for the request.
	Spent int
	// Variant, if set, changes the route's terms for this request.
	Variant *Variant
	// Confirmed, if set, reports whether the VM that the request came from
	// still waits for it. Until then each part gets one attempt.
	Confirmed func() bool
}

// Variant is what a request changes of its route's terms, where callers state
// them with each request.
type Variant struct {
	Rank leverid.Rank `msgpack:"r"`
	// Once marks a request that must not run twice. It goes to Shard alone.
	Once  bool            `msgpack:"o"`
	Shard leverid.ShardID `msgpack:"s"`
}

// of returns the route as the request wants it.
func (v *Variant) of(r *leverdirectory.Route) *leverdirectory.Route {
	if v == nil {
		return r
	}
	own := *r
	own.Rank = v.Rank
	if v.Once && int(v.Shard) < len(r.Shards) {
		own.Repeatable = false
		own.Targets = []leverdirectory.Target{{Service: r.Shards[v.Shard], Weight: 1}}
		own.Shards = nil
	}
	return &own
}

// Fingerprint identifies the request's content without its id.
func (r *Request) Fingerprint() leverid.Fingerprint {
	return leverid.Fingerprint(leverid.Hash(r.Method, r.Host, r.URI, string(r.Body)))
}

// Verdict says how a request ended.
type Verdict uint8

// The verdicts.
const (
	// Passed hands on an upstream's answer.
	Passed Verdict = iota
	// Merged is an answer made of several upstreams' records.
	Merged
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// NotReady means that this VM can't route now. The request has not run.
	NotReady
	// NotRun means that the request has not run and never will.
	NotRun
	// MayHaveRun means that the request ended without an answer.
	MayHaveRun
	// Late means that time ran out.
	Late
	// Left means that the caller went away.
	Left
)

var verdictNames = [...]string{"passed", "merged", "no-route", "not-ready", "not-run", "may-have-run", "late", "left"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Outcome is the end of a request.
type Outcome struct {
	Verdict Verdict
	// Reply is the answer of an upstream, for Passed.
	Reply *leverpool.Reply
	// Records, Signatures and Missing are the answer for Merged: the greatest
	// records, who signed for the parts that are in, and the number of shards
	// that are not.
	Records    []byte
	Signatures []string
	Missing    int
	// Parts are the answers of the shards of a route without a record size,
	// nil for those that are not in.
	Parts [][]byte
	// Absent is what upstreams said that they have instead of what was asked.
	Absent []string
	// Cause tells apart why a request was refused.
	Cause Cause
	// Ran says that an upstream may have run the request.
	Ran bool
	// Attempts counts the calls of upstreams; Hedged and Retried those beside
	// and after others.
	Attempts, Hedged, Retried int
	// RetryAfter is when to come back after NotReady and NotRun.
	RetryAfter time.Duration
	// At is when an answer of several parts was decided on, or came from the VM
	// that ran the request.
	At time.Time
	// Reason is for the log.
	Reason string
}

// Cause tells apart why a request was refused.
type Cause uint8

// The causes.
const (
	// NoCause stands for all others: upstreams declined or failed.
	NoCause Cause = iota
	// NoRoom means that there is no room for work of the request's rank.
	NoRoom
	// OnTrial means that the request's content is suspected of crashing
	// upstreams and that another request with it is being tried.
	OnTrial
	// Barred means that the content crashed upstreams.
	Barred
)

// Mark is what an upstream says about a call beside the answer itself.
type Mark struct {
	// Request is the id of the request that is answered.
	Request leverid.RequestID
	// Service is the shard that was asked, where the protocol says it.
	Service leverid.ServiceID
	// Signature shows who answered; a success without one is no answer.
	Signature string
	// Absent is set if the upstream does not have what was asked for, and says
	// what it has. The request has not run.
	Absent string
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Promise says that the status promises a caller that its request has not
	// run. Without NotRun it is not true of this request.
	Promise bool
	// Elsewhere says that another upstream than the expected one answered.
	Elsewhere bool
	// Encoded says that the body is not as the upstream made it.
	Encoded bool
}

// Protocol translates between the engine and an upstream's headers.
type Protocol interface {
	// Strip removes what the product says itself from a caller's headers.
	Strip(h http.Header)
	// Stamp returns the headers of one attempt: the time that is left and the
	// upstream that is meant.
	Stamp(left time.Duration, u *leverdirectory.Upstream) http.Header
	// Read returns what an answer's head says.
	Read(status int, h http.Header) Mark
}
