package leverexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Summary counts the logged ends of requests by cause, and state changes of
// upstreams, peers and the store, over a period. The zero value is ready to use.
type Summary struct {
	// From and To delimit the period, inclusively. A zero time means no limit.
	From, To time.Time

	causes     map[string]int
	changes    map[string]int
	first      time.Time
	last       time.Time
	suppressed int
}

// Add counts l if it is within the period.
func (s *Summary) Add(l *Line) {
	if !s.From.IsZero() && l.Time.Before(s.From) || !s.To.IsZero() && l.Time.After(s.To) {
		return
	}
	if s.causes == nil {
		s.causes = make(map[string]int)
		s.changes = make(map[string]int)
		s.first = l.Time
	}
	s.last = l.Time
	// A missing field means that no line was suppressed.
	n, _ := strconv.Atoi(l.Fields["left-out"])
	s.suppressed += n
	if isEnd(l) {
		s.causes[causeKey(l)]++
		return
	}
	switch l.Message {
	case "an upstream is believed anew":
		s.changes[l.Fields["belief"]+" after "+l.Fields["after"]]++
	case "the store is lost", "the store is back", "a configuration is in force", "a peer is down":
		s.changes[l.Message]++
	}
}

// causeKey returns the rank, outcome and reason of an ended request, separated
// by tabs. Addresses, times and ids are cut off the reason, so that requests
// with the same cause have the same key. The organisation of a refused request is part of
// it.
func causeKey(l *Line) string {
	verdict := l.Fields["verdict"]
	switch {
	case verdict == "merged" && l.Fields["missing"] != "0":
		verdict = "partial"
	case l.Duration("took") > l.Duration("objective") && (verdict == "merged" || verdict == "passed"):
		verdict = "late answer"
	case verdict == "merged" || verdict == "passed":
		verdict = "answered with extra attempts"
	}
	reason := l.Fields["reason"]
	for _, separator := range []string{" at ", " by ", " for "} {
		reason, _, _ = strings.Cut(reason, separator)
	}
	if o := l.Fields["organisation"]; o != "" && (verdict == "over-allowance" || verdict == "not-run") {
		reason += ", organisation " + o
	}
	return strings.Join([]string{l.Fields["rank"], verdict, reason}, "\t")
}

// Write prints the counts in descending order.
func (s *Summary) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s to %s\n\n", s.first.UTC().Format(time.RFC3339), s.last.UTC().Format(time.RFC3339))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "requests\trank\tend\treason")
	writeCounts(t, s.causes)
	fmt.Fprintln(t, "\t\t\t")
	fmt.Fprintln(t, "times\tnews\t\t")
	writeCounts(t, s.changes)
	if err := t.Flush(); err != nil {
		return err
	}
	if s.suppressed > 0 {
		fmt.Fprintf(w, "\n%d lines were suppressed by the rate limit of the logs: the counts are too low\n", s.suppressed)
	}
	return nil
}

func writeCounts(w io.Writer, counts map[string]int) {
	var keys []string
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, key := range keys {
		fmt.Fprintf(w, "%d\t%s\n", counts[key], key)
	}
}
