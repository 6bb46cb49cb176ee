package leverengine

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

const (
	// callerMargin is the part of the objective that is reserved for the
	// caller's own work, in addition to the round trip to the caller and this
	// VM's lag.
	callerMargin = 3 * time.Millisecond
	// partialWindow is how long after partialAt an answer with the minimum
	// coverage is still returned immediately.
	partialWindow = 5 * time.Millisecond
	// lateFactor is the multiple of the objective after which an answer with
	// the minimum coverage is no longer delayed for the missing parts.
	lateFactor = 2
	// retryDelay is the delay before the next attempt for a part that has no
	// upstream, or that has reached notRunLimit.
	retryDelay = 40 * time.Millisecond
	// confirmPollInterval is how often a part that needs a second attempt checks
	// whether it may have one.
	confirmPollInterval = 2 * time.Millisecond
	// loserGrace is how long attempts may continue after their request has
	// ended.
	loserGrace = 400 * time.Millisecond
	// maxHedgeDelayFraction is the fraction of the objective after which hedging
	// starts at the latest.
	maxHedgeDelayFraction = 0.45
	// additionalSends is the number of attempts for one part that are allowed
	// beyond the route's MaxAttempts for calls that did not run.
	additionalSends = 8
	// notRunLimit is the number of attempts that did not run after which a
	// request without fan-out gets no more attempts, and a part of a fan-out
	// waits for retryDelay.
	notRunLimit = 3
)

// fanout is one request in progress. Its methods run on the request's goroutine,
// except that cancel also runs on a timer's goroutine and recordStatus on that
// of a call.
type fanout struct {
	schedule
	crashState
	progress

	branching

	engine  *Engine
	req     *Request
	view    *leverdirectory.View
	route   *leverdirectory.Route
	version leverid.ConfigVersion
	class   leverhealth.Class
	// gather is set if the responses of several shards are merged.
	gather  bool
	parts   []part
	limiter *leverrank.Limiter
	// work is the time in seconds that the request takes at each of its services
	// without queueing.
	work float64
	// call is encoded for the first attempt, so that refused requests don't cost
	// the encoding.
	call    *leverpool.Call
	results chan *attempt
	// waiting is the number of attempts that wait for an upstream with room.
	waiting atomic.Int64
	// attempts holds all attempts, including those that have ended.
	attempts []*attempt
	// reserved is a cold upstream at which a place has been taken for the next attempt.
	reserved *leverdirectory.Upstream
	// departing is set once an attempt was at an upstream that is about to end.
	departing bool
}

// branching is what connects the fan-outs of several VMs.
type branching struct {
	// sub is set if this fan-out is a branch of another VM's.
	sub *subFanout
	// branches are run by other VMs, which send branchEvents until ended is closed.
	branches     []branchState
	branchEvents chan BranchEvent
	ended        chan struct{}
	// reportAt is when the branches report which parts are done.
	reportAt time.Time
	// overdueSince is since when branches are overdue that this VM has not doubled,
	// or zero.
	overdueSince time.Time
	// ownDelay is set while this VM takes itself for slow, because most branches
	// were overdue together.
	ownDelay bool
	// branchRecords are the records of the reports.
	branchRecords  [][]byte
	branchAttempts int
	// branchesLeft is set if the request ended while a branch was open.
	branchesLeft bool
}

// crashState is what is known about whether the request's content crashes
// upstreams.
type crashState struct {
	fingerprint leverid.Fingerprint
	// trial is set while suspect content runs on the part trialPart only.
	trial     bool
	trialPart int
	// responded is set once an upstream has responded, which shows that the
	// content does not crash upstreams.
	responded bool
	// retrying is set while the part retryPart is retried after a reset and no
	// upstream has responded yet. Other parts that were reset wait for it.
	retrying  bool
	retryPart int
	// reportedReset is set if a reset was reported to other VMs.
	reportedReset bool
	// unjudged is the last reset that has not been judged yet.
	unjudged *levercrash.Reset
}

// progress summarizes the results of the attempts so far.
type progress struct {
	hedged, retried int
	// mayHaveRun is set if an upstream may have run the request.
	mayHaveRun bool
	// absent lists what upstreams reported to have instead of what was
	// requested.
	absent []string
	// failure is the last response that reports a failure of the upstream.
	failure *leverpool.Reply
	reason  string
}

