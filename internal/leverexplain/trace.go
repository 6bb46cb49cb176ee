package leverexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Trace collects the log lines of one request.
type Trace struct {
	ID    string
	lines []*Line
}

// Add records l if it is about the request.
func (t *Trace) Add(l *Line) {
	if l.Fields["id"] == t.ID {
		t.lines = append(t.lines, l)
	}
}

// Found reports whether any line was recorded.
func (t *Trace) Found() bool { return len(t.lines) > 0 }

const (
	// barWidth is the width in characters of the chart of failed attempts.
	barWidth = 40
	// lineWidth is the maximum length in bytes of a printed line.
	lineWidth = 220
)

// omittedFields are the fields that the timeline shows in columns of their own,
// or that are the same on all lines.
var omittedFields = []string{"time", "vm", "level", "msg", "id"}

// Write prints the request's timeline, the failed attempts and the likely cause
// of its end. At least one line must have been recorded.
func (t *Trace) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n\n", t.ID)
	first := t.lines[0].Time
	for _, l := range t.lines {
		text := fmt.Sprintf("%+9.1f ms  %-18s %s: %s", l.Time.Sub(first).Seconds()*1000, l.VM, l.Component, l.Message)
		for _, name := range sortedKeys(l.Fields) {
			if !slices.Contains(omittedFields, name) {
				text += " " + name + "=" + l.Fields[name]
			}
		}
		fmt.Fprintln(&b, text[:min(len(text), lineWidth)])
	}
	t.writeBars(&b)
	fmt.Fprintf(&b, "\nlikely cause: %s\n", t.Cause())
	_, err := io.WriteString(w, b.String())
	return err
}

func sortedKeys(m map[string]string) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// writeBars draws the failed attempts as bars on a common time axis.
func (t *Trace) writeBars(b *strings.Builder) {
	var attempts []*Line
	longest := time.Duration(1)
	for _, l := range t.lines {
		if l.Message != "an attempt failed" {
			continue
		}
		attempts = append(attempts, l)
		longest = max(longest, l.Duration("began")+l.Duration("took"))
	}
	if len(attempts) == 0 {
		return
	}
	fmt.Fprintf(b, "\nattempts that failed, over %s:\n", longest)
	slices.SortStableFunc(attempts, func(a, b *Line) int { return cmp.Compare(a.Duration("began"), b.Duration("began")) })
	for _, l := range attempts {
		start := int(l.Duration("began") * barWidth / longest)
		length := max(int(l.Duration("took")*barWidth/longest), 1)
		bar := strings.Repeat(" ", start) + strings.Repeat("=", length)
		fmt.Fprintf(b, "  part %-4s %-*s %s %s\n", l.Fields["part"], barWidth+1, bar, l.Fields["upstream"], l.Fields["result"])
	}
}

// Cause describes in one sentence why the request ended as it did.
func (t *Trace) Cause() string {
	var end *Line
	for _, l := range t.lines {
		if isEnd(l) {
			end = l
		}
	}
	if end == nil {
		return "the logs contain no end of this request: it succeeded, or the VM that handled it failed"
	}
	return cause(end, t.results())
}

// isEnd reports whether a line says how a request ended.
func isEnd(l *Line) bool {
	switch l.Message {
	case "a request ended", "a request can't be routed", "a request exceeds an allowance":
		return true
	}
	return false
}

// results counts the failed attempts by result.
func (t *Trace) results() map[string]int {
	out := make(map[string]int)
	for _, l := range t.lines {
		if l.Message == "an attempt failed" {
			out[l.Fields["result"]]++
		}
	}
	return out
}

func cause(end *Line, results map[string]int) string {
	reason := end.Fields["reason"]
	switch end.Fields["verdict"] {
	case "not-ready":
		return "the VM had no current configuration or list of upstreams (" + reason + "); see its log lines about the store"
	case "no-route":
		return "configuration " + end.Fields["config"] + " has no route for it"
	case "unauthorized":
		return "no organisation of configuration " + end.Fields["config"] + " has the caller's key: it is missing, unknown or revoked"
	case "over-allowance":
		return "organisation " + end.Fields["organisation"] + " has used up its allowance: " + reason + "; there is capacity after " + end.Fields["retry-after"]
	case "not-run":
		return "it was refused before it ran: " + reason
	case "may-have-run":
		return "no answer was received: " + reason + "; " + formatResults(results)
	case "late":
		return "time ran out: " + reason + "; " + formatResults(results)
	case "left":
		return "the caller disconnected"
	}
	if end.Fields["missing"] != "0" && end.Fields["missing"] != "" {
		return fmt.Sprintf("answered without %s of %s parts (%s); %s", end.Fields["missing"], end.Fields["parts"], end.Fields["open"], formatResults(results))
	}
	if end.Duration("took") > end.Duration("objective") {
		return "answered in full but late; " + formatResults(results)
	}
	return "answered, with " + end.Fields["hedged"] + " hedges and " + end.Fields["retried"] + " retries; " + formatResults(results)
}

func formatResults(results map[string]int) string {
	if len(results) == 0 {
		return "no attempt failed: upstreams were slow"
	}
	names := make(map[string]string, len(results))
	for r, n := range results {
		names[r] = fmt.Sprintf("%d %s", n, r)
	}
	var out []string
	for _, r := range sortedKeys(names) {
		out = append(out, names[r])
	}
	return "attempts failed: " + strings.Join(out, ", ")
}
