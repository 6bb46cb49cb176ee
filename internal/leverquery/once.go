package leverquery

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"

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
// then sends one attempt to the key's shard. Only an attempt that certainly did
// not run is followed by another.
func (e *Engine) runOnce(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin) (*Answer, *Refusal) {
	if level, _ := e.Crashes.Trial(req.Fingerprint()); level > levercrash.Clear {
		return nil, &Refusal{Reason: CrashSuspected, Detail: "a request with this content crashed upstreams"}
	}
	id := leverclaim.IDOf(req.Service, req.ID)
	nonce := leverclaim.Nonce(rand.Uint64())
	if refusal := e.claim(ctx, s, req, id, nonce); refusal != nil {
		return nil, refusal
	}
	// The process may have stood still since the claim. The deadline is checked
	// here, at the home and at the upstream.
	if ctx.Err() != nil {
		e.release(id, nonce)
		return nil, &Refusal{Reason: DeadlinePassed, Detail: "after the claim, before the send"}
	}
	a, refusal := e.ask(ctx, s, req, pin, func(m leversnapshot.Map) []leverid.ShardID {
		return []leverid.ShardID{ShardOf(req.Key, m)}
	})
	if refusal == nil {
		return a, nil
	}
	if refusal.Run == leverid.NotRun {
		refusal.Reason = Unavailable
		e.release(id, nonce)
		return nil, refusal
	}
	refusal.Reason = OutcomeUnknown
	refusal.RetryAfter = 0
	return nil, refusal
}

func (e *Engine) claim(ctx context.Context, s *service, req *Request, id leverclaim.ID, n leverclaim.Nonce) *Refusal {
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
	case s.settings.RunUnclaimed && ctx.Err() == nil:
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
		e.Counters.Add("claims-kept", 1)
	}
}
