package levertrial

import (
	"fmt"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverreport"
	"arbutuslever.dev/lever/internal/levertest"
)

func summarize(c Case, p Policy, sys *levertest.System, counters map[string]int64) *Result {
	r := &Result{Case: c.Name, Policy: p, Counters: counters, History: sys.History}
	var measured []leverhistory.Exchange
	for _, x := range sys.History.Exchanges() {
		if strings.HasPrefix(string(x.ID), c.Measured) {
			measured = append(measured, x)
		}
	}
	r.Report = leverreport.Of(measured)
	r.goodput(c, measured)
	r.waste(sys.History)
	r.MostConnections, r.Refused = sys.Fleet.Connections()
	r.Violations = leverhistory.Checker{CutsAllowed: c.CutsAllowed, ModelData: true}.Check(sys.History)
	return r
}

// goodput divides whole answers by the time during which a rank was sent.
func (r *Result) goodput(c Case, measured []leverhistory.Exchange) {
	var whole [leverid.RankCount]int
	for _, x := range measured {
		if x.Answer != nil && x.Answer.Coverage.Whole() {
			whole[x.Rank]++
		}
	}
	var spans [leverid.RankCount]time.Duration
	for _, l := range c.Loads {
		if strings.HasPrefix(l.Label, c.Measured) {
			spans[l.Rank] = max(spans[l.Rank], l.For)
		}
	}
	for i := range whole {
		if spans[i] > 0 {
			r.Goodput[i] = float64(whole[i]) / spans[i].Seconds()
		}
	}
}

// waste counts the runs that served no answer.
func (r *Result) waste(h *leverhistory.History) {
	useful := make(map[leverid.RequestID]int)
	for _, x := range h.Exchanges() {
		if x.Answer != nil {
			useful[x.ID] += x.Answer.Coverage.Covered
		}
	}
	r.Runs = len(h.Runs())
	used := 0
	for _, n := range useful {
		used += n
	}
	r.Wasted = max(r.Runs-used, 0)
}

// Extra returns the runs at upstreams beyond those that answers needed, as a
// part of these.
func (r *Result) Extra() float64 {
	used := r.Runs - r.Wasted
	if used == 0 {
		return 0
	}
	return float64(r.Wasted) / float64(used)
}

// Text returns the result as a table.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "== %s, %s\n%s", r.Case, r.Policy, r.Report.Text())
	fmt.Fprintf(&b, "whole answers per second:")
	for i, g := range r.Goodput {
		if g > 0 {
			fmt.Fprintf(&b, " %s %.0f", leverid.Rank(i), g)
		}
	}
	fmt.Fprintf(&b, "\nupstreams ran %d, %d for nothing (%.1f%% extra); connections at most %.0f%% of a limit, %d refused\n",
		r.Runs, r.Wasted, 100*r.Extra(), 100*r.MostConnections, r.Refused)
	fmt.Fprintf(&b, "violations: %d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxShown {
			break
		}
		fmt.Fprintf(&b, "  %s\n", v)
	}
	return b.String()
}

// maxShown bounds the violations printed.
const maxShown = 5
