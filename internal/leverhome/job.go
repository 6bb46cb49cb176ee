package leverhome

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
)

// job is one attempt at a home.
type job struct {
	owner   *Run
	query   *levermsg.Query
	item    levermsg.Item
	ticket  leverrank.Ticket
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
}

func newJob(ctx context.Context, r *Run, b *levermsg.Batch, it levermsg.Item) *job {
	j := &job{owner: r, query: &b.Query, item: it}
	j.ctx, j.cancel = context.WithDeadline(ctx, b.Query.Deadline)
	j.ticket.Rank = b.Query.Rank
	return j
}

// run makes the attempt. It owns a slot of the gate until it returns.
func (j *job) run(g *gate) {
	res := j.attempt(g)
	res.Attempt = j.item.Attempt
	res.Wait = j.started.Sub(j.ticket.Queued)
	res.Service = g.home.Timer.Now().Sub(j.started)
	if res.Outcome == levermsg.Reset {
		g.home.Crashes.Reset(levercrash.Reset{
			Fingerprint: j.query.Fingerprint, Service: j.query.Service,
			Upstream: j.item.Upstream, Shard: j.item.Shard, Trial: j.query.Trial,
		})
	}
	if res.Outcome == levermsg.OK {
		g.home.Crashes.Good(j.query.Fingerprint, j.item.Shard)
	}
	g.finish(j, res)
	j.end(g.hint(res))
}

func (j *job) attempt(g *gate) levermsg.Result {
	if j.ctx.Err() != nil {
		return levermsg.Result{Outcome: levermsg.Withdrawn}
	}
	// The request may have become known as a crashing one while it waited.
	if res, refused := g.home.refuse(j); refused {
		return res
	}
	if j.query.Trial && !g.home.Crashes.BeginTrial(j.query.Fingerprint) {
		return levermsg.Result{Outcome: levermsg.Barred, Detail: "another trial of the request runs"}
	}
	g.home.Counters.Add("home-attempts", 1)
	res := g.home.Client.Do(j.ctx, g.target(), j.query, j.item)
	if j.query.Trial {
		g.home.Crashes.EndTrial(j.query.Fingerprint)
		if res.Outcome == levermsg.OK {
			g.home.Crashes.Pass(j.query.Fingerprint)
		}
	}
	return res
}

// withdraw takes the job back, wherever it is.
func (j *job) withdraw() {
	if g := j.owner.home.find(j.item.Upstream); g != nil && g.withdraw(j) {
		j.end(g.hint(levermsg.Result{Outcome: levermsg.Withdrawn}))
		return
	}
	j.cancel()
}

// end delivers the job's result.
func (j *job) end(res levermsg.Result) {
	res.Attempt = j.item.Attempt
	j.cancel()
	j.owner.deliver(res)
}

func (h *Home) find(u leverid.UpstreamID) *gate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gates[u]
}
