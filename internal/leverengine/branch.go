package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/juju/errors"
)

// Branch is a group of a fan-out's parts that another VM runs.
type Branch struct {
	VM levermsg.VM
	// Parts are indexes of the route's shards.
	Parts []int
}

// BranchRequest is what the VMs of all branches need to run a request.
type BranchRequest struct {
	*Request
	// ShardsHash is that of the route, which must be the same on all VMs.
	ShardsHash uint64
	// ReportAt is when the VMs report which parts are done, unless all are done
	// sooner.
	ReportAt time.Time
}

// BranchPart is a part that is done.
type BranchPart struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	Part      int
	Signature string
	// Slow says that the call took longer than its class of request allows.
	Slow bool
}

// BranchReport lists the parts of a branch that are done and were not reported
// before.
type BranchReport struct {
	Parts []BranchPart `msgpack:"p,omitempty"`
	// Records are the greatest records of these parts.
	Records []byte `msgpack:"r,omitempty"`
	// Final says that no other report follows: the parts that have not been
	// reported have no attempts left.
	Final bool `msgpack:"f,omitempty"`
	// Attempts, Hedged and Retried are totals of the branch so far.
	Attempts int `msgpack:"a,omitempty"`
	Hedged   int `msgpack:"h,omitempty"`
	Retried  int `msgpack:"e,omitempty"`
	// ServiceTime is the estimated time of a call without queueing.
	ServiceTime time.Duration `msgpack:"t,omitempty"`
	Reason      string        `msgpack:"o,omitempty"`
}

// BranchEvent is a message of a branch. Exactly one of Accepted, Overdue, Report,
// WantsExtra and Err is set.
type BranchEvent struct {
	// Branch is the index of the branch.
	Branch int
	// Accepted says that the VM has accepted the branch.
	Accepted bool
	// Overdue says that the VM has neither accepted the branch nor, after that,
	// reported in time. It may still do so.
	Overdue bool
	Report  *BranchReport
	// WantsExtra asks whether the VM may make more than one attempt at a part.
	WantsExtra bool
	// Err is why the branch ended without a final report. MayHaveStarted says that
	// the VM may have made attempts.
	Err            error
	MayHaveStarted bool
}

// BranchCall is a branch in progress on another VM.
type BranchCall interface {
	// AllowExtra allows the VM to make more than one attempt at a part.
	AllowExtra()
	// Distrust keeps the VM from getting branches for a while.
	Distrust()
	// Finish ends the branch without its remaining parts. Calls to upstreams in
	// flight may end.
	Finish()
	// Cancel ends the branch and its calls to upstreams.
	Cancel()
}

// Brancher runs branches on other VMs.
type Brancher interface {
	// Plan divides a fan-out over other VMs. This VM runs the parts that are in no
	// branch.
	Plan(r *leverdirectory.Route, v *leverdirectory.View) []Branch
	// Leads reports whether this VM divides the route's fan-outs itself instead of
	// delegating them.
	Leads(r *leverdirectory.Route, v *leverdirectory.View) bool
	// Start starts the branches and returns their calls in the same order. deliver
	// is called from other goroutines; it may block.
	Start(req *BranchRequest, branches []Branch, deliver func(BranchEvent)) []BranchCall
}

// branchState is the state of one branch of a request.
type branchState struct {
	Branch
	call BranchCall
	open bool
	// overdue is set while the VM's next message is late, and doubled once this VM
	// makes attempts at the parts as well.
	overdue, doubled bool
	// extra is set once the VM may have made more than one attempt at a part.
	extra bool
	// attempts, hedged and retried are the totals reported so far.
	attempts, hedged, retried int
	// reported lists the parts reported so far.
	reported []int
}

// startParts starts all parts, or the trial part only.
func (f *fanout) startParts() {
	plan := f.planBranches()
	if f.lacksParts(f.startTime) {
		f.giveUp()
		return
	}
	f.startBranches(plan)
	for i := range f.parts {
		if f.parts[i].branched {
			continue
		}
		f.engine.Budget.CountRequest(f.parts[i].service, f.startTime)
		if !f.trial || i == f.trialPart {
			f.startAttempt(i, false)
		}
	}
}

