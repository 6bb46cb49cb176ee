package leverupstream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/juju/errors"
)

// Request is the body of a query to one shard. It is the same for all shards.
type Request struct {
	Repeatable bool             `json:"repeatable"`
	After      string           `json:"after,omitempty"`
	Limit      int              `json:"limit,omitempty"`
	Body       levermsg.RawJSON `json:"body,omitempty"`
}

// Call is a query as an upstream receives it.
type Call struct {
	Request
	Shard Shard
	ID    leverid.RequestID
	Rank  leverid.Rank
	// Upstream is the intended recipient.
	Upstream leverid.UpstreamID
	// Deadline is the time after which the upstream must not start the query.
	Deadline time.Time
}

// maxRequestBytes bounds the body of a query.
const maxRequestBytes = 2 << 20

// ReadCall reads a query. Its deadline is now plus the time left that the
// headers state.
func ReadCall(w http.ResponseWriter, r *http.Request, now time.Time) (*Call, error) {
	shard, err := ParseShard(r.Header.Get(HeaderShard))
	if err != nil {
		return nil, err
	}
	left, err := strconv.ParseInt(r.Header.Get(HeaderLeft), 10, 64)
	if err != nil {
		return nil, errors.BadRequestf("%s: %v", HeaderLeft, err)
	}
	rank, err := leverid.ParseRank(r.Header.Get(HeaderRank))
	if err != nil {
		return nil, err
	}
	c := &Call{
		Shard: shard, Rank: rank, ID: leverid.RequestID(r.Header.Get(HeaderRequest)),
		Upstream: leverid.UpstreamID(r.Header.Get(HeaderUpstream)), Deadline: now.Add(time.Duration(left) * time.Millisecond),
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c.Request); err != nil {
		return nil, errors.BadRequestf("decode body: %v", err)
	}
	return c, nil
}

// Reason tells why a query failed.
type Reason string

// Reasons for a failed query.
const (
	// ReasonShed means that the upstream is overloaded.
	ReasonShed     Reason = "shed"
	ReasonDraining Reason = "draining"
	// ReasonGone and ReasonNotYet mean that the index version is older or newer
	// than those that the upstream serves.
	ReasonGone   Reason = "gone"
	ReasonNotYet Reason = "not-yet"
	// ReasonExpired means that the deadline passed before the query started.
	ReasonExpired Reason = "expired"
	ReasonFailed  Reason = "failed"
)

var reasonStatus = map[Reason]int{
	"":             http.StatusOK,
	ReasonShed:     http.StatusTooManyRequests,
	ReasonDraining: http.StatusServiceUnavailable,
	ReasonGone:     http.StatusGone,
	ReasonNotYet:   http.StatusTooEarly,
	ReasonExpired:  http.StatusGatewayTimeout,
	ReasonFailed:   http.StatusInternalServerError,
}

// Reply is the body of every reply. Reason is empty if the query succeeded.
type Reply struct {
	Partial bool              `json:"partial,omitempty"`
	Records []levermsg.Record `json:"records,omitempty"`
	Reason  Reason            `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`

	// The following fields are sent as headers.
	Request  leverid.RequestID `json:"-"`
	Run      leverid.RunState  `json:"-"`
	Versions Versions          `json:"-"`
}

// Write writes the reply of the upstream id to the call c.
func (r *Reply) Write(w http.ResponseWriter, c *Call, id leverid.UpstreamID) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, string(r.Request))
	h.Set(HeaderShard, string(c.Shard.Name()))
	h.Set(HeaderUpstream, string(id))
	h.Set(HeaderRunState, r.Run.String())
	h.Set(HeaderVersions, r.Versions.String())
	w.WriteHeader(reasonStatus[r.Reason])
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(r)
}
