// Package levermsg holds the typed messages that VMs exchange. They are
// encoded with msgpack; a field's short name is part of the protocol and is
// never reused.
package levermsg

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Record is one entry of an answer. Records with the same key are the same
// entry; the higher revision replaces the lower one.
type Record struct {
	Key      string `json:"key" msgpack:"k"`
	Revision uint64 `json:"revision" msgpack:"r"`
	// Value is JSON that the query tier does not interpret.
	Value RawJSON `json:"value,omitempty" msgpack:"v"`
}

// RawJSON is encoded JSON, passed on unread.
type RawJSON []byte

// MarshalJSON returns the bytes as they are, or null if there are none.
func (r RawJSON) MarshalJSON() ([]byte, error) {
	if len(r) == 0 {
		return []byte("null"), nil
	}
	return r, nil
}

// UnmarshalJSON keeps a copy of the bytes.
func (r *RawJSON) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}

// RankRates is a rate in queries per second for each rank.
type RankRates [leverid.RankCount]float64

// Query is the part of a request that all attempts of one fan-out share.
type Query struct {
	Request     leverid.RequestID    `msgpack:"q"`
	Service     leverid.ServiceID    `msgpack:"s"`
	Rank        leverid.Rank         `msgpack:"r"`
	Version     leverid.IndexVersion `msgpack:"i"`
	Fingerprint leverid.Fingerprint  `msgpack:"f"`
	// Deadline is absolute. No attempt is sent to an upstream after it.
	Deadline time.Time `msgpack:"d"`
	Body     RawJSON   `msgpack:"b"`
	// After and Limit select a page: records with a key above After, at most
	// Limit of them if it is positive.
	After string `msgpack:"a"`
	Limit int    `msgpack:"l"`
	// Once marks a request that is not repeatable.
	Once bool `msgpack:"o"`
	// Trial marks the single first attempt of a request that is suspected of
	// crashing upstreams.
	Trial bool `msgpack:"t"`
}

// Item is one attempt at one shard.
type Item struct {
	Attempt  leverid.AttemptID  `msgpack:"a"`
	Shard    leverid.ShardID    `msgpack:"s"`
	Upstream leverid.UpstreamID `msgpack:"u"`
	// Extra marks a retry or a hedge.
	Extra bool `msgpack:"e"`
}

// Batch carries the attempts of one query that go to one home.
type Batch struct {
	Query Query        `msgpack:"q"`
	From  leverid.VMID `msgpack:"f"`
	// Demand is the sender's offered rate for the service, by rank.
	Demand RankRates `msgpack:"d"`
	Items  []Item    `msgpack:"i"`
}

// Outcome is how one attempt ended.
type Outcome uint8

// The outcomes.
const (
	// OK is a whole answer of one shard.
	OK Outcome = iota
	// Shed means that a home or an upstream refused the attempt for load.
	Shed
	// Draining means that the upstream is leaving and refused new work.
	Draining
	// Gone means that the upstream no longer has the index version.
	Gone
	// NotYet means that the upstream does not have the index version yet.
	NotYet
	// Reset means that the connection ended after the send, without a reply.
	Reset
	// Unreachable means that no connection could be opened.
	Unreachable
	// Expired means that the deadline passed before the send.
	Expired
	// TimedOut means that the deadline passed after the send.
	TimedOut
	// Mismatch means that the reply belonged to another attempt.
	Mismatch
	// Withdrawn means that the entry VM took the attempt back.
	Withdrawn
	// Failed means that the upstream answered with an error.
	Failed
	// Barred means that the request is known to crash upstreams.
	Barred
	// HomeLost means that the home could not be reached or went away.
	HomeLost
)

var outcomeNames = [...]string{
	"ok", "shed", "draining", "gone", "not-yet", "reset", "unreachable", "expired",
	"timed-out", "mismatch", "withdrawn", "failed", "barred", "home-lost",
}

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Room is an upstream's load as its home sees it.
type Room struct {
	// Capacity is the work per second that the upstream has room for; zero if
	// the home does not know.
	Capacity float64 `msgpack:"c"`
	// Demand is the sum of what the entry VMs offer to the service, in
	// queries per second.
	Demand RankRates `msgpack:"d"`
}

// Result is the end of one attempt.
type Result struct {
	Attempt leverid.AttemptID    `msgpack:"a"`
	Outcome Outcome              `msgpack:"o"`
	Run     leverid.RunState     `msgpack:"r"`
	Version leverid.IndexVersion `msgpack:"i"`
	// Partial marks an upstream's own incomplete answer.
	Partial bool     `msgpack:"p"`
	Records []Record `msgpack:"k"`
	// Oldest and Newest are the index versions that the upstream has. They
	// are zero if it did not say.
	Oldest leverid.IndexVersion `msgpack:"l"`
	Newest leverid.IndexVersion `msgpack:"n"`
	// Wait is the time in the home's queue, Service the upstream's time.
	Wait    time.Duration `msgpack:"w"`
	Service time.Duration `msgpack:"s"`
	// Room is what the upstream's home knows of its load.
	Room Room `msgpack:"m"`
	// Detail explains a failure to an operator.
	Detail string `msgpack:"d"`
}

// Withdraw takes attempts back that are no longer needed.
type Withdraw struct {
	Attempts []leverid.AttemptID `msgpack:"a"`
}
