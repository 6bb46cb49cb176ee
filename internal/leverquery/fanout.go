package leverquery

import (
	"context"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
)

// shard is the state of one shard of a query.
type shard struct {
	done    bool
	partial bool
	// dead says that nothing more can be tried in this version.
	dead bool
	// stale says that a replica does not have the version.
	stale    bool
	hedged   bool
	tried    []leverid.UpstreamID
	open     int
	attempts int
}

func (s *shard) settled() bool { return s.done || s.dead }

// attempt is one attempt at one shard.
type attempt struct {
	id       leverid.AttemptID
	shard    leverid.ShardID
	upstream leverid.UpstreamID
	extra    bool
	started  time.Time
	call     Call
	over     bool
	// withdrawn says that its home was told; its result is still to come.
	withdrawn bool
}

// retry is a second attempt that waits for its time.
type retry struct {
	at    time.Time
	shard leverid.ShardID
}

// fanout is one round of a query over all shards of one version. Its methods
// run on the query's goroutine; only the sinks run on others.
type fanout struct {
	engine  *Engine
	service *service
	req     *Request
	pin     leversnapshot.Pin
	query   levermsg.Query

	// asked are the shards that the query needs; single keeps each to one
	// attempt at a time.
	asked    []leverid.ShardID
	single   bool
	shards   []shard
	attempts map[leverid.AttemptID]*attempt
	mail     *mailbox
	window   leversnapshot.Window
	records  levermerge.Set
	retries  []retry
	resets   int
	// resetQueue are the shards that were reset and wait for their retry;
	// resetShard is the one that is tried if resetBusy is set.
	resetQueue   []leverid.ShardID
	resetShard   leverid.ShardID
	resetBusy    bool
	unsettled    int
	dead         int
	attemptCount int
	hedgeAt      time.Time
	hedgeArmed   bool
	answerAt     time.Time

	// sent says that an attempt may have been run.
	sent    bool
	stopped levercrash.Level
	began   time.Time
}

// pageLimit asks for one record more than the caller, so that it is seen
// whether more follow.
func pageLimit(limit int) int {
	if limit == 0 {
		return 0
	}
	return limit + 1
}

func newFanout(e *Engine, s *service, req *Request, pin leversnapshot.Pin, asked []leverid.ShardID) *fanout {
	return &fanout{
		engine: e, service: s, req: req, pin: pin, asked: asked,
		shards:    make([]shard, len(pin.Map.Shards)),
		attempts:  make(map[leverid.AttemptID]*attempt, len(pin.Map.Shards)),
		mail:      newMailbox(),
		unsettled: len(asked),
		query: levermsg.Query{
			Request: req.ID, Service: req.Service, Rank: req.Rank, Version: pin.Map.Version,
			Fingerprint: req.Fingerprint(), Body: req.Body, After: req.After, Limit: pageLimit(req.Limit), Once: req.Once,
		},
	}
}

// run asks the shards and returns when all are settled, when the least coverage
// suffices or can't be reached, or at the deadline.
func (f *fanout) run(ctx context.Context) {
	f.began = f.engine.Timer.Now()
	f.query.Deadline, _ = ctx.Deadline()
	if f.service.settings.OnShort == AnswerEarly {
		f.answerAt = f.began.Add(f.service.settings.AnswerAfter)
	}
	f.armHedge()
	f.start(ctx)
	alarm := f.engine.Timer.Alarm()
	defer alarm.Stop()
	for !f.finished() {
		f.setAlarm(alarm)
		select {
		case <-f.mail.signal:
			f.receive(ctx)
		case now := <-alarm.C:
			f.ring(ctx, now)
		case <-ctx.Done():
			f.withdrawAll()
			return
		}
	}
	f.withdrawAll()
}

func (f *fanout) finished() bool {
	if f.unsettled == 0 || f.stopped > levercrash.Clear {
		return true
	}
	if f.hopeless() {
		return true
	}
	if f.answerAt.IsZero() || f.engine.Timer.Now().Before(f.answerAt) {
		return false
	}
	return f.coverage().Part() >= f.service.settings.LeastCoverage
}

