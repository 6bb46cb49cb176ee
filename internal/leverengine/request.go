// Package leverengine runs requests: it finds the route, selects upstreams, fans
// out, retries and hedges within the fleet's budget, and assembles the answer.
// The bodies of requests and responses are opaque to it.
package leverengine

import (
	"fmt"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

// Request is a caller's request.
type Request struct {
	ID     leverid.RequestID
	Method string
	Host   string
	// URI is the path with its query, as received. Path is the path alone.
	URI, Path string
	Header    http.Header
	Body      []byte
	// CallerTimeout is how long the caller waits, counted from Received; 0 if the caller
	// did not state a time.
	CallerTimeout time.Duration
	Received      time.Time
	// CallerRTT is the known round-trip time between the caller and this VM.
	CallerRTT time.Duration
	// Key is the digest of the key that the caller presented.
	Key leverdirectory.KeyDigest
	// Organisation is the one that holds Key, once the engine has looked it up. It is
	// empty if the configuration has none, or if the route is public.
	Organisation leverid.OrganisationID
	// Homes are the regions in which the request may be processed. The engine adds those
	// of the route and of the organisation.
	Homes leverdirectory.Homes
	// SetOrganisation, if set, removes the caller's key and its own claims of an
	// organisation from the headers, and adds the organisation unless it is empty. It
	// is called if the configuration requires keys.
	SetOrganisation func(h http.Header, o leverid.OrganisationID)
	// PriorAttempts is the number of attempts that other VMs may already have
	// made for each part.
	PriorAttempts int
	// Overrides, if set, replaces settings of the route for this request.
	Overrides *Overrides
	// Confirmed, if set, reports whether the VM that delegated the request has
	// confirmed that it still waits for the result. Until then, each part gets
	// one attempt only.
	Confirmed func() bool
}

// Overrides holds the route settings that callers may state with each request.
type Overrides struct {
	Rank leverid.Rank `msgpack:"r"`
	// Once marks a request that must run at most once. It is sent to Shard only.
	Once  bool            `msgpack:"o"`
	Shard leverid.ShardID `msgpack:"s"`
}

// check returns why the overrides can't be applied to the route, or "". The shard
// map that the caller has may be another one than the route's.
func (o *Overrides) check(r *leverdirectory.Route) string {
	if o == nil || !o.Once || o.Shard >= 0 && int(o.Shard) < len(r.Shards) {
		return ""
	}
	return fmt.Sprintf("shard %d of route %q does not exist; it has %d shards", o.Shard, r.Name, len(r.Shards))
}

// apply returns the route with the overrides applied.
func (o *Overrides) apply(r *leverdirectory.Route) *leverdirectory.Route {
	if o == nil {
		return r
	}
	own := *r
	own.Rank = o.Rank
	if o.Once {
		own.Repeatable = false
		own.Targets = []leverdirectory.Target{{Service: r.Shards[o.Shard], Weight: 1}}
		own.Shards = nil
	}
	return &own
}

// withRank returns the overrides with another rank. o may be nil.
func (o *Overrides) withRank(r leverid.Rank) *Overrides {
	if o == nil {
		return &Overrides{Rank: r}
	}
	own := *o
	own.Rank = r
	return &own
}

// deadline returns when the caller or the route's timeout ends the request.
func (r *Request) deadline(route *leverdirectory.Route) time.Time {
	wait := route.Timeout
	if r.CallerTimeout > 0 && (wait == 0 || r.CallerTimeout < wait) {
		wait = r.CallerTimeout
	}
	return r.Received.Add(wait)
}

// classOf returns the class of a route's requests.
func classOf(r *leverdirectory.Route) leverhealth.Class { return leverhealth.Class(r.Name) }

// Fingerprint returns a hash of the request's content, which excludes its id.
func (r *Request) Fingerprint() leverid.Fingerprint {
	return leverid.Fingerprint(leverid.Hash(r.Method, r.Host, r.URI, string(r.Body)))
}

// Verdict is the result of a request.
type Verdict uint8

// The verdicts.
const (
	// Passed means that an upstream's response is passed on unchanged.
	Passed Verdict = iota
	// Merged means that the answer combines the responses of several upstreams.
	Merged
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// NotReady means that this VM can't route requests yet. The request has not
	// run.
	NotReady
	// NotRun means that the request has not run and never will.
	NotRun
	// MayHaveRun means that the request ended without an answer and may have
	// run.
	MayHaveRun
	// Late means that the deadline passed.
	Late
	// CallerGone means that the caller disconnected.
	CallerGone
	// Unauthorized means that the caller presented no key of an organisation.
	Unauthorized
	// OverAllowance means that the organisation has used up its allowance. The request
	// has not run.
	OverAllowance
)

var verdictNames = [...]string{"passed", "merged", "no-route", "not-ready", "not-run", "may-have-run", "late", "left", "unauthorized", "over-allowance"}

// String returns the name that logs and metrics use for the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Outcome describes how a request ended.
type Outcome struct {
	Verdict Verdict
	// Reply is the upstream's response, for Passed.
	Reply *leverpool.Reply
	// Records, Signatures and Missing make up the answer for Merged: the
	// greatest records, the signatures of the shards that responded, and the
	// number of shards that did not.
	Records    []byte
	Signatures []string
	Missing    int
	// Parts holds the response bodies by shard for a route without a record
	// size; nil for shards that did not respond.
	Parts [][]byte
	// Absent lists what upstreams reported to have instead of what was
	// requested.
	Absent []string
	// Cause is why the request was refused.
	Cause Cause
	// MaybeRan reports that an upstream may have run the request.
	MaybeRan bool
	// Attempts is the number of calls to upstreams. Hedged and Retried are how
	// many of them were hedges and retries.
	Attempts, Hedged, Retried int
	// RetryAfter is the suggested retry delay after NotReady and NotRun.
	RetryAfter time.Duration
	// DecidedAt is when a merged answer was decided on, or was received from
	// the VM that ran the request.
	DecidedAt time.Time
	// Reason explains the verdict for operators.
	Reason string
}

// Cause is why a request was refused.
type Cause uint8

// The causes.
const (
	// NoCause means that none of the causes below applies: the request was not
	// refused, or was refused for another reason, such as upstreams that declined
	// or failed.
	NoCause Cause = iota
	// NoCapacity means that there is no capacity for requests of this rank.
	NoCapacity
	// OnTrial means that the request's content is suspected of crashing
	// upstreams, and that a trial with the same content is in progress.
	OnTrial
	// Barred means that the request's content is blocked because it has crashed
	// upstreams.
	Barred
)

// ResponseMeta is the metadata of an upstream's response.
type ResponseMeta struct {
	// Request is the id of the request that the response belongs to.
	Request leverid.RequestID
	// Service is the shard that responded, if the protocol states it.
	Service leverid.ServiceID
	// Signature identifies the upstream that responded. A response without one
	// is treated as a broken connection.
	Signature string
	// Absent is set if the upstream does not have what was requested, and states
	// what it has instead. The request has not run.
	Absent string
	// NotRun reports that the upstream did not run the request.
	NotRun bool
	// StatusImpliesNotRun reports that the status code tells callers that the
	// request has not run. Unless NotRun is also set, this does not hold for
	// the request, and the response must not be passed on.
	StatusImpliesNotRun bool
	// WrongUpstream reports that an upstream other than the expected one
	// responded.
	WrongUpstream bool
	// Leaving reports that the upstream is about to exit and wants no more
	// requests.
	Leaving bool
	// RetryAfter is the delay that the upstream asks for before the next request of
	// this VM, as received; empty if it asks for none. Pause is its value, negative if
	// that is no time.
	RetryAfter string
	Pause      time.Duration
	// Load is what the upstream states about its load. OddLoad is a statement that is
	// not valid, as received.
	Load    leverhealth.Load
	OddLoad string
	// ColdFor is for how long the upstream says that it is cold, if ColdKnown is set.
	ColdFor   time.Duration
	ColdKnown bool
	// Encoded reports that the body has a content encoding, so that it is not
	// what the upstream sent.
	Encoded bool
}

// Protocol translates between the engine and the headers that upstreams use.
type Protocol interface {
	// StripHeaders removes the headers that AttemptHeaders sets from a caller's
	// request.
	StripHeaders(h http.Header)
	// AttemptHeaders returns the additional headers of one attempt: the
	// remaining time and the expected upstream.
	AttemptHeaders(left time.Duration, u *leverdirectory.Upstream) http.Header
	// ParseHead extracts the metadata from a response's status code and headers.
	ParseHead(status int, h http.Header) ResponseMeta
}
