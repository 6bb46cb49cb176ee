package main

import (
	"fmt"
	"html"
	"os"
	"slices"
	"strings"
	"time"

	"arbutuslever.dev/lever/pkg/leverapi"
)

type vmList struct{ cli }

// Execute prints the VMs.
func (c *vmList) Execute([]string) error {
	var vms []leverapi.VM
	if err := c.get("vms", &vms); err != nil {
		return err
	}
	if c.printJSON(vms) {
		return nil
	}
	for _, vm := range vms {
		c.printf("%-12s %-12s %-8s %-18s %s\n", vm.ID, vm.Domain, vm.State, vm.Seen, vm.Caller)
	}
	return nil
}

type services struct{ cli }

// rankTotals is the sum of the counters of one rank over all VMs.
type rankTotals struct {
	Rank     string `json:"rank"`
	Queries  int64  `json:"queries"`
	Answered int64  `json:"answered"`
	Refused  int64  `json:"refused"`
}

// fleetTotals is the sum of the counters of all VMs.
type fleetTotals struct {
	Ranks    []rankTotals `json:"ranks"`
	Needed   int64        `json:"shards-needed"`
	Covered  int64        `json:"shards-covered"`
	Attempts int64        `json:"attempts"`
	Hedges   int64        `json:"hedges"`
	Retries  int64        `json:"retries"`
	InFlight int          `json:"in-flight"`
	Silent   []string     `json:"silent"`
}

// Execute prints the answered and refused queries by rank, and the totals.
func (c *services) Execute([]string) error {
	var s leverapi.FleetStatus
	if err := c.get("status?counters", &s); err != nil {
		return err
	}
	totals := aggregate(&s)
	if c.printJSON(totals) {
		return nil
	}
	c.printf("%-8s %10s %10s %10s\n", "rank", "queries", "answered", "refused")
	for _, r := range totals.Ranks {
		c.printf("%-8s %10d %10d %10d\n", r.Rank, r.Queries, r.Answered, r.Refused)
	}
	c.printf("shards covered %d of %d needed; attempts %d, hedges %d, retries %d\n",
		totals.Covered, totals.Needed, totals.Attempts, totals.Hedges, totals.Retries)
	c.printf("in flight: %d\n", totals.InFlight)
	if len(totals.Silent) > 0 {
		c.printf("no answer: %s\n", strings.Join(totals.Silent, ", "))
	}
	return nil
}

func aggregate(s *leverapi.FleetStatus) fleetTotals {
	totals := fleetTotals{Silent: s.Silent}
	sum := func(name string) (n int64) {
		for _, vm := range s.VMs {
			n += vm.Counters[name]
		}
		return n
	}
	for _, rank := range []string{"urgent", "routine", "bulk"} {
		totals.Ranks = append(totals.Ranks, rankTotals{rank, sum("queries-" + rank), sum("answered-" + rank), sum("refused-" + rank)})
	}
	totals.Needed, totals.Covered, totals.Attempts = sum("shards-needed"), sum("shards-covered"), sum("attempts")
	totals.Hedges, totals.Retries = sum("hedges"), sum("retries")
	for _, vm := range s.VMs {
		totals.InFlight += vm.InFlight
	}
	return totals
}

type timeline struct {
	cli
	Since time.Duration `long:"since" description:"only events of the past period of this length, like 10m"`
	HTML  string        `long:"html" value-name:"FILE" description:"write the events to FILE as a self-contained HTML page"`
}

// Execute collects the events of all VMs and prints them in order.
func (c *timeline) Execute([]string) error {
	events, silent := c.collect()
	if len(events) == 0 && len(silent) > 0 {
		return exitErrorf(exitUnavailable, "no VM answers")
	}
	if c.HTML != "" {
		return os.WriteFile(c.HTML, []byte(timelinePage(events)), 0o644)
	}
	if c.printJSON(events) {
		return nil
	}
	for _, e := range events {
		at := time.UnixMicro(e.Stamp).UTC().Format("15:04:05.000000")
		c.printf("%s  %-8s %-18s %s\n", at, e.VM, e.Kind, strings.TrimSpace(e.Subject+" "+e.Detail))
	}
	for _, vm := range silent {
		c.printf("no answer: %s\n", vm)
	}
	return nil
}

// collect requests the events of the given VMs and of all VMs that they list,
// and sorts them by stamp. It also returns the addresses that did not answer.
func (c *timeline) collect() (events []leverapi.Event, silent []string) {
	addresses := slices.Clone(c.addresses())
	var vms []leverapi.VM
	if err := c.get("vms", &vms); err == nil {
		for _, vm := range vms {
			if !slices.Contains(addresses, vm.Caller) {
				addresses = append(addresses, vm.Caller)
			}
		}
	}
	path := "events"
	if c.Since > 0 {
		path = fmt.Sprintf("events?after=%d", time.Now().Add(-c.Since).UnixMicro())
	}
	for _, a := range addresses {
		client := c.withAddress(a)
		var received []leverapi.Event
		if err := client.get(path, &received); err != nil {
			silent = append(silent, a)
			continue
		}
		events = append(events, received...)
	}
	slices.SortStableFunc(events, func(a, b leverapi.Event) int {
		if a.Stamp != b.Stamp {
			return int(max(min(a.Stamp-b.Stamp, 1), -1))
		}
		return strings.Compare(a.VM, b.VM)
	})
	return events, silent
}

// timelinePage returns an HTML table of the events with one column per VM.
func timelinePage(events []leverapi.Event) string {
	var vms []string
	for _, e := range events {
		if !slices.Contains(vms, e.VM) {
			vms = append(vms, e.VM)
		}
	}
	slices.Sort(vms)
	var b strings.Builder
	b.WriteString("<!doctype html><meta charset=utf-8><title>Timeline</title><style>" +
		"body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}td,th{border:1px solid #ccc;" +
		"padding:2px 6px;text-align:left;vertical-align:top}tr:nth-child(even){background:#f6f6f6}</style><table><tr><th>time")
	for _, vm := range vms {
		b.WriteString("<th>" + html.EscapeString(vm))
	}
	for _, e := range events {
		b.WriteString("<tr><td>" + time.UnixMicro(e.Stamp).UTC().Format("15:04:05.000000"))
		for _, vm := range vms {
			b.WriteString("<td>")
			if vm == e.VM {
				b.WriteString("<b>" + html.EscapeString(e.Kind) + "</b> " + html.EscapeString(e.Subject+" "+e.Detail))
			}
		}
	}
	b.WriteString("</table>\n")
	return b.String()
}
