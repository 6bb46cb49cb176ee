package leverquery

import (
	"context"
	"slices"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

// runTrial asks one shard first if the request is suspected of crashing
// upstreams. It returns nil if the request may go on to all shards.
func (e *Engine) runTrial(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin) *Refusal {
	level, upstream := e.Crashes.Trial(req.Fingerprint())
	if level == levercrash.Clear {
		return nil
	}
	f := newFanout(e, s, req, pin, []leverid.ShardID{trialAt(pin.Map, upstream)})
	f.single = true
	f.query.Trial = true
	f.run(ctx)
	e.Crashes.Settle(ctx)
	if f.coverage().Covered > 0 {
		e.Crashes.Pass(req.Fingerprint())
		return nil
	}
	reason := CrashSuspected
	if level, _ := e.Crashes.Trial(req.Fingerprint()); level == levercrash.Barred {
		reason = CrashBarred
	}
	r := f.refuse(reason, "a trial on one shard did not succeed", Coverage{})
	if reason == CrashSuspected {
		r.RetryAfter = overloadPause
	}
	return r
}

// trialAt names the shard that a trial goes to: that of the upstream that ended
// the request's connection, or any if the map lacks it.
func trialAt(m leversnapshot.Map, upstream leverid.UpstreamID) leverid.ShardID {
	for i, sh := range m.Shards {
		if slices.Contains(sh.Replicas, upstream) {
			return leverid.ShardID(i)
		}
	}
	return 0
}
