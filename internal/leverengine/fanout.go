package leverengine

import (
	"cmp"
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

const (
	// answerMargin is kept back from the objective, beside the ways between the
	// caller and this VM and this VM's own work, for the caller's work.
	answerMargin = 3 * time.Millisecond
	// answerSpell is how long after that an answer with the least coverage is
	// still given at once.
	answerSpell = 5 * time.Millisecond
	// lateFactor is the multiple of the objective after which an answer with
	// the least coverage is not held for more.
	lateFactor = 2
	// againPause is the pause before a part is tried again that has no upstream.
	againPause = 40 * time.Millisecond
	// loserGrace is how long an attempt may go on whose request was answered.
	loserGrace = 400 * time.Millisecond
	// hedgeLatest is the part of the objective after which hedging begins at
	// the latest.
	hedgeLatest = 0.45
	// partSends bounds the attempts at one part that did not run.
	partSends = 8
	// refusals is the number of upstreams that may decline before the request
	// is refused.
	refusals = 3
)

// part is the state of one shard of a fan-out, or of the one service of
// another request.
type part struct {
	service leverid.ServiceID
	done    bool
	// dead says that no more attempts are allowed.
	dead      bool
	signature string
	reply     *leverpool.Reply
	tried     []*leverdirectory.Upstream
	open      int
	// runs counts the attempts that ran or may still run; arrivals those that
	// may have reached an upstream; declined those that were not run.
	runs, arrivals, declined int
	// again is when the next attempt is due, if there is one.
	again time.Time
	// held says that the part was reset and waits until another part has been
	// tried again.
	held bool
	// absent counts the upstreams that don't have what was asked for, resets
	// those that ended the connection without an answer.
	absent, resets int
}

// mostRuns returns the number of upstreams that a part may run on.
func (f *fanout) mostRuns() int {
	if f.req.Confirmed != nil && !f.req.Confirmed() {
		return 1
	}
	return max(f.route.MaxAttempts-f.req.Spent, 1)
}

// mostSends bounds the attempts at a part, those that were declined included.
func (f *fanout) mostSends() int { return max(f.route.MaxAttempts, 1) + partSends }

func (p *part) settled() bool { return p.done || p.dead }

// fanout is one request under way. Its methods run on the request's goroutine.
type fanout struct {
	schedule
	suspicion
	tally

	engine  *Engine
	req     *Request
	route   *leverdirectory.Route
	version leverid.ConfigVersion
	class   leverhealth.Class
	gather  bool
	parts   []part
	room    *leverrank.Room
	// work is the time that the request takes at each of its services.
	work float64
	// call is encoded with the first attempt: a request that is refused costs
	// nothing more.
	call    *leverpool.Call
	results chan *attempt
	// sent are all attempts.
	sent []*attempt
}

// schedule is when what is due.
type schedule struct {
	begun, deadline time.Time
	// answerAt is when an answer with the least coverage is given, lateAt when
	// it is given at the latest if the coverage comes later.
	answerAt, lateAt time.Time
	hedgeAt          time.Time
}

// suspicion is what is believed of the request's content.
type suspicion struct {
	fingerprint leverid.Fingerprint
	// trial says that the content is suspect: it runs on one part first.
	trial     bool
	trialPart int
	// answered says that an upstream has answered: the content crashes none.
	answered bool
	// retrying says that the part retryPart was reset and is being tried again,
	// before any upstream has answered. Other parts that were reset wait for it.
	retrying  bool
	retryPart int
}

// tally is what has become of the attempts so far.
type tally struct {
	hedged, retried int
	// ran says that an upstream may have run the request.
	ran bool
	// absent is what upstreams said that they have instead.
	absent []string
	// failure is the last answer that says that the upstream failed.
	failure *leverpool.Reply
	reason  string
}

func (e *Engine) newFanout(req *Request, v *leverdirectory.View, route *leverdirectory.Route) *fanout {
	f := &fanout{engine: e, req: req, route: route, version: v.Config.Version, class: leverhealth.Class(route.Name)}
	f.begun = e.Timer.Now()
	services := route.Shards
	f.gather = len(services) > 0
	if !f.gather {
		services = []leverid.ServiceID{e.splits.next(route)}
	}
	f.parts = make([]part, len(services))
	for i, s := range services {
		f.parts[i].service = s
	}
	f.room = e.rooms.of(cmp.Or(route.Room, services[0]), route.Floors)
	f.results = make(chan *attempt, len(services)*f.mostSends())
	e.Protocol.Strip(req.Header)
	wait := route.Timeout
	if req.Wait > 0 && (wait == 0 || req.Wait < wait) {
		wait = req.Wait
	}
	f.deadline = req.Received.Add(wait)
	f.answerAt = req.Received.Add(route.Objective - req.Way - e.lag.keep() - answerMargin)
	f.lateAt = req.Received.Add(lateFactor * route.Objective)
	f.hedgeAt = f.begun.Add(min(e.Health.SlowAfter(f.class), time.Duration(hedgeLatest*float64(route.Objective))))
	return f
}

// run returns when the answer is made, time runs out, or the caller leaves.
func (f *fanout) run(ctx context.Context) *Outcome {
	alarm := f.engine.Timer.Alarm()
	defer alarm.Stop()
	defer f.finish()
	for i := range f.parts {
		f.engine.Budget.Request(f.parts[i].service, f.begun)
		if !f.trial || i == f.trialPart {
			f.launch(i, false)
		}
	}
	for {
		now := f.engine.Timer.Now()
		if out := f.conclude(now); out != nil {
			return out
		}
		alarm.Set(f.nextDue(now))
		select {
		case a := <-f.results:
			f.take(a)
		case now := <-alarm.C:
			f.ring(now)
		case <-ctx.Done():
			f.cancel()
			return &Outcome{Verdict: Left, Reason: "the caller left"}
		}
	}
}

// finish lets attempts that are still open go on for a while: their answers
// keep the connections and tell about the upstreams.
func (f *fanout) finish() {
	open := false
	for _, a := range f.sent {
		open = !a.exchange.Withdraw() || open
	}
	if open {
		f.engine.Timer.Do(loserGrace, f.cancel)
	}
}

// cancel gives up the attempts that are still open.
func (f *fanout) cancel() {
	for _, a := range f.sent {
		a.exchange.Cancel()
	}
}

// nextDue returns when something is to be done without a result.
func (f *fanout) nextDue(now time.Time) time.Time {
	at := f.deadline
	sooner := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	sooner(f.hedgeAt)
	if f.gather {
		sooner(f.answerAt)
		sooner(f.lateAt)
	}
	for i := range f.parts {
		if p := &f.parts[i]; !p.settled() && !p.again.IsZero() {
			sooner(p.again)
		}
	}
	return at
}

// ring does what is due.
func (f *fanout) ring(now time.Time) {
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled() {
			continue
		}
		if !p.again.IsZero() && !now.Before(p.again) {
			p.again = time.Time{}
			f.launch(i, p.arrivals > 0)
		}
	}
	if !now.Before(f.hedgeAt) {
		f.hedge(now)
	}
}

