package leverengine

import (
	"context"
	"errors"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

// barredComeBack is the pause proposed for content that crashes upstreams.
const barredComeBack = 10 * time.Second

// guarded runs the request unless its content crashes upstreams. Suspect
// content runs on one part first.
func (f *fanout) guarded(ctx context.Context) *Outcome {
	g := f.engine.Crashes
	f.fingerprint = f.req.Fingerprint()
	level, upstream := g.Level(f.fingerprint, f.begun)
	switch level {
	case levercrash.Clear:
		return f.run(ctx)
	case levercrash.Suspect:
		if !g.BeginTrial(f.fingerprint) {
			return &Outcome{Verdict: NotRun, Cause: OnTrial, RetryAfter: comeBack, Reason: "the content is on trial"}
		}
		defer g.EndTrial(f.fingerprint)
		f.trial = true
		f.trialPart = f.partOf(upstream)
		f.engine.Log.Warn("suspect content runs on one part first", "id", f.req.ID, "route", f.route.Name, "fingerprint", f.fingerprint)
		return f.run(ctx)
	}
	return &Outcome{Verdict: NotRun, Cause: Barred, RetryAfter: barredComeBack, Reason: "the content crashed upstreams"}
}

// turnedTime is how long one content that was turned away speaks for others.
const turnedTime = time.Second

// turned remembers which content was last turned away on a new connection.
// Contents that are turned away together did not crash the upstreams. The zero
// value is ready to use. It is safe for concurrent use.
type turned struct {
	mu   sync.Mutex
	last leverid.Fingerprint
	at   time.Time
}

// only notes that content was turned away, and reports whether no other was
// lately.
func (t *turned) only(f leverid.Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	only := t.last == f || now.Sub(t.at) > turnedTime
	t.last, t.at = f, now
	return only
}

// partOf returns the part that an upstream belongs to.
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

// crashed takes in what an attempt's end says about the content.
func (f *fanout) crashed(a *attempt) {
	e := f.engine
	now := e.Timer.Now()
	shard := leverid.ShardID(a.part)
	switch {
	case a.kind == leverhealth.Good || a.kind == leverhealth.Failed:
		e.Crashes.Good(f.fingerprint, shard, now)
		if f.trial {
			f.cleared(now)
		}
		f.release(now)
	case errors.Is(a.err, leverpool.ErrTurnedAway) && !e.turned.only(f.fingerprint, now):
		// The upstream holds as many connections as it takes.
	case errors.Is(a.err, leverpool.ErrReset), errors.Is(a.err, leverpool.ErrTurnedAway):
		level, news := e.Crashes.Reset(levercrash.Reset{
			Fingerprint: f.fingerprint, Service: f.parts[a.part].service, Upstream: a.upstream.ID, Shard: shard, Trial: f.trial,
		}, now)
		if news {
			e.Log.Warn("content is believed to crash upstreams", "id", f.req.ID, "fingerprint", f.fingerprint, "barred", level == levercrash.Barred, "upstream", a.upstream.ID)
			f.tell(now)
		}
	}
}

// cleared lets the other parts run after a trial that went well.
func (f *fanout) cleared(now time.Time) {
	f.trial = false
	if f.engine.Crashes.Pass(f.fingerprint, now) {
		f.engine.Log.Info("suspect content is cleared", "id", f.req.ID, "fingerprint", f.fingerprint)
		f.tell(now)
	}
	for i := range f.parts {
		if i != f.trialPart {
			f.launch(i, false)
		}
	}
}

// hold reports whether a part that was reset waits: content that crashes
// upstreams gets one more of them, not one for each part. Once an upstream has
// answered, resets are ordinary crashes.
func (f *fanout) hold(part int) bool {
	switch {
	case f.answered || !f.gather || f.trial:
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

// advance goes on with the parts that wait if the one that was tried again is
// given up. If that was reset again, they are given up, too.
func (f *fanout) advance() {
	if !f.retrying || !f.parts[f.retryPart].dead {
		return
	}
	reset := f.parts[f.retryPart].resets > 1
	for i := range f.parts {
		p := &f.parts[i]
		if !p.held {
			continue
		}
		p.held = false
		if !reset {
			f.retryPart = i
			f.launch(i, true)
			return
		}
		p.dead = p.open == 0
	}
}

// release lets the parts go on that wait since they were reset.
func (f *fanout) release(now time.Time) {
	f.answered = true
	if !f.retrying {
		return
	}
	f.retrying = false
	if f.engine.Crashes.Pass(f.fingerprint, now) {
		f.tell(now)
	}
	for i := range f.parts {
		if f.parts[i].held {
			f.parts[i].held = false
			f.launch(i, true)
		}
	}
}

// tell hands the content's level on to the other VMs.
func (f *fanout) tell(now time.Time) {
	if f.engine.OnCrash == nil {
		return
	}
	for _, entry := range f.engine.Crashes.Entries(now) {
		if entry.Fingerprint == f.fingerprint {
			f.engine.OnCrash([]levercrash.Entry{entry})
		}
	}
}
