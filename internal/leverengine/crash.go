package leverengine

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

// barredRetryAfter is the retry delay suggested to the caller of a request whose
// content is barred.
const barredRetryAfter = 10 * time.Second

// runGuarded runs the request unless its content is barred for crashing
// upstreams. Suspect content runs on one part first, as a trial.
func (f *fanout) runGuarded(ctx context.Context) *Outcome {
	g := f.engine.Crashes
	f.fingerprint = f.req.Fingerprint()
	level, upstream := g.Level(f.fingerprint, f.startTime)
	switch level {
	case levercrash.Clear, levercrash.Noted:
		return f.run(ctx)
	case levercrash.Suspect:
		if !g.BeginTrial(f.fingerprint) {
			return &Outcome{Verdict: NotRun, Cause: OnTrial, RetryAfter: defaultRetryAfter, Reason: "a trial of the same suspect content is in progress"}
		}
		defer g.EndTrial(f.fingerprint)
		f.trial = true
		f.trialPart = f.partOf(upstream)
		f.engine.Log.Warn("suspect content is tried on one part first", "id", f.req.ID, "route", f.route.Name, "fingerprint", f.fingerprint)
		return f.run(ctx)
	}
	return &Outcome{Verdict: NotRun, Cause: Barred, RetryAfter: barredRetryAfter, Reason: "the content has crashed upstreams"}
}

// newConnResetWindow is how long the reset of a new connection counts as
// evidence that such resets for other contents are not crashes.
const newConnResetWindow = time.Second

// newConnResets holds, for each run of an upstream, the fingerprint of the request that
// last had a new connection closed without a response. If this happens to different contents
// at one upstream at about the same time, it is at its connection limit and has not crashed.
// At different upstreams it says nothing: connections to upstreams that come back from
// crashes are new, and several contents may be crashing them. The zero value is ready to
// use. It is safe for concurrent use.
type newConnResets struct {
	mu   sync.Mutex
	last map[leverdirectory.Key]newConnReset
}

type newConnReset struct {
	fingerprint leverid.Fingerprint
	at          time.Time
}

// maxNewConnResets bounds the upstreams whose last reset is remembered; those that are
// over newConnResetWindow ago go first.
const maxNewConnResets = 1024

// recordedAlone records the reset of a new connection for a fingerprint. It
// reports whether the previous one at that upstream was for the same fingerprint or more
// than newConnResetWindow ago.
func (r *newConnResets) recordedAlone(f leverid.Fingerprint, u leverdirectory.Key, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) >= maxNewConnResets {
		maps.DeleteFunc(r.last, func(_ leverdirectory.Key, l newConnReset) bool { return now.Sub(l.at) > newConnResetWindow })
	}
	l, known := r.last[u]
	if r.last == nil || len(r.last) >= maxNewConnResets {
		r.last = make(map[leverdirectory.Key]newConnReset)
	}
	r.last[u] = newConnReset{f, now}
	return !known || l.fingerprint == f || now.Sub(l.at) > newConnResetWindow
}

// partOf returns the index of the part that an upstream belongs to, or 0 if it
// belongs to none.
func (f *fanout) partOf(id leverid.UpstreamID) int {
	v := f.engine.Directory.View()
	for i := range f.parts {
		for _, u := range v.Upstreams(f.parts[i].service) {
			if u.ID == id {
				return i
			}
		}
	}
	return 0
}

// recordCrashEvidence updates the crash guard with the result of an attempt.
func (f *fanout) recordCrashEvidence(a *attempt) {
	e := f.engine
	now := e.Timer.Now()
	shard := leverid.ShardID(f.parts[a.part].index)
	f.recordAlive(a, now)
	switch {
	case a.kind == leverhealth.Good || a.kind == leverhealth.Failed:
		if (e.Crashes.Good(f.fingerprint, shard, now) || f.reportedReset) && e.CrashReports != nil {
			f.reportedReset = false
			e.CrashReports.Responded(f.fingerprint)
		}
		if f.trial {
			f.endTrial(now)
		}
		f.releaseHeld(now)
	case errors.Is(a.err, leverpool.ErrNewConnReset) && !e.newConnResets.recordedAlone(f.fingerprint, a.upstream().Key(), now):
		// The previous reset of a new connection was for other content, so the
		// upstream is at its connection limit.
	case errors.Is(a.err, leverpool.ErrReset), errors.Is(a.err, leverpool.ErrNewConnReset):
		r := levercrash.Reset{
			Fingerprint: f.fingerprint, Service: f.parts[a.part].service, Upstream: a.upstream().ID, Born: a.upstream().Born, Shard: shard, Trial: f.trial,
		}
		e.Crashes.Note(r, now)
		f.unjudged = &r
	}
	f.judgeResets(now)
}

// judgeDelay is the time after a reset at which its content is judged, unless all parts
// of a fan-out were reset. Another request with it, or the upstream, may respond
// meanwhile.
const judgeDelay = 300 * time.Millisecond

// judgeResets decides on the request's content after a reset, unless a response may
// show soon that the content is not the cause: in a fan-out, one to the first attempt at
// another part.
func (f *fanout) judgeResets(now time.Time) {
	r := f.unjudged
	if r == nil || f.gather && !r.Trial && !f.responded && f.firstInFlight() {
		return
	}
	f.judge(*r, now)
}

