// Package leverreport summarizes recorded exchanges in a table: latency,
// coverage and refusals by rank, and the number of attempts.
package leverreport

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the range of the histograms in microseconds.
	minMicros         = 1
	maxMicros         = 10 * 60 * 1e6
	significantDigits = 3
)

// Row is the summary of one rank. The latencies are those of answers only.
type Row struct {
	Rank string `json:"rank"`
	// Sent is the number of exchanges. Whole is the number of answers that cover
	// every shard, NotRun and MayHaveRun are the refusals by run state, and Cut
	// is the number of exchanges that ended without an answer or a refusal.
	Sent       int           `json:"sent"`
	Answered   int           `json:"answered"`
	Whole      int           `json:"whole"`
	NotRun     int           `json:"refused-not-run"`
	MayHaveRun int           `json:"refused-may-have-run"`
	Cut        int           `json:"cut"`
	P50        time.Duration `json:"p50-ns"`
	P99        time.Duration `json:"p99-ns"`
	P999       time.Duration `json:"p999-ns"`
	Longest    time.Duration `json:"longest-ns"`
	// Coverage is the mean fraction of the shards that the answers cover, from
	// 0 to 1.
	Coverage float64 `json:"coverage"`

	hist        *hdrhistogram.Histogram
	coverageSum float64 // sum of the answers' coverage fractions
}

// Report summarizes exchanges by rank.
type Report struct {
	Rows [leverid.RankCount]Row `json:"rows"`
	// Needed is the number of shards that the answered queries needed, Attempts
	// the number of attempts made for them.
	Needed   int `json:"needed"`
	Attempts int `json:"attempts"`
	// Reasons holds the number of refusals by reason.
	Reasons map[string]int `json:"reasons"`
}

// ExtraRatio returns the attempts beyond one per needed shard, as a fraction of
// the needed shards.
func (r *Report) ExtraRatio() float64 {
	if r.Needed == 0 {
		return 0
	}
	return float64(r.Attempts)/float64(r.Needed) - 1
}

// Summarize returns the report on the given exchanges.
func Summarize(exchanges []leverhistory.Exchange) *Report {
	r := &Report{Reasons: make(map[string]int)}
	for i := range r.Rows {
		r.Rows[i].Rank = leverid.Rank(i).String()
		r.Rows[i].hist = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	for i := range exchanges {
		r.add(&exchanges[i])
	}
	for i := range r.Rows {
		r.Rows[i].summarize()
	}
	return r
}

func (r *Report) add(x *leverhistory.Exchange) {
	row := &r.Rows[x.Rank]
	row.Sent++
	switch {
	case x.Answer != nil:
		row.addAnswer(x)
		r.Needed += x.Answer.Coverage.Total
		r.Attempts += x.Answer.Attempts
	case x.Problem != nil && x.Problem.RunState == leverapi.NotRun:
		row.NotRun++
		r.Reasons[x.Problem.Reason()]++
	case x.Problem != nil:
		row.MayHaveRun++
		r.Reasons[x.Problem.Reason()]++
	default:
		row.Cut++
	}
}

func (r *Row) addAnswer(x *leverhistory.Exchange) {
	r.Answered++
	c := x.Answer.Coverage
	if c.Whole() {
		r.Whole++
	}
	r.coverageSum += float64(c.Covered) / float64(max(c.Total, 1))
	r.Longest = max(r.Longest, x.Took)
	// Times above the histogram's range count as its maximum.
	_ = r.hist.RecordValue(min(max(x.Took.Microseconds(), minMicros), maxMicros))
}

func (r *Row) summarize() {
	quantile := func(q float64) time.Duration { return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond }
	r.P50, r.P99, r.P999 = quantile(50), quantile(99), quantile(99.9)
	if r.Answered > 0 {
		r.Coverage = r.coverageSum / float64(r.Answered)
	}
}

// Text returns the report as a table.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %7s %7s %7s %8s %8s %5s %9s %9s %9s %9s %9s\n", "rank", "sent", "answer", "whole",
		"not-run", "may-run", "cut", "p50", "p99", "p99.9", "longest", "coverage")
	for _, row := range r.Rows {
		if row.Sent == 0 {
			continue
		}
		fmt.Fprintf(&b, "%-8s %7d %7d %7d %8d %8d %5d %9s %9s %9s %9s %8.3f%%\n", row.Rank, row.Sent, row.Answered, row.Whole,
			row.NotRun, row.MayHaveRun, row.Cut, formatMillis(row.P50), formatMillis(row.P99), formatMillis(row.P999), formatMillis(row.Longest), 100*row.Coverage)
	}
	fmt.Fprintf(&b, "attempts %d for %d shards needed: extra %.1f%%\n", r.Attempts, r.Needed, 100*r.ExtraRatio())
	for _, reason := range sortedKeys(r.Reasons) {
		fmt.Fprintf(&b, "refused %s: %d\n", reason, r.Reasons[reason])
	}
	return b.String()
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
