package leverengine

import (
	"fmt"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/levermetric"
)

var resultNames = map[leverhealth.Result]string{
	leverhealth.Good: "good", leverhealth.Shed: "shed", leverhealth.WrongUpstream: "elsewhere",
	leverhealth.Failed: "failed", leverhealth.Reset: "reset", leverhealth.Refused: "refused",
	leverhealth.Canceled: "given-up", leverhealth.Withdrawn: "withdrawn", leverhealth.Absent: "absent",
	leverhealth.Lost: "vm-lost",
}

// logPrecision is the precision of durations in the log.
const logPrecision = 100 * time.Microsecond

// recordAttempt counts the result of an attempt, and logs it if it failed.
func (f *fanout) recordAttempt(a *attempt) {
	name := resultNames[a.kind]
	f.engine.Metrics.Add(levermetric.Name("attempts", "result", name), 1)
	took := f.engine.Timer.Now().Sub(a.started)
	if a.kind == leverhealth.Good {
		f.engine.Metrics.Observe(levermetric.Name("attempt-time", "rank", f.route.Rank.String()), took)
		return
	}
	f.engine.Log.Info("an attempt failed", "id", f.req.ID, "route", f.route.Name, "part", a.part,
		"service", f.parts[a.part].service, "upstream", a.upstream().ID, "address", a.upstream().Address, "result", name,
		"began", a.started.Sub(f.startTime).Round(logPrecision), "took", took.Round(logPrecision), "err", a.err)
}

// recordStatus logs and counts a change of an upstream's health status.
func (f *fanout) recordStatus(a *attempt, status leverhealth.Status) {
	f.engine.Metrics.Add(levermetric.Name("upstream-beliefs", "belief", string(status)), 1)
	f.engine.Log.Info("an upstream is believed anew", "upstream", a.upstream().ID, "service", a.upstream().Service, "address", a.upstream().Address,
		"belief", status, "after", resultNames[a.kind], "id", f.req.ID)
	if f.engine.Events == nil {
		return
	}
	kind := leverevent.UpstreamDown
	if status == leverhealth.Healthy {
		kind = leverevent.UpstreamUp
	}
	f.engine.Events.Add(kind, string(a.upstream().ID), string(status))
}

// recordAbandoned logs and counts an attempt that is canceled because its upstream is
// about to end.
func (f *fanout) recordAbandoned(a *attempt, now time.Time) {
	f.engine.Metrics.Add(levermetric.Name("attempts-abandoned"), 1)
	f.engine.Log.Info("an attempt is abandoned at an upstream that is about to end", "id", f.req.ID, "part", a.part, "upstream", a.upstream().ID,
		"took", now.Sub(a.started).Round(logPrecision))
}

// recordExtra logs and counts an extra attempt: a hedge, a retry, or one that replaces
// an attempt at an upstream that is about to end.
func (f *fanout) recordExtra(use string, a *attempt, reason string) {
	f.engine.Metrics.Add(levermetric.Name("extra-attempts", "use", use), 1)
	f.engine.Log.Info("an extra attempt is made", "id", f.req.ID, "use", use, "part", a.part, "upstream", a.upstream().ID,
		"at", a.started.Sub(f.startTime).Round(logPrecision), "why", reason)
}

// recordDenied logs and counts an extra attempt that the budget did not allow.
func (f *fanout) recordDenied(use string, part int) {
	f.engine.Metrics.Add(levermetric.Name("extra-attempts-denied", "use", use), 1)
	f.engine.Log.Info("the budget allows no extra attempt", "id", f.req.ID, "use", use, "part", part, "service", f.parts[part].service)
}

// maxPartsLogged limits the number of parts listed in one log line.
const maxPartsLogged = 4

// openParts lists the parts that have been tried but are not done, each with its
// number of attempts and the upstream that was tried last.
func (f *fanout) openParts() string {
	var b strings.Builder
	shown := 0
	for i := range f.parts {
		p := &f.parts[i]
		if p.done || len(p.attempts) == 0 {
			continue
		}
		if shown++; shown > maxPartsLogged {
			b.WriteString(" and more")
			break
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s tried %d, last at %s", p.service, len(p.attempts), p.attempts[len(p.attempts)-1].upstream().ID)
	}
	return b.String()
}

// recordEnd counts how the request ended. It logs the request unless it was
// answered completely within the objective and without hedges or retries.
func (f *fanout) recordEnd(out *Outcome) {
	e := f.engine
	now := e.Timer.Now()
	took := now.Sub(f.startTime)
	rank := f.route.Rank.String()
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", rank), 1)
	e.Metrics.Observe(levermetric.Name("request-time", "rank", rank, "verdict", out.Verdict.String()), took)
	if out.Missing > 0 {
		e.Metrics.Add(levermetric.Name("requests-partial", "rank", rank), 1)
	}
	if (out.Verdict == Passed || out.Verdict == Merged && out.Missing == 0) && f.hedged+f.retried == 0 && took < f.route.Objective {
		return
	}
	waited := time.Duration(0)
	for _, a := range f.attempts {
		waited = max(waited, a.waited(now))
	}
	keyvals := []any{"id", f.req.ID, "route", f.route.Name, "rank", rank, "verdict", out.Verdict,
		"config", f.version, "parts", len(f.parts), "missing", out.Missing, "hedged", f.hedged, "retried", f.retried,
		"took", took.Round(logPrecision), "waited", waited.Round(logPrecision), "objective", f.route.Objective, "open", f.openParts(), "age-at-begin", f.startTime.Sub(f.req.Received).Round(logPrecision), "reason", out.Reason}
	if f.req.Organisation != "" {
		keyvals = append(keyvals, "organisation", f.req.Organisation)
	}
	e.Log.Info("a request ended", keyvals...)
}

// recordTakeOver logs and counts a branch whose open parts run here, too. taken is
// their number.
func (f *fanout) recordTakeOver(b *branchState, reason string, mayHaveStarted bool, taken int) {
	f.engine.Metrics.Add(levermetric.Name("branches-taken-over"), 1)
	f.engine.Log.Info("the open parts of a branch run here", "id", f.req.ID, "branch-vm", b.VM.ID, "parts", len(b.Parts),
		"taken", taken, "may-have-started", mayHaveStarted, "at", f.engine.Timer.Now().Sub(f.startTime).Round(logPrecision), "why", reason)
}
