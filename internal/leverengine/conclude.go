package leverengine

import (
	"math"
	"time"

	"arbutuslever.dev/lever/internal/levermerge"
)

// conclude returns the request's outcome, or nil if the request must go on.
func (f *fanout) conclude(now time.Time) *Outcome {
	late := f.isOver(now)
	if f.sub != nil {
		return f.sub.conclude(f, now)
	}
	if !f.gather {
		return f.concludeSingle(late)
	}
	done, settled := 0, 0
	for i := range f.parts {
		if f.parts[i].done {
			done++
		}
		if f.parts[i].settled() {
			settled++
		}
	}
	least := leastParts(f.route.LeastCoverage, len(f.parts))
	enough := done >= least
	switch {
	case done == len(f.parts):
		return f.merge(done, now)
	case enough && (late || settled == len(f.parts) || !f.route.Whole && f.partialDue(now)):
		return f.merge(done, now)
	case late:
		return &Outcome{Verdict: Late, Reason: f.reason}
	case f.trial && f.parts[f.trialPart].exhausted:
		return f.failureOutcome()
	case settled-done > len(f.parts)-least:
		return f.failureOutcome()
	}
	return nil
}

// leastParts returns the least number of parts, of n, of an answer with a coverage.
func leastParts(coverage float64, n int) int {
	const roundingError = 1e-9 // of products such as 0.1 * 30
	return max(int(math.Ceil(coverage*float64(n)-roundingError)), 1)
}

// partialDue reports whether an answer with the minimum coverage is returned now
// rather than delayed for the missing parts: in a short window at the objective,
// and again from lateFactor times the objective on.
func (f *fanout) partialDue(now time.Time) bool {
	if now.Before(f.partialAt) {
		return false
	}
	// Once the objective is missed, the answer has lost most of its value, so
	// it is worth waiting for the missing parts.
	return now.Before(f.partialAt.Add(partialWindow)) || !now.Before(f.latePartialAt)
}

func (f *fanout) concludeSingle(late bool) *Outcome {
	p := &f.parts[0]
	switch {
	case p.done:
		return &Outcome{Verdict: Passed, Reply: p.reply}
	case late && f.mayHaveRun, late && p.inFlight > 0:
		return &Outcome{Verdict: Late, Reason: f.reason}
	case late:
		return f.failureOutcome()
	case p.exhausted && f.failure != nil:
		return &Outcome{Verdict: Passed, Reply: f.failure, Reason: f.reason}
	case p.exhausted:
		return f.failureOutcome()
	}
	return nil
}

// failureOutcome returns the outcome of a request that can't be answered.
func (f *fanout) failureOutcome() *Outcome {
	if f.maybeRunning() {
		return &Outcome{Verdict: MayHaveRun, Reason: f.reason}
	}
	return &Outcome{Verdict: NotRun, RetryAfter: f.retryAfter(f.engine.Timer.Now()), Reason: f.reason}
}

// maybeRunning reports whether an upstream may have run or may run the request.
func (f *fanout) maybeRunning() bool {
	return f.mayHaveRun || f.hasOpenBranch() || f.anyInFlight()
}

// merge combines the responses of the parts that are done.
func (f *fanout) merge(done int, now time.Time) *Outcome {
	out := &Outcome{Verdict: Merged, DecidedAt: now, Missing: len(f.parts) - done, Signatures: make([]string, 0, done)}
	if f.route.RecordBytes == 0 {
		out.Parts = make([][]byte, len(f.parts))
	}
	top := levermerge.Top{Size: f.route.RecordBytes, Limit: f.route.Limit}
	for i := range f.parts {
		p := &f.parts[i]
		if !p.done {
			continue
		}
		out.Signatures = append(out.Signatures, p.signature)
		switch {
		case p.reply == nil:
			// Its records are among those of its branch.
		case out.Parts != nil:
			out.Parts[i] = p.reply.Body
		default:
			top.Add(p.reply.Body)
		}
	}
	for _, records := range f.branchRecords {
		top.Add(records)
	}
	if out.Parts == nil {
		out.Records = top.Bytes()
	}
	return out
}

// fillAttempts copies the attempt statistics to the outcome.
func (f *fanout) fillAttempts(out *Outcome) {
	out.MaybeRan = f.maybeRunning()
	out.Absent = f.absent
	out.Attempts, out.Hedged, out.Retried = len(f.attempts)+f.branchAttempts, f.hedged, f.retried
}
