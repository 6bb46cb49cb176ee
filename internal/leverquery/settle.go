package leverquery

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverroute"
)

const (
	// resetPause lets the resets of one fan-out come together before any of
	// its shards is tried again.
	resetPause = 5 * time.Millisecond
	// shedPause spreads retries of shed attempts.
	shedPause = time.Millisecond
)

// account learns from the end of an attempt. It runs on the sink's goroutine.
func (e *Engine) account(s *service, a *attempt, res levermsg.Result) {
	now := e.Timer.Now()
	took := now.Sub(a.started)
	change := e.Replicas.Ended(a.upstream, res.Outcome, took, now)
	e.Counters.Add("outcome-"+res.Outcome.String(), 1)
	if res.Room.Capacity > 0 {
		s.hinted(a.upstream, res.Room, now)
	}
	if res.Outcome == levermsg.OK && !a.extra {
		s.hedger.Observe(took, now)
	}
	switch change {
	case leverroute.WentDown:
		e.Events.Add(leverevent.UpstreamDown, string(a.upstream), res.Outcome.String())
	case leverroute.CameBack:
		e.Events.Add(leverevent.UpstreamUp, string(a.upstream), "")
	case leverroute.BeganDraining:
		e.Events.Add(leverevent.UpstreamDrain, string(a.upstream), "")
	}
}

// take settles an attempt. It reports whether its shard is to be tried again
// at once.
func (f *fanout) take(a *attempt, res levermsg.Result) bool {
	s := &f.shards[a.shard]
	s.open--
	if res.Run == leverid.MayHaveRun {
		f.sent = true
	}
	if s.settled() {
		f.engine.Counters.Add("second-replies", 1)
		return false
	}
	switch res.Outcome {
	case levermsg.OK:
		f.accept(a, res)
		return false
	case levermsg.Reset:
		return f.reset(a)
	case levermsg.Gone, levermsg.NotYet:
		s.stale = true
		f.window.Add(res.Oldest, res.Newest)
	case levermsg.HomeLost:
		// The upstream may be well; its next home may reach it.
		s.tried = slices.DeleteFunc(s.tried, func(u leverid.UpstreamID) bool { return u == a.upstream })
	}
	return f.decide(a, res)
}

// accept settles a shard with its records. A partial answer is kept, but a
// whole one from another replica replaces it.
func (f *fanout) accept(a *attempt, res levermsg.Result) {
	s := &f.shards[a.shard]
	f.engine.Crashes.Good(f.query.Fingerprint, a.shard)
	s.partial = res.Partial
	s.done = true
	f.unsettled--
	f.withdrawOthers(a)
	f.settledShard(a.shard)
}

func (f *fanout) withdrawOthers(winner *attempt) {
	s := &f.shards[winner.shard]
	if s.open == 0 {
		return
	}
	for id, a := range f.attempts {
		if a.shard == winner.shard && !a.over && a.call != nil {
			a.withdrawn = true
			a.call.Withdraw([]leverid.AttemptID{id})
		}
	}
}

// reset takes in a connection that ended without a reply. If that makes the
// request suspect, the query is stopped. Otherwise the shards that were reset
// are tried again, one at a time, so that a crashing request fells one more
// upstream at most. It is not charged to a budget: an upstream that crashes
// resets no more attempts than it has slots.
func (f *fanout) reset(a *attempt) bool {
	f.resets++
	level := f.engine.Crashes.Reset(levercrash.Reset{
		Fingerprint: f.query.Fingerprint, Service: f.req.Service, Upstream: a.upstream,
		Shard: a.shard, Trial: f.query.Trial,
	})
	if level > levercrash.Clear {
		f.stopped = level
		return false
	}
	if f.query.Once {
		f.kill(a.shard)
		return false
	}
	f.resetQueue = append(f.resetQueue, a.shard)
	f.nextReset()
	return false
}

// nextReset plans the retry of the next shard that was reset, unless one is
// under way.
func (f *fanout) nextReset() {
	for !f.resetBusy && len(f.resetQueue) > 0 {
		id := f.resetQueue[0]
		f.resetQueue = f.resetQueue[1:]
		if f.shards[id].settled() || f.shards[id].open > 0 {
			continue
		}
		f.resetBusy, f.resetShard = true, id
		f.retries = append(f.retries, retry{f.engine.Timer.Now().Add(resetPause), id})
	}
}

// settledShard goes on with the resets once the one under way is settled.
func (f *fanout) settledShard(id leverid.ShardID) {
	if f.resetBusy && f.resetShard == id {
		f.resetBusy = false
		f.nextReset()
	}
}

// decide says whether a shard whose attempt failed is tried again.
func (f *fanout) decide(a *attempt, res levermsg.Result) bool {
	s := &f.shards[a.shard]
	if s.open > 0 {
		return false
	}
	if f.query.Once && res.Run == leverid.MayHaveRun {
		f.kill(a.shard)
		return false
	}
	switch res.Outcome {
	case levermsg.Draining, levermsg.Unreachable, levermsg.HomeLost, levermsg.Gone, levermsg.NotYet:
		// No upstream worked on it: another try costs none of them anything.
		return true
	case levermsg.Shed:
		if !f.service.saturated() && f.allowed(a) {
			f.retries = append(f.retries, retry{f.engine.Timer.Now().Add(shedPause), a.shard})
			return false
		}
	case levermsg.Failed, levermsg.Mismatch:
		if f.allowed(a) {
			return true
		}
	}
	f.kill(a.shard)
	return false
}

// allowed charges a retry to the budgets.
func (f *fanout) allowed(a *attempt) bool {
	c, ok := f.choose(a.shard)
	if !ok || !f.service.extra(f.service.retries[f.req.Rank], c.Upstream) {
		return false
	}
	f.engine.Counters.Add("retries", 1)
	return true
}
