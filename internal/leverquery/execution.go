package leverquery

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/levercatalog"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverupstream"
)

const (
	// replyMarginFraction of the time left, but at most maxReplyMargin, is
	// reserved for returning the answer to the caller.
	replyMarginFraction = 0.05
	maxReplyMargin      = 5 * time.Millisecond
	// trialPollInterval is the delay before a query is sent again while its
	// content is suspected of crashing upstreams and another query with the
	// same content runs as a trial on one shard.
	trialPollInterval = 5 * time.Millisecond
)

// execution is the state of one query while it runs. The pinned version changes
// if the query is restarted.
type execution struct {
	engine *Engine
	req    *Request
	pin    leversnapshot.Pin
	// attempts and maybeRan cover all fan-outs so far: the calls of upstreams,
	// and whether an upstream may have run the query.
	attempts int
	maybeRan bool
}

// runAllShards sends the query to all shards. If upstreams lack the pinned
// version, it restarts the query once at another one.
func (x *execution) runAllShards(ctx context.Context) (*Answer, *Refusal) {
	out := x.fanOut(ctx)
	m, restart := x.restartMap(out)
	if !restart {
		return x.answer(out, false)
	}
	e := x.engine
	e.Counters.Add("query-restarts", 1)
	e.Events.Add(leverevent.QueryRestarted, string(x.req.Service), string(x.req.ID))
	e.Directory.Demote(x.req.Service, m.Version, e.Timer.Now())
	x.pin.Map = m
	return x.answer(x.fanOut(ctx), true)
}

// fanOut sends the query to all shards. It waits while another query with the
// same content runs as a trial.
func (x *execution) fanOut(ctx context.Context) *leverengine.Outcome {
	for {
		out := x.send(ctx, nil)
		if out.Cause != leverengine.OnTrial || !x.engine.Timer.Now().Before(x.engine.deadline(x.req)) || !x.engine.Timer.Sleep(ctx, trialPollInterval) {
			return out
		}
	}
}

// send passes the query to the Runner, for the given shard only or, if shard is
// nil, for all shards.
func (x *execution) send(ctx context.Context, shard *leverid.ShardID) *leverengine.Outcome {
	req, e := x.req, x.engine
	now := e.Timer.Now()
	left := req.Deadline.Sub(now)
	left -= min(time.Duration(replyMarginFraction*float64(left)), maxReplyMargin)
	overrides := &leverengine.Overrides{Rank: req.Rank}
	if shard != nil {
		overrides.Once, overrides.Shard = true, *shard
	}
	// The fields are strings, numbers and raw JSON, so encoding cannot fail.
	body, _ := json.Marshal(leverupstream.Request{
		Repeatable: shard == nil, After: req.After, Limit: pageLimit(req.Limit), Body: req.Body,
	})
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(leverupstream.HeaderRequest, string(req.ID))
	header.Set(leverupstream.HeaderRank, req.Rank.String())
	out := e.Runner.Run(ctx, &leverengine.Request{
		ID: req.ID, Method: http.MethodPost, Host: string(req.Service),
		URI: leverupstream.Path, Path: levercatalog.Prefix(x.pin.Map.Version),
		Header: header, Body: body, CallerTimeout: left, Received: now, Overrides: overrides,
	})
	x.attempts += out.Attempts
	x.maybeRan = x.maybeRan || out.MaybeRan
	e.Counters.Add("hedges", int64(out.Hedged))
	e.Counters.Add("retries", int64(out.Retried))
	return out
}

// pageLimit returns the limit to send to the shards: one record more than the
// caller's, which shows whether more records follow.
func pageLimit(limit int) int {
	if limit == 0 {
		return 0
	}
	return limit + 1
}

// restartMap returns the shard map at which to restart the query. There is one
// if upstreams lack the pinned version but share another, the caller did not
// request a version, and the deadline has not passed.
func (x *execution) restartMap(out *leverengine.Outcome) (leversnapshot.Map, bool) {
	incomplete := out.Missing > 0 || out.Verdict != leverengine.Merged
	if !incomplete || len(out.Absent) == 0 || x.req.Version != 0 || !x.engine.Timer.Now().Before(x.engine.deadline(x.req)) {
		return leversnapshot.Map{}, false
	}
	var common leversnapshot.VersionRange
	for _, text := range out.Absent {
		v, err := leverupstream.ParseVersions(text)
		if err != nil {
			x.engine.Log.Warn("cannot parse the versions of an upstream", "service", x.req.Service, "err", err)
			continue
		}
		common.Intersect(v.Oldest, v.Newest)
	}
	return common.Restart(x.pin.Index, x.pin.Map.Version)
}

// answer turns the outcome of a fan-out into an answer or a refusal.
func (x *execution) answer(out *leverengine.Outcome, restarted bool) (*Answer, *Refusal) {
	if out.Verdict != leverengine.Merged {
		return nil, x.refusal(out)
	}
	var set levermerge.Set
	c := Coverage{Total: len(out.Parts)}
	for i, body := range out.Parts {
		id := leverid.ShardID(i)
		if body == nil {
			c.Missing = append(c.Missing, id)
			continue
		}
		var reply leverupstream.Reply
		if err := json.Unmarshal(body, &reply); err != nil {
			x.engine.Log.Warn("cannot decode the reply of a shard", "id", x.req.ID, "service", x.req.Service, "shard", id, "err", err)
			c.Missing = append(c.Missing, id)
			continue
		}
		if reply.Partial {
			c.Partial = append(c.Partial, id)
		} else {
			c.Covered++
		}
		set.Add(reply.Records)
	}
	records, more := set.Page(x.req.Limit)
	return &Answer{
		Records: records, More: more, Snapshot: x.pin.Map.Version, Coverage: c, Restarted: restarted, Attempts: x.attempts,
	}, nil
}

// refusal returns the refusal for an outcome without an answer.
func (x *execution) refusal(out *leverengine.Outcome) *Refusal {
	f := &Refusal{Reason: Incomplete, Detail: out.Reason, RetryAfter: out.RetryAfter, Attempts: x.attempts}
	if x.maybeRan {
		f.Run = leverid.MayHaveRun
	}
	switch {
	case out.Cause == leverengine.NoCapacity:
		f.Reason = Overloaded
	case out.Cause == leverengine.OnTrial:
		f.Reason = CrashSuspected
	case out.Cause == leverengine.Barred:
		f.Reason = CrashBarred
	case out.Verdict == leverengine.NotReady:
		f.Reason = NotReady
	case out.Verdict == leverengine.NoRoute:
		f.Reason = UnknownService
	case out.Verdict == leverengine.Late && !x.maybeRan:
		f.Reason = DeadlinePassed
	}
	if f.Reason == Incomplete && f.RetryAfter == 0 {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}
