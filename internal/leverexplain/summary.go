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

// Summary counts the ends of requests by cause over a stretch of time. The zero
// value is ready to use.
type Summary struct {
	// From and To bound the stretch; a zero time does not bound it.
	From, To time.Time

	causes  map[string]int
	beliefs map[string]int
	first   time.Time
	last    time.Time
	leftOut int
}

// Add takes in one line.
func (s *Summary) Add(l *Line) {
	if !s.From.IsZero() && l.Time.Before(s.From) || !s.To.IsZero() && l.Time.After(s.To) {
		return
	}
	if s.causes == nil {
		s.causes = make(map[string]int)
		s.beliefs = make(map[string]int)
		s.first = l.Time
	}
	s.last = l.Time
	// A field that is missing counts as none left out.
	n, _ := strconv.Atoi(l.Fields["left-out"])
	s.leftOut += n
	switch l.Sentence {
	case "a request ended", "a request can't be routed":
		s.causes[key(l)]++
	case "an upstream is believed anew":
		s.beliefs[l.Fields["belief"]+" after "+l.Fields["after"]]++
	case "the store is lost", "the store is back", "a configuration is in force", "a peer is down":
		s.beliefs[l.Sentence]++
	}
}

// key names a cause without the names in it.
func key(l *Line) string {
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
	for _, cut := range []string{" at ", " by ", " for "} {
		reason, _, _ = strings.Cut(reason, cut)
	}
	return strings.Join([]string{l.Fields["rank"], verdict, reason}, "\t")
}

// Write prints the counts, the greatest first.
func (s *Summary) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s to %s\n\n", s.first.UTC().Format(time.RFC3339), s.last.UTC().Format(time.RFC3339))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "requests\trank\tend\treason")
	table(t, s.causes)
	fmt.Fprintln(t, "\t\t\t")
	fmt.Fprintln(t, "times\tnews\t\t")
	table(t, s.beliefs)
	if err := t.Flush(); err != nil {
		return err
	}
	if s.leftOut > 0 {
		fmt.Fprintf(w, "\n%d lines were left out by the logs' bound: the counts are too small\n", s.leftOut)
	}
	return nil
}

func table(w io.Writer, counts map[string]int) {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, name := range names {
		fmt.Fprintf(w, "%d\t%s\n", counts[name], name)
	}
}
