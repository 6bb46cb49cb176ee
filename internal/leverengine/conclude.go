package leverengine

import (
	"time"

	"arbutuslever.dev/lever/internal/levermerge"
)

// conclude returns the request's outcome if it is due.
func (f *fanout) conclude(now time.Time) *Outcome {
	late := !now.Before(f.deadline)
	if !f.gather {
		return f.concludeOne(late)
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
	enough := done > 0 && float64(done) >= f.route.LeastCoverage*float64(len(f.parts))
	switch {
	case done == len(f.parts):
		return f.merge(done, now)
	case enough && (late || settled == len(f.parts) || !f.route.Whole && f.answerDue(now)):
		return f.merge(done, now)
	case late:
		return &Outcome{Verdict: Late, Reason: f.reason}
	case f.trial && f.parts[f.trialPart].dead:
		return f.giveUp()
	case float64(settled-done) > (1-f.route.LeastCoverage)*float64(len(f.parts)):
		return f.giveUp()
	}
	return nil
}

// answerDue reports whether an answer with the least coverage is not held for
// more: at the objective, and again some time after it.
func (f *fanout) answerDue(now time.Time) bool {
	if now.Before(f.answerAt) {
		return false
	}
	// Just after the objective the answer has lost most of its value; then it
	// is held for the missing parts.
	return now.Before(f.answerAt.Add(answerSpell)) || !now.Before(f.lateAt)
}

func (f *fanout) concludeOne(late bool) *Outcome {
	p := &f.parts[0]
	switch {
	case p.done:
		return &Outcome{Verdict: Passed, Reply: p.reply}
	case late && f.ran, late && p.open > 0:
		return &Outcome{Verdict: Late, Reason: f.reason}
	case late:
		return f.giveUp()
	case p.dead && f.failure != nil:
		return &Outcome{Verdict: Passed, Reply: f.failure, Reason: f.reason}
	case p.dead:
		return f.giveUp()
	}
	return nil
}

// giveUp ends a request that can't be answered.
func (f *fanout) giveUp() *Outcome {
	for i := range f.parts {
		if f.ran || f.parts[i].open > 0 {
			return &Outcome{Verdict: MayHaveRun, Reason: f.reason}
		}
	}
	return &Outcome{Verdict: NotRun, RetryAfter: comeBack, Reason: f.reason}
}

// merge makes the answer of the parts that are in.
func (f *fanout) merge(done int, now time.Time) *Outcome {
	out := &Outcome{Verdict: Merged, At: now, Missing: len(f.parts) - done, Signatures: make([]string, 0, done)}
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
		if out.Parts != nil {
			out.Parts[i] = p.reply.Body
		} else {
			top.Add(p.reply.Body)
		}
	}
	if out.Parts == nil {
		out.Records = top.Bytes()
	}
	return out
}

// account notes in the outcome what became of the attempts.
func (f *fanout) account(out *Outcome) {
	out.Ran = f.ran
	for i := range f.parts {
		out.Ran = out.Ran || f.parts[i].open > 0
	}
	out.Absent = f.absent
	out.Attempts, out.Hedged, out.Retried = len(f.sent), f.hedged, f.retried
}