// planBranches returns the parts that other VMs will run if the fan-out is wide, and
// marks them. Answers without a record size can't be merged by parts, and suspect
// content runs here.
func (f *fanout) planBranches() []Branch {
	e := f.engine
	if e.Brancher == nil || f.sub != nil || !f.gather || f.trial || f.route.RecordBytes == 0 {
		return nil
	}
	plan := f.homeBranches(e.Brancher.Plan(f.route, f.view))
	for _, b := range plan {
		for _, k := range b.Parts {
			f.parts[k].branched, f.parts[k].awaited = true, true
		}
	}
	return plan
}

// startBranches hands parts to other VMs.
func (f *fanout) startBranches(plan []Branch) {
	if len(plan) == 0 {
		return
	}
	e := f.engine
	f.branchEvents = make(chan BranchEvent)
	f.ended = make(chan struct{})
	f.reportAt = f.partialAt.Add(-e.reportLag.Estimate())
	req := &BranchRequest{Request: f.req, ShardsHash: f.route.ShardsHash(), ReportAt: f.reportAt}
	calls := e.Brancher.Start(req, plan, f.deliver)
	for i, b := range plan {
		f.branches = append(f.branches, branchState{Branch: b, call: calls[i], open: true})
	}
}

// deliver passes an event to the request's goroutine, or drops it if the request
// has ended.
func (f *fanout) deliver(ev BranchEvent) {
	select {
	case f.branchEvents <- ev:
	case <-f.ended:
	}
}

func (f *fanout) handleBranchEvent(ev BranchEvent) {
	b := &f.branches[ev.Branch]
	if !b.open {
		return
	}
	if ev.Accepted || ev.Report != nil {
		b.overdue = false
	}
	switch {
	case ev.Overdue:
		b.overdue = true
		if f.overdueSince.IsZero() {
			f.overdueSince = f.engine.Timer.Now()
		}
	case ev.WantsExtra:
		// Until this VM is allowed extra attempts itself, the other VM asks again.
		if f.confirmed() && !b.doubled {
			b.extra = true
			b.call.AllowExtra()
		}
	case ev.Report != nil:
		f.addReport(b, ev.Report)
	case ev.Err != nil:
		f.takeOver(b, ev)
	}
	f.doubleOverdue(f.engine.Timer.Now())
}

const (
	// overdueSettle is how long this VM waits after a branch becomes overdue to see
	// whether others become overdue at the same time.
	overdueSettle = 2 * time.Millisecond
	// overdueGrace is how long this VM waits for branches that are overdue together.
	overdueGrace = 60 * time.Millisecond
)

// doubleOverdue makes attempts at the parts of branches that are overdue. If most
// of the branches are overdue, this VM is more likely to be slow than all the
// others, and it waits for overdueGrace first.
func (f *fanout) doubleOverdue(now time.Time) {
	if f.overdueSince.IsZero() || now.Before(f.overdueSince.Add(overdueSettle)) {
		return
	}
	overdue := 0
	for i := range f.branches {
		if b := &f.branches[i]; b.open && b.overdue && !b.doubled {
			overdue++
		}
	}
	if overdue == 0 {
		f.overdueSince, f.ownDelay = time.Time{}, false
		return
	}
	f.ownDelay = f.ownDelay || 2*overdue > len(f.branches)
	if f.ownDelay && now.Before(f.overdueSince.Add(overdueGrace)) {
		return
	}
	f.overdueSince, f.ownDelay = time.Time{}, false
	for i := range f.branches {
		if b := &f.branches[i]; b.open && b.overdue && !b.doubled {
			f.double(b)
		}
	}
}

