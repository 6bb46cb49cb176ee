package leverengine

import (
	"time"

	"arbutuslever.dev/lever/internal/leverhealth"
)

var resultNames = map[leverhealth.Result]string{
	leverhealth.Good: "good", leverhealth.Shed: "shed", leverhealth.Elsewhere: "elsewhere",
	leverhealth.Failed: "failed", leverhealth.Reset: "reset", leverhealth.Refused: "refused",
	leverhealth.GivenUp: "given-up",
}

// note logs a failed attempt.
func (f *fanout) note(r *attempt) {
	f.reason = resultNames[r.kind] + " by " + string(r.upstream.ID)
	f.engine.Log.Info("an attempt failed", "id", f.req.ID, "route", f.route.Name, "part", r.part,
		"service", f.parts[r.part].service, "upstream", r.upstream.ID, "result", resultNames[r.kind],
		"after", f.engine.Timer.Now().Sub(r.started).Round(100*time.Microsecond), "err", r.err)
}

// end logs how the request ended.
func (f *fanout) end(out *Outcome) {
	took := f.engine.Timer.Now().Sub(f.begun)
	if (out.Verdict == Passed || out.Verdict == Merged && out.Missing == 0) && f.hedged+f.retried == 0 && took < f.route.Objective {
		return
	}
	f.engine.Log.Info("a request ended", "id", f.req.ID, "route", f.route.Name, "verdict", out.Verdict,
		"missing", out.Missing, "hedged", f.hedged, "retried", f.retried, "took", took.Round(100*time.Microsecond), "reason", out.Reason)
}
