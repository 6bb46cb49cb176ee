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
	"arbutuslever.dev/lever/internal/leverupstream"

	"github.com/juju/errors"
)

// releaseTimeout bounds the release of a claim, which goes on after the
// caller's deadline.
const releaseTimeout = time.Second

// ShardOf returns the shard that a key belongs to in a map.
func ShardOf(key string, m leversnapshot.Map) leverid.ShardID {
	return leverid.ShardID(leverid.Hash(key) % uint64(len(m.Shards)))
}

// runOnce runs a request that is not repeatable: it claims the request's id,
// then has it sent to the key's shard. The engine sends it again only if it
// certainly did not run.
func (e *Engine) runOnce(ctx context.Context, req *Request, pin leversnapshot.Pin) (*Answer, *Refusal) {
	id := leverclaim.IDOf(req.Service, req.ID)
	nonce := leverclaim.Nonce(rand.Uint64())
	if refusal := e.claim(ctx, req, id, nonce); refusal != nil {
		return nil, refusal
	}
	// The process may have stood still since the claim.
	if ctx.Err() != nil || !e.Timer.Now().Before(req.Deadline) {
		e.release(id, nonce)
		return nil, &Refusal{Reason: DeadlinePassed, Detail: "after the claim, before the send"}
	}
	r := &round{engine: e, req: req, pin: pin}
	shard := ShardOf(req.Key, pin.Map)
	out := r.send(ctx, &shard)
	if m, again := r.other(out); again && !r.ran {
		r.pin.Map = m
		shard = ShardOf(req.Key, m)
		out = r.send(ctx, &shard)
	}
	if a, ok := r.single(out); ok {
		return a, nil
	}
	if !r.ran {
		e.release(id, nonce)
		return nil, &Refusal{Reason: Unavailable, Detail: out.Reason, RetryAfter: out.RetryAfter, Attempts: r.attempts}
	}
	return nil, &Refusal{Reason: OutcomeUnknown, Run: leverid.MayHaveRun, Detail: out.Reason, Attempts: r.attempts}
}

// single reads the answer of one shard.
func (r *round) single(out *leverengine.Outcome) (*Answer, bool) {
	if out.Verdict != leverengine.Passed || out.Reply.Status != http.StatusOK {
		return nil, false
	}
	var reply leverupstream.Reply
	if err := json.Unmarshal(out.Reply.Body, &reply); err != nil {
		r.engine.Log.Warn("a shard's answer can't be read", "id", r.req.ID, "service", r.req.Service, "err", err)
		return nil, false
	}
	return &Answer{
		Records: reply.Records, Snapshot: r.pin.Map.Version, Coverage: Coverage{Total: 1, Covered: 1}, Attempts: r.attempts,
	}, true
}

// claim claims the request's id within its deadline.
func (e *Engine) claim(ctx context.Context, req *Request, id leverclaim.ID, n leverclaim.Nonce) *Refusal {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	err := e.Claims.Claim(ctx, id, n)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, leverclaim.ErrTaken):
		e.Events.Add(leverevent.ClaimConflict, string(req.Service), string(req.ID))
		return &Refusal{
			Reason: ClaimTaken, Run: leverid.MayHaveRun,
			Detail: "a request with this id was taken in before",
		}
	case e.RunUnclaimed(req.Service) && ctx.Err() == nil:
		e.Counters.Add("runs-unclaimed", 1)
		return nil
	}
	return &Refusal{Reason: ClaimFailed, Detail: err.Error(), RetryAfter: overloadPause}
}

// release lets the caller send the request again under the same id.
func (e *Engine) release(id leverclaim.ID, n leverclaim.Nonce) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.Claims.Release(ctx, id, n); err != nil {
		e.Log.Warn("a claim could not be given up; the request's id stays taken", "err", err)
		e.Counters.Add("claims-kept", 1)
	}
}