// double makes attempts at the open parts of a branch, which may still report
// them.
func (f *fanout) double(b *branchState) {
	b.doubled = true
	b.call.Distrust()
	if b.extra || f.maxRuns() < 2 || !f.route.Repeatable {
		return
	}
	started := 0
	for _, i := range b.Parts {
		p := &f.parts[i]
		if p.done {
			continue
		}
		p.branched = false
		p.possibleRuns, p.possibleArrivals = 1, 1
		f.startAttempt(i, true)
		started++
	}
	f.recordTakeOver(b, "its next message is overdue", true, started)
}

// addReport adds the parts that another VM reports as done.
func (f *fanout) addReport(b *branchState, r *BranchReport) {
	now := f.engine.Timer.Now()
	for _, done := range r.Parts {
		if !slices.Contains(b.Parts, done.Part) || slices.Contains(b.reported, done.Part) {
			f.takeOver(b, BranchEvent{Err: errors.Errorf("part %d is not of this branch or was reported before", done.Part), MayHaveStarted: true})
			return
		}
		b.reported = append(b.reported, done.Part)
	}
	if !r.Final {
		f.engine.reportLag.Observe(now.Sub(f.reportAt))
	}
	for _, done := range r.Parts {
		p := &f.parts[done.Part]
		// The records of the report replace those of an attempt made here.
		p.done, p.exhausted, p.signature, p.reply = true, false, done.Signature, nil
		f.limiter.Observe(done.Part, len(f.parts), f.work, done.Slow, now)
	}
	if len(r.Parts) > 0 {
		f.responded, f.mayHaveRun = true, true
		f.branchRecords = append(f.branchRecords, r.Records)
	}
	f.hedged += r.Hedged - b.hedged
	f.retried += r.Retried - b.retried
	f.branchAttempts += r.Attempts - b.attempts
	b.attempts, b.hedged, b.retried = r.Attempts, r.Hedged, r.Retried
	f.engine.Health.AdoptServiceTime(f.class, r.ServiceTime)
	if !r.Final {
		return
	}
	f.close(b)
	for _, i := range b.Parts {
		if p := &f.parts[i]; !p.done {
			p.branched = false
			p.exhausted = p.inFlight == 0
			f.reason = r.Reason
		}
	}
}

// close records that a branch reports nothing more.
func (f *fanout) close(b *branchState) {
	b.open = false
	for _, i := range b.Parts {
		f.parts[i].awaited = false
	}
}

// takeOver runs the remaining parts of a branch that has ended early. Those that
// may have run as often as allowed are given up.
func (f *fanout) takeOver(b *branchState, ev BranchEvent) {
	f.close(b)
	taken := 0
	f.reason = ev.Err.Error()
	for _, i := range b.Parts {
		p := &f.parts[i]
		if p.done || b.doubled && !b.extra {
			continue
		}
		p.branched = false
		if !ev.MayHaveStarted {
			f.engine.Budget.CountRequest(p.service, f.startTime)
			f.startAttempt(i, false)
			taken++
			continue
		}
		f.mayHaveRun = true
		p.possibleRuns, p.possibleArrivals = 1, 1
		if b.extra || p.possibleRuns >= f.maxRuns() {
			p.exhausted = true
			continue
		}
		f.startAttempt(i, true)
		taken++
	}
	f.recordTakeOver(b, ev.Err.Error(), ev.MayHaveStarted, taken)
}

// endBranches ends the branches that are still open. Their remaining parts count
// as calls that took until now.
func (f *fanout) endBranches(end func(BranchCall)) {
	now := f.engine.Timer.Now()
	for i := range f.branches {
		b := &f.branches[i]
		if !b.open {
			continue
		}
		f.close(b)
		f.branchesLeft = true
		end(b.call)
		for _, k := range b.Parts {
			if !f.parts[k].done {
				f.limiter.Observe(k, len(f.parts), f.work, f.isSlow(now.Sub(f.startTime)), now)
			}
		}
	}
}

// hasOpenBranch reports whether another VM may be running parts.
func (f *fanout) hasOpenBranch() bool {
	for i := range f.branches {
		if f.branches[i].open {
			return true
		}
	}
	return f.branchesLeft
}
