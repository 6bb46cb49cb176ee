// Package leverreport turns recorded exchanges into tables: latency by rank,
// coverage, refusals by run state and attempts.
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
	lowest  = 1             // microseconds
	highest = 10 * 60 * 1e6 // microseconds
	digits  = 3
)

// Row is what one rank got. Times are of answers only.
type Row struct {
	Rank       string        `json:"rank"`
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
	// Coverage is the mean part of the shards that answers cover.
	Coverage float64 `json:"coverage"`

	hist     *hdrhistogram.Histogram
	coverage float64
}

// Report has a row for each rank.
type Report struct {
	Rows [leverid.RankCount]Row `json:"rows"`
	// Needed and Attempts are over answered queries.
	Needed   int `json:"needed"`
	Attempts int `json:"attempts"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reasons"`
}

// Extra returns the attempts beyond the needed ones, as a part of these.
func (r *Report) Extra() float64 {
	if r.Needed == 0 {
		return 0
	}
	return float64(r.Attempts)/float64(r.Needed) - 1
}

// Of sums up exchanges.
func Of(exchanges []leverhistory.Exchange) *Report {
	r := &Report{Reasons: make(map[string]int)}
	for i := range r.Rows {
		r.Rows[i].Rank = leverid.Rank(i).String()
		r.Rows[i].hist = hdrhistogram.New(lowest, highest, digits)
	}
	for i := range exchanges {
		r.add(&exchanges[i])
	}
	for i := range r.Rows {
		r.Rows[i].finish()
	}
	return r
}

func (r *Report) add(x *leverhistory.Exchange) {
	row := &r.Rows[x.Rank]
	row.Sent++
	switch {
	case x.Answer != nil:
		row.answer(x)
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

func (w *Row) answer(x *leverhistory.Exchange) {
	w.Answered++
	c := x.Answer.Coverage
	if c.Whole() {
		w.Whole++
	}
	w.coverage += float64(c.Covered) / float64(max(c.Total, 1))
	w.Longest = max(w.Longest, x.Took)
	// A time beyond the histogram counts as its highest.
	_ = w.hist.RecordValue(min(max(x.Took.Microseconds(), lowest), highest))
}

func (w *Row) finish() {
	at := func(q float64) time.Duration { return time.Duration(w.hist.ValueAtQuantile(q)) * time.Microsecond }
	w.P50, w.P99, w.P999 = at(50), at(99), at(99.9)
	if w.Answered > 0 {
		w.Coverage = w.coverage / float64(w.Answered)
	}
}

// Text returns the report as a table.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %7s %7s %7s %8s %8s %5s %9s %9s %9s %9s %9s\n", "rank", "sent", "answer", "whole",
		"not-run", "may-run", "cut", "p50", "p99", "p99.9", "longest", "coverage")
	for _, w := range r.Rows {
		if w.Sent == 0 {
			continue
		}
		fmt.Fprintf(&b, "%-8s %7d %7d %7d %8d %8d %5d %9s %9s %9s %9s %8.3f%%\n", w.Rank, w.Sent, w.Answered, w.Whole,
			w.NotRun, w.MayHaveRun, w.Cut, short(w.P50), short(w.P99), short(w.P999), short(w.Longest), 100*w.Coverage)
	}
	fmt.Fprintf(&b, "attempts %d for %d shards needed: extra %.1f%%\n", r.Attempts, r.Needed, 100*r.Extra())
	for _, reason := range sortedKeys(r.Reasons) {
		fmt.Fprintf(&b, "refused %s: %d\n", reason, r.Reasons[reason])
	}
	return b.String()
}

func short(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
