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
	r.Report = leverreport.Summarize(measured)
	r.measureGoodput(measured)
	r.measureRecovery(c, measured)
	r.countWasted(sys.History)
	r.PeakConnectionUse, r.Refused = sys.UpstreamSet.ConnectionStats()
	r.Violations = leverhistory.Checker{CutsAllowed: c.CutsAllowed, ModelData: true}.Check(sys.History)
	return r
}

// goodputStart is when the measurement of goodput starts, as time since the
// first request. A flood has then lasted for a second.
const goodputStart = 2 * time.Second

// firstSent returns the earliest send time. xs must not be empty.
func firstSent(xs []leverhistory.Exchange) time.Time {
	earlier := func(a, b leverhistory.Exchange) int { return a.Sent.Compare(b.Sent) }
	return slices.MinFunc(xs, earlier).Sent
}

// measureGoodput sets Goodput from the complete answers to requests that were
// sent between goodputStart and the end of the load.
func (r *Result) measureGoodput(measured []leverhistory.Exchange) {
	if len(measured) == 0 {
		return
	}
	first := firstSent(measured)
	for _, x := range measured {
		if at := x.Sent.Sub(first); at < goodputStart || at >= loadDuration {
			continue
		}
		if x.Answer != nil && x.Answer.Coverage.Whole() {
			r.Goodput[x.Rank] += 1 / (loadDuration - goodputStart).Seconds()
		}
	}
}

// TotalGoodput returns the goodput of all ranks, in complete answers per second.
func (r *Result) TotalGoodput() float64 {
	sum := 0.0
	for _, g := range r.Goodput {
		sum += g
	}
	return sum
}

// Line returns the result as one line of a table. Header names its columns.
func (r *Result) Line() string {
	u := &r.Report.Rows[leverid.Urgent]
	notRun, mayHaveRun := 0, 0
	for i := range r.Report.Rows {
		w := &r.Report.Rows[i]
		notRun, mayHaveRun = notRun+w.NotRun, mayHaveRun+w.MayHaveRun
	}
	return fmt.Sprintf("%-17s %-9s %6.1f %6.1f %7.1f %8.3f %7.0f %7.0f %7.0f %6.1f%% %6.1f%% %8d %6d %5d",
		r.Case, r.Policy, ms(u.P50), ms(u.P99), ms(u.P999), 100*coverage(r.Report),
		r.Goodput[0], r.Goodput[1], r.Goodput[2], 100*r.TotalGoodput()/Capacity, 100*r.ExtraRatio(), notRun, mayHaveRun, len(r.Violations))
}

// Header names the columns of Line. p50, p99 and p99.9 are latencies of urgent
// answers in milliseconds. coverage is the mean of all answers in percent. u/s,
// r/s and b/s are complete answers per second by rank, and good is their sum as
// a percentage of Capacity. extra is ExtraRatio in percent.
const Header = "case              policy       p50    p99   p99.9 coverage     u/s     r/s     b/s    good   extra  not-run may-run viol"

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureRecovery sets RecoveryTime from the last request without a complete
// answer.
func (r *Result) measureRecovery(c Case, measured []leverhistory.Exchange) {
	if c.FaultEnd == 0 || len(measured) == 0 {
		return
	}
	first := firstSent(measured)
	for _, x := range measured {
		if x.Answer == nil || !x.Answer.Coverage.Whole() {
			r.RecoveryTime = max(r.RecoveryTime, x.Sent.Sub(first)-c.FaultEnd)
		}
	}
}

// countWasted sets Runs and Wasted. Each covered shard of an answer needed one
// run; the other runs are wasted.
func (r *Result) countWasted(h *leverhistory.History) {
	needed := make(map[leverid.RequestID]int)
	for _, x := range h.Exchanges() {
		if x.Answer != nil {
			needed[x.ID] += x.Answer.Coverage.Covered
		}
	}
	r.Runs = len(h.Runs())
	used := 0
	for _, n := range needed {
		used += n
	}
	r.Wasted = max(r.Runs-used, 0)
}

// ExtraRatio returns the ratio of wasted runs to the runs that answers needed.
func (r *Result) ExtraRatio() float64 {
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
	fmt.Fprintf(&b, "complete answers per second:")
	for i, g := range r.Goodput {
		if g > 0 {
			fmt.Fprintf(&b, " %s %.0f", leverid.Rank(i), g)
		}
	}
	fmt.Fprintf(&b, "\nupstream runs %d, %d wasted (%.1f%% extra); peak connections %.0f%% of the limit, %d refused\n",
		r.Runs, r.Wasted, 100*r.ExtraRatio(), 100*r.PeakConnectionUse, r.Refused)
	fmt.Fprintf(&b, "violations: %d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxViolationsShown {
			break
		}
		fmt.Fprintf(&b, "  %s\n", v)
	}
	return b.String()
}

// maxViolationsShown is the maximum number of violations that Text prints.
const maxViolationsShown = 5
