package leverengine

import (
	"context"
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermetric"
)

// reportInterval is the least time between two reports of a branch, after the
// first one.
const reportInterval = 5 * time.Millisecond

// SubRequest is a branch of another VM's fan-out that this VM runs.
type SubRequest struct {
	BranchRequest
	// Parts are indexes of the route's shards.
	Parts []int
	// Finished is closed when the other VM needs no more reports.
	Finished <-chan struct{}
}

// subFanout is the state of a fan-out that runs a branch of another VM's.
type subFanout struct {
	request *SubRequest
	report  func(*BranchReport)
	// nextReport is when the parts that are done are reported.
	nextReport time.Time
	// reported holds, by part, whether it was reported. pending is the number of
	// parts that are done and were not.
	reported []bool
	pending  int
	first    bool
}

// subRoute returns the route of a branch, or why this VM can't run it.
func (e *Engine) subRoute(r *SubRequest) (*leverdirectory.View, *leverdirectory.Route, string) {
	view := e.Directory.View()
	if !view.Usable() {
		return nil, nil, "not ready"
	}
	route := view.Config.Route(r.Host, r.Path)
	if route == nil || route.ShardsHash() != r.ShardsHash {
		return nil, nil, fmt.Sprintf("other shards at configuration %d", view.Config.Version)
	}
	return view, route, ""
}

// CanRunBranch returns why this VM can't run a branch, or "".
func (e *Engine) CanRunBranch(r *SubRequest) string {
	_, _, reason := e.subRoute(r)
	return reason
}

// RunBranch runs a branch and reports the parts that are done: at ReportAt, from
// then on in short intervals, and at the end. The last report is final, unless
// ctx has ended.
func (e *Engine) RunBranch(ctx context.Context, r *SubRequest, report func(*BranchReport)) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	view, route, reason := e.subRoute(r)
	if reason != "" {
		report(&BranchReport{Final: true, Reason: reason})
		return
	}
	r.Homes = homesOf(r.Request, route, nil)
	f := e.newFanout(r.Request, view, r.Overrides.apply(route), r)
	f.sub.report = report
	out := f.runGuarded(ctx)
	if ctx.Err() == nil {
		f.sub.flush(f, out.Reason, true)
	}
	f.recordBranchEnd(out)
}

// conclude returns the outcome if all parts are settled or the deadline has
// passed. Otherwise it reports what is due.
func (s *subFanout) conclude(f *fanout, now time.Time) *Outcome {
	s.pending = 0
	settled := 0
	for i := range f.parts {
		if f.parts[i].settled() {
			settled++
		}
		if f.parts[i].done && !s.reported[i] {
			s.pending++
		}
	}
	trialFailed := f.trial && f.parts[f.trialPart].exhausted
	if settled == len(f.parts) || trialFailed || f.isOver(now) {
		return &Outcome{Verdict: Merged, Reason: f.reason}
	}
	if !now.Before(s.nextReport) && (s.pending > 0 || s.first) {
		s.flush(f, "", false)
		s.nextReport = now.Add(reportInterval)
	}
	return nil
}

// flush reports the parts that are done and were not reported.
func (s *subFanout) flush(f *fanout, reason string, final bool) {
	r := &BranchReport{
		Final: final, Attempts: len(f.attempts), Hedged: f.hedged, Retried: f.retried, Reason: reason,
		ServiceTime: f.engine.Health.ServiceTime(f.class),
	}
	top := levermerge.Top{Size: f.route.RecordBytes, Limit: f.route.Limit}
	for i := range f.parts {
		p := &f.parts[i]
		if !p.done || s.reported[i] {
			continue
		}
		s.reported[i] = true
		r.Parts = append(r.Parts, BranchPart{Part: p.index, Signature: p.signature, Slow: p.slow})
		top.Add(p.reply.Body)
	}
	r.Records = top.Bytes()
	s.first, s.pending = false, 0
	s.report(r)
}

// wake returns when the next report is due, or the zero time.
func (s *subFanout) wake() time.Time {
	if s.first || s.pending > 0 {
		return s.nextReport
	}
	return time.Time{}
}

// recordBranchEnd counts how a branch ended. It logs it unless all its parts are
// done without extra attempts.
func (f *fanout) recordBranchEnd(out *Outcome) {
	e := f.engine
	missing := 0
	for i := range f.parts {
		if !f.parts[i].done {
			missing++
		}
	}
	verdict := out.Verdict.String()
	e.Metrics.Add(levermetric.Name("branches", "verdict", verdict), 1)
	e.Metrics.Observe(levermetric.Name("branch-time", "verdict", verdict), e.Timer.Now().Sub(f.startTime))
	if missing == 0 && f.hedged+f.retried == 0 {
		return
	}
	e.Log.Info("a branch ended", "id", f.req.ID, "route", f.route.Name, "verdict", verdict, "config", f.version, "parts", len(f.parts),
		"missing", missing, "hedged", f.hedged, "retried", f.retried, "took", e.Timer.Now().Sub(f.startTime).Round(logPrecision),
		"open", f.openParts(), "reason", out.Reason)
}
