package leverquery

import (
	"context"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverroute"
)

// maxAttempts bounds the attempts at one shard, the first included.
const maxAttempts = 3

// start sends the first attempt at each shard.
func (f *fanout) start(ctx context.Context) {
	now := f.engine.Timer.Now()
	f.service.digest(f.pin, now)
	f.service.retries[f.req.Rank].First(len(f.asked))
	f.service.hedges[f.req.Rank].First(len(f.asked))
	f.send(ctx, f.asked, false)
}

// again sends a further attempt at each of the shards.
func (f *fanout) again(ctx context.Context, shards []leverid.ShardID) {
	if len(shards) == 0 || f.stopped > 0 {
		return
	}
	f.send(ctx, shards, true)
}

// hedge sends a second attempt beside each first one that is slow. After a
// reset nothing is hedged: the request may be one that crashes upstreams. While
// work is being refused for want of room, only urgent work is hedged.
func (f *fanout) hedge(ctx context.Context) {
	if f.single || f.resets > 0 || (f.service.saturated() && f.req.Rank != leverid.Urgent) {
		return
	}
	var slow []leverid.ShardID
	for _, id := range f.asked {
		s := &f.shards[id]
		if s.settled() || s.hedged || s.open != 1 {
			continue
		}
		c, ok := f.choose(id)
		if !ok || !f.service.extra(f.service.hedges[f.req.Rank], c.Upstream) {
			continue
		}
		s.hedged = true
		slow = append(slow, id)
	}
	f.engine.Counters.Add("hedges", int64(len(slow)))
	f.again(ctx, slow)
}

// send groups one attempt at each shard by home and dispatches them. A shard
// without a replica left is dead.
func (f *fanout) send(ctx context.Context, shards []leverid.ShardID, extra bool) {
	now := f.engine.Timer.Now()
	vms := f.engine.Members.Live(now)
	batches := make(map[leverid.VMID]*levermsg.Batch)
	for _, id := range shards {
		c, ok := f.choose(id)
		if !ok {
			f.kill(id)
			continue
		}
		home := f.engine.Router.Home(f.req.Service, c.Upstream, c.Domain, vms)
		b := batches[home]
		if b == nil {
			b = &levermsg.Batch{Query: f.query, From: f.engine.Self, Demand: f.service.demand(now)}
			batches[home] = b
		}
		b.Items = append(b.Items, f.item(id, c, extra))
	}
	for home, b := range batches {
		f.dispatch(ctx, home, b)
	}
}

func (f *fanout) item(id leverid.ShardID, c leverroute.Candidate, extra bool) levermsg.Item {
	now := f.engine.Timer.Now()
	a := &attempt{id: f.engine.nextAttempt(), shard: id, upstream: c.Upstream, extra: extra, started: now}
	f.attempts[a.id] = a
	s := &f.shards[id]
	s.tried = append(s.tried, c.Upstream)
	s.open++
	s.attempts++
	f.attemptCount++
	f.engine.Replicas.Started(c.Upstream)
	if !extra {
		f.service.upstream(c.Upstream).First(1)
	}
	return levermsg.Item{Attempt: a.id, Shard: id, Upstream: c.Upstream, Extra: extra}
}

func (f *fanout) dispatch(ctx context.Context, home leverid.VMID, b *levermsg.Batch) {
	call := f.engine.Dispatcher.Dispatch(ctx, home, b, f.sink(b))
	for _, it := range b.Items {
		f.attempts[it.Attempt].call = call
	}
}

// sink accounts for a result, also when the query is long over, and passes it
// on.
func (f *fanout) sink(b *levermsg.Batch) func(levermsg.Result) {
	open := make(map[leverid.AttemptID]*attempt, len(b.Items))
	for _, it := range b.Items {
		open[it.Attempt] = f.attempts[it.Attempt]
	}
	return func(res levermsg.Result) {
		if a := open[res.Attempt]; a != nil {
			f.engine.account(f.service, a, res)
		}
		f.mail.put(res)
	}
}

// choose picks a replica that this shard was not tried at.
func (f *fanout) choose(id leverid.ShardID) (leverroute.Candidate, bool) {
	s := &f.shards[id]
	if s.attempts >= maxAttempts {
		return leverroute.Candidate{}, false
	}
	tried := func(u leverid.UpstreamID) bool { return slices.Contains(s.tried, u) }
	if f.single {
		return f.chooseSingle(id, tried)
	}
	return f.engine.Replicas.Choose(f.candidates(id), tried, f.engine.Timer.Now())
}

// chooseSingle picks the same replica on every VM, as long as it answers, so
// that its home sees all trials of one content.
func (f *fanout) chooseSingle(id leverid.ShardID, tried func(leverid.UpstreamID) bool) (leverroute.Candidate, bool) {
	var best leverroute.Candidate
	var bestScore uint64
	for _, c := range f.candidates(id) {
		if tried(c.Upstream) || f.engine.Replicas.Avoided(c.Upstream, f.engine.Timer.Now()) {
			continue
		}
		score := leverid.Hash(f.query.Fingerprint.String(), string(c.Upstream))
		if best.Upstream == "" || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best, best.Upstream != ""
}

func (f *fanout) candidates(id leverid.ShardID) []leverroute.Candidate {
	replicas := f.pin.Map.Shards[id].Replicas
	cs := make([]leverroute.Candidate, 0, len(replicas))
	for _, u := range replicas {
		if up, ok := f.pin.Index.Upstream(u); ok {
			cs = append(cs, leverroute.Candidate{Upstream: u, Domain: up.Domain, Slots: up.Slots})
		}
	}
	return cs
}

// kill gives a shard up, unless another attempt at it is still open.
func (f *fanout) kill(id leverid.ShardID) {
	s := &f.shards[id]
	if s.settled() || s.open > 0 {
		return
	}
	s.dead = true
	f.dead++
	f.unsettled--
	f.settledShard(id)
}

// withdrawAll takes back the attempts that are still open. What they did is
// unknown.
func (f *fanout) withdrawAll() {
	open := make(map[Call][]leverid.AttemptID)
	for id, a := range f.attempts {
		if a.over {
			continue
		}
		a.over = true
		f.sent = true
		if a.call != nil && !a.withdrawn {
			open[a.call] = append(open[a.call], id)
		}
	}
	for call, ids := range open {
		call.Withdraw(ids)
	}
}
