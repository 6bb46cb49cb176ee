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

type vmList struct{ shell }

// Execute prints the VMs.
func (c *vmList) Execute([]string) error {
	var vms []leverapi.VM
	if err := c.get("vms", &vms); err != nil {
		return err
	}
	if c.show(vms) {
		return nil
	}
	for _, vm := range vms {
		c.printf("%-12s %-12s %-8s %-18s %s\n", vm.ID, vm.Domain, vm.State, vm.Seen, vm.Caller)
	}
	return nil
}

type services struct{ shell }

// rankRow sums up one rank over all VMs.
type rankRow struct {
	Rank     string `json:"rank"`
	Queries  int64  `json:"queries"`
	Answered int64  `json:"answered"`
	Refused  int64  `json:"refused"`
}

// fleetRow sums up all VMs.
type fleetRow struct {
	Ranks    []rankRow `json:"ranks"`
	Needed   int64     `json:"shards-needed"`
	Covered  int64     `json:"shards-covered"`
	Attempts int64     `json:"attempts"`
	Hedges   int64     `json:"hedges"`
	Retries  int64     `json:"retries"`
	InFlight int       `json:"in-flight"`
	Silent   []string  `json:"silent"`
}

// Execute prints what is served and refused by rank.
func (c *services) Execute([]string) error {
	var s leverapi.FleetStatus
	if err := c.get("status?counters", &s); err != nil {
		return err
	}
	row := sumUp(&s)
	if c.show(row) {
		return nil
	}
	c.printf("%-8s %10s %10s %10s\n", "rank", "queries", "answered", "refused")
	for _, r := range row.Ranks {
		c.printf("%-8s %10d %10d %10d\n", r.Rank, r.Queries, r.Answered, r.Refused)
	}
	c.printf("shards covered %d of %d needed; attempts %d, hedges %d, retries %d\n",
		row.Covered, row.Needed, row.Attempts, row.Hedges, row.Retries)
	c.printf("in flight: %d\n", row.InFlight)
	if len(row.Silent) > 0 {
		c.printf("no answer: %s\n", strings.Join(row.Silent, ", "))
	}
	return nil
}

func sumUp(s *leverapi.FleetStatus) fleetRow {
	row := fleetRow{Silent: s.Silent}
	sum := func(name string) (n int64) {
		for _, vm := range s.VMs {
			n += vm.Counters[name]
		}
		return n
	}
	for _, rank := range []string{"urgent", "routine", "bulk"} {
		row.Ranks = append(row.Ranks, rankRow{rank, sum("queries-" + rank), sum("answered-" + rank), sum("refused-" + rank)})
	}
	row.Needed, row.Covered, row.Attempts = sum("shards-needed"), sum("shards-covered"), sum("attempts")
	row.Hedges, row.Retries = sum("hedges"), sum("retries")
	for _, vm := range s.VMs {
		row.InFlight += vm.InFlight
	}
	return row
}

type timeline struct {
	shell
	Since time.Duration `long:"since" description:"only events of so long ago, like 10m"`
	HTML  string        `long:"html" value-name:"FILE" description:"write one self-contained HTML page"`
}

// Execute gathers the events of all VMs and prints them in one order.
func (c *timeline) Execute([]string) error {
	events, silent := c.gather()
	if len(events) == 0 && len(silent) > 0 {
		return exitWith(exitUnavailable, "no VM answers")
	}
	if c.HTML != "" {
		return os.WriteFile(c.HTML, []byte(timelinePage(events)), 0o644)
	}
	if c.show(events) {
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

// gather asks every VM that one of the given VMs knows.
func (c *timeline) gather() (events []leverapi.Event, silent []string) {
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
		one := c.at(a)
		var more []leverapi.Event
		if err := one.get(path, &more); err != nil {
			silent = append(silent, a)
			continue
		}
		events = append(events, more...)
	}
	slices.SortStableFunc(events, func(a, b leverapi.Event) int {
		if a.Stamp != b.Stamp {
			return int(max(min(a.Stamp-b.Stamp, 1), -1))
		}
		return strings.Compare(a.VM, b.VM)
	})
	return events, silent
}

// timelinePage draws one lane for each VM.
func timelinePage(events []leverapi.Event) string {
	var lanes []string
	for _, e := range events {
		if !slices.Contains(lanes, e.VM) {
			lanes = append(lanes, e.VM)
		}
	}
	slices.Sort(lanes)
	var b strings.Builder
	b.WriteString("<!doctype html><meta charset=utf-8><title>Time line</title><style>" +
		"body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}td,th{border:1px solid #ccc;" +
		"padding:2px 6px;text-align:left;vertical-align:top}tr:nth-child(even){background:#f6f6f6}</style><table><tr><th>time")
	for _, l := range lanes {
		b.WriteString("<th>" + html.EscapeString(l))
	}
	for _, e := range events {
		b.WriteString("<tr><td>" + time.UnixMicro(e.Stamp).UTC().Format("15:04:05.000000"))
		for _, l := range lanes {
			b.WriteString("<td>")
			if l == e.VM {
				b.WriteString("<b>" + html.EscapeString(e.Kind) + "</b> " + html.EscapeString(e.Subject+" "+e.Detail))
			}
		}
	}
	b.WriteString("</table>\n")
	return b.String()
}
