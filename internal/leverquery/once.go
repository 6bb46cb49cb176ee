package leverquery

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/leverupstream"

	"github.com/juju/errors"
)

// releaseTimeout bounds the release of a claim, which may continue after the
// caller's deadline.
const releaseTimeout = time.Second

// ShardOf returns the shard that a key is assigned to by a shard map.
func ShardOf(key string, m leversnapshot.Map) leverid.ShardID {
	return leverid.ShardID(leverid.Hash(key) % uint64(len(m.Shards)))
}

// runOnce runs a request that is not repeatable: it claims the request's id and
// then sends the request to the shard of its key. The request is sent again
// only if it is known not to have run.
func (e *Engine) runOnce(ctx context.Context, req *Request, pin leversnapshot.Pin) (*Answer, *Refusal) {
	id := leverclaim.IDOf(req.Service, req.ID)
	nonce := leverclaim.Nonce(rand.Uint64())
	if refusal := e.claim(ctx, req, id, nonce); refusal != nil {
		return nil, refusal
	}
	// The process may have been suspended since the claim.
	if ctx.Err() != nil || !e.Timer.Now().Before(e.deadline(req)) {
		e.release(id, nonce)
		return nil, &Refusal{Reason: DeadlinePassed, Detail: "deadline passed between claim and send"}
	}
	x := &execution{engine: e, req: req, pin: pin}
	shard := ShardOf(req.Key, pin.Map)
	out := x.send(ctx, &shard)
	if m, restart := x.restartMap(out); restart && !x.maybeRan {
		x.pin.Map = m
		shard = ShardOf(req.Key, m)
		out = x.send(ctx, &shard)
	}
	if a, ok := x.singleAnswer(out); ok {
		return a, nil
	}
	if !x.maybeRan {
		e.release(id, nonce)
		return nil, &Refusal{Reason: Unavailable, Detail: out.Reason, RetryAfter: out.RetryAfter, Attempts: x.attempts}
	}
	return nil, &Refusal{Reason: OutcomeUnknown, Run: leverid.MayHaveRun, Detail: out.Reason, Attempts: x.attempts}
}

// singleAnswer decodes the answer of a single shard. It returns false if the
// outcome is not a valid one.
func (x *execution) singleAnswer(out *leverengine.Outcome) (*Answer, bool) {
	if out.Verdict != leverengine.Passed || out.Reply.Status != http.StatusOK {
		return nil, false
	}
	var reply leverupstream.Reply
	if err := json.Unmarshal(out.Reply.Body, &reply); err != nil {
		x.engine.Log.Warn("cannot decode the reply of a shard", "id", x.req.ID, "service", x.req.Service, "err", err)
		return nil, false
	}
	return &Answer{
		Records: reply.Records, Snapshot: x.pin.Map.Version, Coverage: Coverage{Total: 1, Covered: 1}, Attempts: x.attempts,
	}, true
}

// claim claims the request's id before the request's deadline and the end of the
// VM's work. It returns nil
// if the request may be sent.
func (e *Engine) claim(ctx context.Context, req *Request, id leverclaim.ID, n leverclaim.Nonce) *Refusal {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer context.AfterFunc(e.ending.Context(), cancel)()
	err := e.Claims.Claim(ctx, id, n)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, leverclaim.ErrTaken):
		e.Events.Add(leverevent.ClaimConflict, string(req.Service), string(req.ID))
		return &Refusal{
			Reason: ClaimTaken, Run: leverid.MayHaveRun,
			Detail: "a request with this id was accepted earlier",
		}
	case errors.Is(err, leverstore.ErrUnavailable) && e.RunUnclaimed(req.Service) && ctx.Err() == nil:
		// The claim is known not to be stored. After an unknown outcome or in a
		// full range the request is refused.
		e.Counters.Add("runs-unclaimed", 1)
		return nil
	}
	return &Refusal{Reason: ClaimFailed, Detail: err.Error(), RetryAfter: defaultRetryAfter}
}

// release releases a claim so that the caller can send the request again under
// the same id.
func (e *Engine) release(id leverclaim.ID, n leverclaim.Nonce) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.Claims.Release(ctx, id, n); err != nil {
		e.Log.Warn("releasing a claim failed; the request id remains claimed", "err", err)
		e.Counters.Add("claims-kept", 1)
	}
}
