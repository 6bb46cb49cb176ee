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
	// marginPart and marginMost are the time kept back for the way to the
	// caller.
	marginPart = 0.05
	marginMost = 5 * time.Millisecond
	// trialPause is how long a query waits while another one with its content
	// is on trial.
	trialPause = 5 * time.Millisecond
)

// round is one query at one snapshot.
type round struct {
	engine *Engine
	req    *Request
	pin    leversnapshot.Pin
	// attempts and ran sum up the rounds before.
	attempts int
	ran      bool
}

// runAll asks all shards, and once more at another version if the first can't
// be had.
func (r *round) runAll(ctx context.Context) (*Answer, *Refusal) {
	out := r.try(ctx)
	m, again := r.other(out)
	if !again {
		return r.conclude(out, false)
	}
	e := r.engine
	e.Counters.Add("query-restarts", 1)
	e.Events.Add(leverevent.QueryRestarted, string(r.req.Service), string(r.req.ID))
	e.Directory.Demote(r.req.Service, m.Version, e.Timer.Now())
	r.pin.Map = m
	return r.conclude(r.try(ctx), true)
}

// try runs the query over all shards. While another one with the same content
// is on trial, it waits.
func (r *round) try(ctx context.Context) *leverengine.Outcome {
	for {
		out := r.send(ctx, nil)
		if out.Cause != leverengine.OnTrial || !r.engine.Timer.Now().Before(r.req.Deadline) || !r.engine.Timer.Sleep(ctx, trialPause) {
			return out
		}
	}
}

// send hands the query to the engine; once is nil for all shards.
func (r *round) send(ctx context.Context, once *leverid.ShardID) *leverengine.Outcome {
	req, e := r.req, r.engine
	now := e.Timer.Now()
	left := req.Deadline.Sub(now)
	left -= min(time.Duration(marginPart*float64(left)), marginMost)
	variant := &leverengine.Variant{Rank: req.Rank}
	if once != nil {
		variant.Once, variant.Shard = true, *once
	}
	// A query is numbers and texts: encoding it can't fail.
	body, _ := json.Marshal(leverupstream.Request{
		Repeatable: once == nil, After: req.After, Limit: pageLimit(req.Limit), Body: req.Body,
	})
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(leverupstream.HeaderRequest, string(req.ID))
	header.Set(leverupstream.HeaderRank, req.Rank.String())
	out := e.Runner.Run(ctx, &leverengine.Request{
		ID: req.ID, Method: http.MethodPost, Host: string(req.Service),
		URI: leverupstream.Path, Path: levercatalog.Prefix(r.pin.Map.Version),
		Header: header, Body: body, Wait: left, Received: now, Variant: variant,
	})
	r.attempts += out.Attempts
	r.ran = r.ran || out.Ran
	e.Counters.Add("hedges", int64(out.Hedged))
	e.Counters.Add("retries", int64(out.Retried))
	return out
}

// pageLimit asks for one record more than the caller, so that it is seen
// whether more follow.
func pageLimit(limit int) int {
	if limit == 0 {
		return 0
	}
	return limit + 1
}

// other returns the version at which the query begins again, if upstreams lack
// the first one, it was not asked for by the caller, and there is time.
func (r *round) other(out *leverengine.Outcome) (leversnapshot.Map, bool) {
	short := out.Missing > 0 || out.Verdict != leverengine.Merged
	if !short || len(out.Absent) == 0 || r.req.Version != 0 || !r.engine.Timer.Now().Before(r.req.Deadline) {
		return leversnapshot.Map{}, false
	}
	var w leversnapshot.Window
	for _, text := range out.Absent {
		v, err := leverupstream.ParseVersions(text)
		if err != nil {
			r.engine.Log.Warn("an upstream's versions can't be read", "service", r.req.Service, "err", err)
			continue
		}
		w.Add(v.Oldest, v.Newest)
	}
	return w.Restart(r.pin.Index, r.pin.Map.Version)
}

// conclude makes the answer or the refusal.
func (r *round) conclude(out *leverengine.Outcome, restarted bool) (*Answer, *Refusal) {
	if out.Verdict != leverengine.Merged {
		return nil, r.refuse(out)
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
			r.engine.Log.Warn("a shard's answer can't be read", "id", r.req.ID, "service", r.req.Service, "shard", id, "err", err)
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
	records, more := set.Page(r.req.Limit)
	return &Answer{
		Records: records, More: more, Snapshot: r.pin.Map.Version, Coverage: c, Restarted: restarted, Attempts: r.attempts,
	}, nil
}

// refuse says why there is no answer.
func (r *round) refuse(out *leverengine.Outcome) *Refusal {
	f := &Refusal{Reason: Incomplete, Detail: out.Reason, RetryAfter: out.RetryAfter, Attempts: r.attempts}
	if r.ran {
		f.Run = leverid.MayHaveRun
	}
	switch {
	case out.Cause == leverengine.NoRoom:
		f.Reason = Overloaded
	case out.Cause == leverengine.OnTrial:
		f.Reason = CrashSuspected
	case out.Cause == leverengine.Barred:
		f.Reason = CrashBarred
	case out.Verdict == leverengine.NotReady:
		f.Reason = NotReady
	case out.Verdict == leverengine.NoRoute:
		f.Reason = UnknownService
	case out.Verdict == leverengine.Late && !r.ran:
		f.Reason = DeadlinePassed
	}
	if f.Reason == Incomplete && f.RetryAfter == 0 {
		f.RetryAfter = overloadPause
	}
	return f
}