// newFanout returns a request's fan-out over all parts of the route, or over those
// of sub if that is not nil.
func (e *Engine) newFanout(req *Request, v *leverdirectory.View, route *leverdirectory.Route, sub *SubRequest) *fanout {
	f := &fanout{engine: e, req: req, view: v, route: route, version: v.Config.Version, class: classOf(route)}
	f.startTime = e.Timer.Now()
	f.mayHaveRun = req.PriorAttempts > 0
	services := route.Shards
	f.gather = len(services) > 0
	if !f.gather {
		services = []leverid.ServiceID{e.splitter.next(route)}
	}
	f.limiter = e.limiters.get(cmp.Or(route.Room, services[0]), route.Floors)
	if sub == nil {
		f.parts = make([]part, len(services))
		for i, s := range services {
			f.parts[i].service, f.parts[i].index = s, i
		}
	} else {
		f.sub = &subFanout{request: sub, nextReport: sub.ReportAt, first: true}
		for _, i := range sub.Parts {
			if i >= 0 && i < len(services) {
				f.parts = append(f.parts, part{service: services[i], index: i})
			}
		}
		f.sub.reported = make([]bool, len(f.parts))
	}
	f.results = make(chan *attempt, len(f.parts)*f.maxSends())
	e.Protocol.StripHeaders(req.Header)
	f.deadline = req.deadline(route)
	f.partialAt = req.Received.Add(route.Objective - req.CallerRTT - e.answerLag.Estimate() - callerMargin)
	f.latePartialAt = req.Received.Add(lateFactor * route.Objective)
	f.scheduleHedges()
	return f
}

// run runs the request until it has an outcome, its deadline passes, or the
// caller disconnects.
func (f *fanout) run(ctx context.Context) *Outcome {
	alarm := f.engine.Timer.Alarm()
	defer alarm.Stop()
	defer f.finish()
	f.startParts()
	if f.ended != nil {
		defer close(f.ended)
	}
	end := f.engine.ending.Context().Done()
	departed := f.watchDepartures(f.startTime)
	var finished <-chan struct{}
	if f.sub != nil {
		finished = f.sub.request.Finished
	}
	for {
		now := f.engine.Timer.Now()
		f.returnReserved(now)
		blocked := f.watchBlocks(now)
		if out := f.conclude(now); out != nil {
			return out
		}
		alarm.Set(f.nextWake(now))
		select {
		case a := <-f.results:
			f.handleResult(a)
		case ev := <-f.branchEvents:
			f.handleBranchEvent(ev)
		case now := <-alarm.C:
			f.onTimer(now)
		case <-blocked:
		case <-departed:
			departed = f.watchDepartures(f.engine.Timer.Now())
		case <-end:
			f.endEarly()
		case <-finished:
			return &Outcome{Verdict: CallerGone, Reason: "the other parts' answer was returned"}
		case <-ctx.Done():
			f.cancel()
			f.endBranches(BranchCall.Cancel)
			return &Outcome{Verdict: CallerGone, Reason: "the caller left"}
		}
	}
}

// finish judges the resets that are left, withdraws the attempts that have not been
// sent and lets the others continue for loserGrace: a response keeps the connection
// reusable and updates the upstream's health statistics.
func (f *fanout) finish() {
	f.endBranches(BranchCall.Finish)
	f.returnReserved(f.engine.Timer.Now())
	if f.unjudged != nil {
		f.judge(*f.unjudged, f.engine.Timer.Now())
	}
	inFlight := false
	for _, a := range f.attempts {
		inFlight = !a.exchange.Withdraw() || inFlight
	}
	if inFlight {
		f.engine.Timer.RunAfter(loserGrace, f.cancel)
	}
}

// cancel cancels the attempts that are still in flight.
func (f *fanout) cancel() {
	for _, a := range f.attempts {
		a.exchange.Cancel()
	}
}

