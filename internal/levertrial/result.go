package levertrial

import (
	"fmt"
	"slices"
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
	r.goodput(measured)
	r.back(c, measured)
	r.waste(sys.History)
	r.MostConnections, r.Refused = sys.Fleet.Connections()
	r.Violations = leverhistory.Checker{CutsAllowed: c.CutsAllowed, ModelData: true}.Check(sys.History)
	return r
}

// goodputFrom is when the count of whole answers begins: a flood has then gone
// on for a second.
const goodputFrom = 2 * time.Second

// firstSent returns when the earliest of some exchanges was sent. There must be
// at least one.
func firstSent(xs []leverhistory.Exchange) time.Time {
	earlier := func(a, b leverhistory.Exchange) int { return a.Sent.Compare(b.Sent) }
	return slices.MinFunc(xs, earlier).Sent
}

// goodput counts the whole answers to requests sent in the steady part.
func (r *Result) goodput(measured []leverhistory.Exchange) {
	if len(measured) == 0 {
		return
	}
	first := firstSent(measured)
	for _, x := range measured {
		if at := x.Sent.Sub(first); at < goodputFrom || at >= span {
			continue
		}
		if x.Answer != nil && x.Answer.Coverage.Whole() {
			r.Goodput[x.Rank] += 1 / (span - goodputFrom).Seconds()
		}
	}
}

// Total returns the whole answers per second of all ranks.
func (r *Result) Total() float64 {
	sum := 0.0
	for _, g := range r.Goodput {
		sum += g
	}
	return sum
}

// Line returns the result as one line of a table; Header names its columns.
func (r *Result) Line() string {
	u := &r.Report.Rows[leverid.Urgent]
	notRun, may := 0, 0
	for i := range r.Report.Rows {
		w := &r.Report.Rows[i]
		notRun, may = notRun+w.NotRun, may+w.MayHaveRun
	}
	return fmt.Sprintf("%-17s %-9s %6.1f %6.1f %7.1f %8.3f %7.0f %7.0f %7.0f %6.1f%% %6.1f%% %8d %6d %5d",
		r.Case, r.Policy, ms(u.P50), ms(u.P99), ms(u.P999), 100*coverage(r.Report),
		r.Goodput[0], r.Goodput[1], r.Goodput[2], 100*r.Total()/Capacity, 100*r.Extra(), notRun, may, len(r.Violations))
}

// Header names the columns of Line: times are of urgent answers in ms, coverage
// is the mean over all answers in percent, u/s, r/s and b/s are whole answers
// per second by rank, good is their sum as a part of the capacity, and extra
// the runs at upstreams that served no answer.
const Header = "case              policy       p50    p99   p99.9 coverage     u/s     r/s     b/s    good   extra  not-run may-run viol"

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// back finds how long after the trigger's end the last request was sent that got
// no whole answer.
func (r *Result) back(c Case, measured []leverhistory.Exchange) {
	if c.TriggerEnd == 0 || len(measured) == 0 {
		return
	}
	first := firstSent(measured)
	for _, x := range measured {
		if x.Answer == nil || !x.Answer.Coverage.Whole() {
			r.Back = max(r.Back, x.Sent.Sub(first)-c.TriggerEnd)
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
