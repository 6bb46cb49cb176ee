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
	leverhealth.Good: "good", leverhealth.Shed: "shed", leverhealth.Elsewhere: "elsewhere",
	leverhealth.Failed: "failed", leverhealth.Reset: "reset", leverhealth.Refused: "refused",
	leverhealth.GivenUp: "given-up", leverhealth.Withdrawn: "withdrawn", leverhealth.Absent: "absent",
}

// round is the precision of times in the log.
const round = 100 * time.Microsecond

// noteAttempt logs an attempt that failed and counts how it ended.
func (f *fanout) noteAttempt(a *attempt) {
	name := resultNames[a.kind]
	f.engine.Metrics.Add(levermetric.Name("attempts", "result", name), 1)
	took := f.engine.Timer.Now().Sub(a.started)
	if a.kind == leverhealth.Good {
		f.engine.Metrics.Observe(levermetric.Name("attempt-time", "rank", f.route.Rank.String()), took)
		return
	}
	f.engine.Log.Info("an attempt failed", "id", f.req.ID, "route", f.route.Name, "part", a.part,
		"service", f.parts[a.part].service, "upstream", a.upstream.ID, "address", a.upstream.Address, "result", name,
		"began", a.started.Sub(f.begun).Round(round), "took", took.Round(round), "err", a.err)
}

// noteBelief logs what is believed anew of an upstream.
func (f *fanout) noteBelief(a *attempt, b leverhealth.Belief) {
	f.engine.Metrics.Add(levermetric.Name("upstream-beliefs", "belief", string(b)), 1)
	f.engine.Log.Info("an upstream is believed anew", "upstream", a.upstream.ID, "service", a.upstream.Service, "address", a.upstream.Address,
		"belief", b, "after", resultNames[a.kind], "id", f.req.ID)
	if f.engine.Events == nil {
		return
	}
	kind := leverevent.UpstreamDown
	if b == leverhealth.Sound {
		kind = leverevent.UpstreamUp
	}
	f.engine.Events.Add(kind, string(a.upstream.ID), string(b))
}

// noteExtra logs an attempt beside or after another one.
func (f *fanout) noteExtra(what string, a *attempt, why string) {
	f.engine.Metrics.Add(levermetric.Name("extra-attempts", "use", what), 1)
	f.engine.Log.Info("an extra attempt is made", "id", f.req.ID, "use", what, "part", a.part, "upstream", a.upstream.ID,
		"at", a.started.Sub(f.begun).Round(round), "why", why)
}

// noteDenied logs an extra attempt that the budget does not allow.
func (f *fanout) noteDenied(what string, part int) {
	f.engine.Metrics.Add(levermetric.Name("extra-attempts-denied", "use", what), 1)
	f.engine.Log.Info("the budget allows no extra attempt", "id", f.req.ID, "use", what, "part", part, "service", f.parts[part].service)
}

// openPartsShown bounds the parts that one line names.
const openPartsShown = 4

// openParts names the parts that are not in, with the upstream that was tried
// last.
func (f *fanout) openParts() string {
	var b strings.Builder
	shown := 0
	for i := range f.parts {
		p := &f.parts[i]
		if p.done || len(p.tried) == 0 {
			continue
		}
		if shown++; shown > openPartsShown {
			b.WriteString(" and more")
			break
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s tried %d, last at %s", p.service, len(p.tried), p.tried[len(p.tried)-1].ID)
	}
	return b.String()
}

// end logs how the request ended and counts it.
func (f *fanout) end(out *Outcome) {
	e := f.engine
	took := e.Timer.Now().Sub(f.begun)
	rank := f.route.Rank.String()
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", rank), 1)
	e.Metrics.Observe(levermetric.Name("request-time", "rank", rank, "verdict", out.Verdict.String()), took)
	if out.Missing > 0 {
		e.Metrics.Add(levermetric.Name("requests-partial", "rank", rank), 1)
	}
	if (out.Verdict == Passed || out.Verdict == Merged && out.Missing == 0) && f.hedged+f.retried == 0 && took < f.route.Objective {
		return
	}
	e.Log.Info("a request ended", "id", f.req.ID, "route", f.route.Name, "rank", rank, "verdict", out.Verdict,
		"config", f.version, "parts", len(f.parts), "missing", out.Missing, "hedged", f.hedged, "retried", f.retried,
		"took", took.Round(round), "objective", f.route.Objective, "open", f.openParts(), "age-at-begin", f.begun.Sub(f.req.Received).Round(round), "reason", out.Reason)
}