// judge reports a reset and decides on its content.
func (f *fanout) judge(r levercrash.Reset, now time.Time) {
	e := f.engine
	f.unjudged = nil
	if !f.responded && !r.Trial && e.CrashReports != nil {
		f.reportedReset = true
		e.CrashReports.WasReset(r)
	}
	if f.gather && !f.responded || r.Trial {
		e.judgeReset(f.req.ID, r, 0, now)
		return
	}
	id := f.req.ID
	e.Timer.RunAfter(judgeDelay, func() { e.judgeReset(id, r, judgeDelay, e.Timer.Now()) })
}

// judgeReset sets the level of a content after a reset.
func (e *Engine) judgeReset(id leverid.RequestID, r levercrash.Reset, settle time.Duration, now time.Time) {
	level, changed := e.Crashes.Judge(r, settle, now)
	if !changed {
		return
	}
	e.Log.Warn("content is believed to crash upstreams", "id", id, "fingerprint", r.Fingerprint, "barred", level == levercrash.Barred, "upstream", r.Upstream)
	e.publishCrashLevel(r.Fingerprint, now)
	if level == levercrash.Barred {
		e.Timer.RunAfter(levercrash.ConfirmAfter, func() { e.confirmBar(r) })
	}
}

// confirmBar bars the content of a trial that was reset for longer, or logs that the
// upstream has not crashed.
func (e *Engine) confirmBar(r levercrash.Reset) {
	entry, barred := e.Crashes.ConfirmBar(r, e.Timer.Now())
	if !barred {
		e.Log.Info("a trial was reset by an upstream that has not crashed", "fingerprint", r.Fingerprint, "upstream", r.Upstream)
		return
	}
	if e.OnCrashLevel != nil {
		e.OnCrashLevel([]levercrash.Entry{entry})
	}
}

// firstInFlight reports whether the first attempt at a part is in flight.
func (f *fanout) firstInFlight() bool {
	for i := range f.parts {
		if f.parts[i].inFlight > 0 && len(f.parts[i].attempts) == 1 {
			return true
		}
	}
	return false
}

func (f *fanout) anyInFlight() bool {
	for i := range f.parts {
		if f.parts[i].inFlight > 0 {
			return true
		}
	}
	return false
}

// recordAlive withdraws the evidence of resets by an upstream that responds.
func (f *fanout) recordAlive(a *attempt, now time.Time) {
	e, p := f.engine, a.placed.Load()
	if p == nil || a.kind != leverhealth.Good && a.kind != leverhealth.Failed && (a.kind != leverhealth.Shed || a.reply == nil) {
		return
	}
	for _, cleared := range e.Crashes.Alive(p.upstream.ID, p.upstream.Born, p.at, now) {
		if e.CrashReports != nil {
			e.CrashReports.Responded(cleared)
		}
	}
}

// endTrial clears the content after a successful trial and starts the other
// parts.
func (f *fanout) endTrial(now time.Time) {
	f.trial = false
	if f.engine.Crashes.ClearSuspect(f.fingerprint, now) {
		f.engine.Log.Info("suspect content is cleared", "id", f.req.ID, "fingerprint", f.fingerprint)
		f.engine.publishCrashLevel(f.fingerprint, now)
	}
	for i := range f.parts {
		if i != f.trialPart {
			f.startAttempt(i, false)
		}
	}
}

// holdAfterReset reports whether the retry of a part that was reset must wait
// for that of another part. Content that crashes upstreams can then crash only
// one more of them instead of one for each part. Once any upstream has
// responded, resets are treated as ordinary crashes.
func (f *fanout) holdAfterReset(part int) bool {
	switch {
	case f.responded || !f.gather || f.trial:
		return false
	case !f.retrying:
		f.retrying, f.retryPart = true, part
		return false
	case f.retryPart == part:
		return false
	}
	f.parts[part].held = true
	return true
}

// resumeNextHeld retries the next held part if the part being retried has no
// attempts left. If that part was reset again, all held parts are given up.
func (f *fanout) resumeNextHeld() {
	if !f.retrying || !f.parts[f.retryPart].exhausted {
		return
	}
	resetAgain := f.parts[f.retryPart].resets > 1
	for i := range f.parts {
		p := &f.parts[i]
		if !p.held {
			continue
		}
		p.held = false
		if !resetAgain {
			f.retryPart = i
			f.startAttempt(i, true)
			return
		}
		p.exhausted = p.inFlight == 0
	}
}

// releaseHeld retries all held parts, because an upstream has responded.
func (f *fanout) releaseHeld(now time.Time) {
	f.responded = true
	if !f.retrying {
		return
	}
	f.retrying = false
	if f.engine.Crashes.ClearSuspect(f.fingerprint, now) {
		f.engine.publishCrashLevel(f.fingerprint, now)
	}
	for i := range f.parts {
		if f.parts[i].held {
			f.parts[i].held = false
			f.startAttempt(i, true)
		}
	}
}

// publishCrashLevel passes the current entry of a fingerprint to the callback for crash
// levels.
func (e *Engine) publishCrashLevel(f leverid.Fingerprint, now time.Time) {
	if e.OnCrashLevel == nil {
		return
	}
	for _, entry := range e.Crashes.Entries(now) {
		if entry.Fingerprint == f {
			e.OnCrashLevel([]levercrash.Entry{entry})
		}
	}
}
