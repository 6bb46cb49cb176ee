package leverquery

import (
	"context"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

// trialPause is how long a request waits while another VM's trial runs.
const trialPause = 5 * time.Millisecond

// runTrial asks one shard first if the request is suspected of crashing
// upstreams. It returns nil if the request may go on to all shards. While
// another trial of the same content runs, it waits for the outcome.
func (e *Engine) runTrial(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin) *Refusal {
	sent := false
	for {
		level, upstream := e.Crashes.Trial(req.Fingerprint())
		switch level {
		case levercrash.Clear:
			return nil
		case levercrash.Barred:
			return trialRefusal(CrashBarred, sent, "the request crashed upstreams before")
		}
		f := newFanout(e, s, req, pin, []leverid.ShardID{trialAt(pin.Map, upstream)})
		f.single = true
		f.query.Trial = true
		f.run(ctx)
		e.Crashes.Settle(ctx)
		sent = sent || f.sent
		if f.coverage().Covered > 0 {
			e.Crashes.Pass(req.Fingerprint())
			return nil
		}
		if !e.Timer.Sleep(ctx, trialPause) {
			return trialRefusal(CrashSuspected, sent, "a trial on one shard did not succeed in time")
		}
	}
}

func trialRefusal(reason Reason, sent bool, detail string) *Refusal {
	r := &Refusal{Reason: reason, Detail: detail}
	if sent {
		r.Run = leverid.MayHaveRun
	}
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