// hedge sends a second attempt beside each one that is unusually slow.
func (f *fanout) hedge(now time.Time) {
	f.hedgeAt = f.hedgeAt.Add(f.engine.Health.SlowAfter(f.class))
	if !f.route.Repeatable || f.trial || f.retrying {
		return
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled() || p.open != 1 || p.runs >= f.mostRuns() || len(p.tried) >= f.mostSends() {
			continue
		}
		u, expected := f.choose(p, now)
		if u == nil || !leverhealth.Usable(expected) {
			continue
		}
		if !f.engine.Budget.Take(p.service, leverbudget.Hedge, now) {
			f.noteDenied("hedge", i)
			continue
		}
		f.hedged++
		f.noteExtra("hedge", f.send(i, u, now), "slow at "+string(p.tried[len(p.tried)-2].ID))
	}
}

// launch sends an attempt for a part, or plans it for later.
func (f *fanout) launch(i int, extra bool) {
	p := &f.parts[i]
	now := f.engine.Timer.Now()
	if len(p.tried) >= f.mostSends() {
		p.dead = p.open == 0
		return
	}
	u, _ := f.choose(p, now)
	if u == nil {
		p.again = now.Add(againPause)
		f.reason = "no upstream for " + string(p.service)
		return
	}
	if extra && !f.engine.Budget.Take(p.service, leverbudget.Retry, now) {
		f.reason = "no budget for a retry at " + string(p.service)
		f.noteDenied("retry", i)
		p.dead = p.open == 0
		return
	}
	a := f.send(i, u, now)
	if extra {
		f.retried++
		f.noteExtra("retry", a, f.reason)
	}
}

func (f *fanout) send(i int, u *leverdirectory.Upstream, now time.Time) *attempt {
	p := &f.parts[i]
	a := &attempt{fanout: f, part: i, upstream: u, started: now}
	f.sent = append(f.sent, a)
	p.tried = append(p.tried, u)
	p.open++
	p.runs++
	a.send()
	return a
}

// take takes in the end of an attempt.
func (f *fanout) take(r *attempt) {
	p := &f.parts[r.part]
	p.open--
	if r.arrived() {
		p.arrivals++
	}
	if !r.ran() {
		p.runs--
		p.declined++
	}
	f.noteAttempt(r)
	f.crashed(r)
	switch r.kind {
	case leverhealth.Absent:
		p.absent++
		f.absent = append(f.absent, r.mark.Absent)
	case leverhealth.Reset:
		p.resets++
	case leverhealth.Shed:
		// An upstream may refuse for other reasons than the load; the homes of two
		// replicas do not.
		if errors.Is(r.err, leverpool.ErrNoRoom) && p.declined > 1 {
			f.room.Refuse(f.engine.Timer.Now())
		}
	}
	if r.kind == leverhealth.Good && f.counts(r) {
		if !p.done {
			p.done, p.dead, p.reply, p.signature = true, false, r.reply, r.mark.Signature
			f.ran = true
		}
		return
	}
	if r.ran() {
		f.ran = true
	}
	if p.done {
		return
	}
	if r.kind == leverhealth.Failed && !r.mark.Promise {
		f.failure = r.reply
	}
	f.reason = resultNames[r.kind] + " by " + string(r.upstream.ID)
	f.after(r, p)
	f.advance()
}

// counts reports whether a whole answer settles a part. Only a success is a
// part of a fan-out.
func (f *fanout) counts(r *attempt) bool { return !f.gather || r.reply.Status < 300 }

// after decides what follows a failed attempt.
func (f *fanout) after(r *attempt, p *part) {
	once := !f.route.Repeatable
	switch {
	case once && r.ran(),
		p.runs >= f.mostRuns(),
		!f.gather && p.declined >= refusals,
		f.trial && r.ran(),
		!f.engine.Timer.Now().Before(f.deadline):
		p.dead = p.open == 0
	case p.open > 0:
		// Another attempt is under way.
	case r.kind == leverhealth.Absent && p.absent >= len(f.engine.Directory.View().Upstreams(p.service)):
		p.dead = true
	case r.kind == leverhealth.Reset && f.hold(r.part):
	case p.declined >= refusals:
		p.again = f.engine.Timer.Now().Add(againPause)
	default:
		f.launch(r.part, p.arrivals > 0)
	}
}