// hopeless reports whether the least coverage can't be reached any more. A
// stale shard is no reason to stop early if the query can start again.
func (f *fanout) hopeless() bool {
	total := len(f.asked)
	return float64(total-f.dead) < f.service.settings.LeastCoverage*float64(total)
}

func (f *fanout) armHedge() {
	if f.query.Once {
		return
	}
	if d, ok := f.service.hedger.Delay(f.began); ok {
		f.hedgeAt = f.began.Add(d)
		f.hedgeArmed = true
	}
}

func (f *fanout) setAlarm(a *levertimer.Alarm) {
	var at time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if f.hedgeArmed {
		sooner(f.hedgeAt)
	}
	for _, r := range f.retries {
		sooner(r.at)
	}
	if f.engine.Timer.Now().Before(f.answerAt) {
		sooner(f.answerAt)
	}
	if !at.IsZero() {
		a.Set(at)
	}
}

// ring does what is due.
func (f *fanout) ring(ctx context.Context, now time.Time) {
	if f.hedgeArmed && !now.Before(f.hedgeAt) {
		f.hedgeArmed = false
		f.hedge(ctx)
	}
	var due []leverid.ShardID
	rest := f.retries[:0]
	for _, r := range f.retries {
		if now.Before(r.at) {
			rest = append(rest, r)
			continue
		}
		due = append(due, r.shard)
	}
	f.retries = rest
	f.again(ctx, due)
}

func (f *fanout) receive(ctx context.Context) {
	var again []leverid.ShardID
	for _, res := range f.mail.take() {
		if res.Outcome == levermsg.OK {
			// The records may be those of several shards of the message, so
			// they count even if this one shard was answered before. All
			// attempts of a fan-out ask for the same version.
			f.records.Add(res.Records)
		}
		a := f.attempts[res.Attempt]
		if a == nil || a.over {
			f.engine.Counters.Add("late-results", 1)
			continue
		}
		a.over = true
		if f.take(a, res) {
			again = append(again, a.shard)
		}
	}
	f.again(ctx, again)
}

// coverage counts the shards that answered.
func (f *fanout) coverage() Coverage {
	c := Coverage{Total: len(f.asked)}
	for _, id := range f.asked {
		s := &f.shards[id]
		switch {
		case s.done && !s.partial:
			c.Covered++
		case s.partial:
			c.Partial = append(c.Partial, id)
		default:
			c.Missing = append(c.Missing, id)
		}
	}
	return c
}

// restartable reports whether a version that a replica lacks kept shards from
// answering and there is time for a second round.
func (f *fanout) restartable(ctx context.Context) bool {
	if f.stopped > levercrash.Clear || ctx.Err() != nil || f.req.Version != 0 {
		return false
	}
	return slices.ContainsFunc(f.asked, func(id leverid.ShardID) bool {
		return f.shards[id].stale && !f.shards[id].done
	})
}

// conclude makes the answer or the refusal.
func (f *fanout) conclude(restarted bool) (*Answer, *Refusal) {
	c := f.coverage()
	if f.stopped > levercrash.Clear {
		return nil, f.refuse(CrashSuspected, "several upstreams ended the connection without a reply", c)
	}
	answered := c.Covered + len(c.Partial)
	if answered == 0 || c.Part() < f.service.settings.LeastCoverage {
		return nil, f.refuse(Incomplete, "too few shards answered in time", c)
	}
	records, more := f.records.Page(f.req.Limit)
	return &Answer{
		Records: records, More: more, Snapshot: f.pin.Map.Version, Coverage: c, Restarted: restarted,
		Needed: len(f.asked), Attempts: f.attemptCount,
	}, nil
}

func (f *fanout) refuse(reason Reason, detail string, c Coverage) *Refusal {
	r := &Refusal{Reason: reason, Detail: detail, Coverage: c, Attempts: f.attemptCount}
	if f.sent {
		r.Run = leverid.MayHaveRun
	}
	if reason == Incomplete {
		r.RetryAfter = overloadPause
	}
	return r
}