// startAttempt starts an attempt for a part, or schedules it if there is no
// upstream. Extra attempts are charged to the retry budget.
func (f *fanout) startAttempt(i int, extra bool) {
	p := &f.parts[i]
	now := f.engine.Timer.Now()
	if len(p.attempts) >= f.maxSends() || f.isOver(now) {
		p.exhausted = p.inFlight == 0
		return
	}
	if p.possibleRuns > 0 && !f.confirmed() {
		p.retryAt = now.Add(confirmPollInterval)
		return
	}
	u, _ := f.pickUpstream(p, now)
	switch {
	case u == nil && f.isBlocked(p.service, now):
		f.reason = f.whyBlocked(p.service) + string(p.service)
		p.exhausted = p.inFlight == 0
		return
	case u == nil:
		p.retryAt = now.Add(retryDelay)
		f.reason = "no upstream available for " + string(p.service)
		return
	}
	if extra && !f.engine.Budget.Take(p.service, leverbudget.Retry, now) {
		f.reason = "retry budget exhausted at " + string(p.service)
		f.recordDenied("retry", i)
		p.exhausted = p.inFlight == 0
		return
	}
	a := f.send(i, u, extra, now)
	if extra {
		f.retried++
		f.recordExtra("retry", a, f.reason)
	}
}

// send starts an attempt that prefers an upstream. extra says that the budget was
// charged for it.
func (f *fanout) send(i int, u *leverdirectory.Upstream, extra bool, now time.Time) *attempt {
	p := &f.parts[i]
	a := &attempt{fanout: f, part: i, candidates: p.candidates(), extra: extra, started: now, preferred: placement{u, now}}
	a.placed.Store(&a.preferred)
	f.useReserved(a, u)
	f.attempts = append(f.attempts, a)
	p.attempts = append(p.attempts, a)
	p.inFlight++
	p.possibleRuns++
	a.send()
	return a
}

// handleResult updates the request with the result of an attempt.
func (f *fanout) handleResult(a *attempt) {
	p := &f.parts[a.part]
	a.handled = true
	p.inFlight--
	if a.mayHaveArrived() {
		p.possibleArrivals++
	}
	if !a.mayHaveRun() {
		p.possibleRuns--
		p.notRun++
	}
	f.recordAttempt(a)
	f.recordCrashEvidence(a)
	switch a.kind {
	case leverhealth.Absent:
		p.absent++
		f.absent = append(f.absent, a.meta.Absent)
	case leverhealth.Reset:
		p.resets++
	case leverhealth.Shed:
		// A single upstream may decline for reasons other than load. Refusals by
		// the queues of two replicas indicate overload.
		if errors.Is(a.err, leverpool.ErrQueueRejected) && p.notRun > 1 {
			f.limiter.ObserveRefusal(f.engine.Timer.Now())
		}
	}
	if a.kind == leverhealth.Good && f.settlesPart(a) {
		if !p.done {
			p.done, p.exhausted, p.reply, p.signature, p.slow = true, false, a.reply, a.meta.Signature, a.slow
			f.mayHaveRun = true
		}
		return
	}
	if a.mayHaveRun() {
		f.mayHaveRun = true
	}
	if p.done {
		return
	}
	if a.kind == leverhealth.Failed && !a.meta.StatusImpliesNotRun {
		f.failure = a.reply
	}
	f.reason = resultNames[a.kind] + " by " + string(a.upstream().ID)
	f.handleFailure(a, p)
	f.resumeNextHeld()
}

// settlesPart reports whether a complete response settles its part. In a
// fan-out only a response with a success status does, because the others can't
// be merged.
func (f *fanout) settlesPart(a *attempt) bool { return !f.gather || a.reply.Status < 300 }

// handleFailure decides whether the part of a failed attempt is retried, waits
// or is given up.
func (f *fanout) handleFailure(a *attempt, p *part) {
	once := !f.route.Repeatable
	switch {
	case once && a.mayHaveRun(),
		p.possibleRuns >= f.maxRuns(),
		!f.gather && p.notRun >= notRunLimit,
		f.trial && a.mayHaveRun(),
		a.departure.last,
		f.isOver(f.engine.Timer.Now()):
		p.exhausted = p.inFlight == 0
	case p.inFlight > 0:
		// Another attempt is still in flight.
	case a.kind == leverhealth.Absent && p.absent >= len(f.engine.Directory.View().Upstreams(p.service)):
		p.exhausted = true
	case a.kind == leverhealth.Reset && f.holdAfterReset(a.part):
	case p.notRun >= notRunLimit:
		p.retryAt = f.engine.Timer.Now().Add(retryDelay)
	default:
		f.startAttempt(a.part, p.possibleArrivals > 0)
	}
}
