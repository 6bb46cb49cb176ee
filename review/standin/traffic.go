package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// writeTraffic records each request with its answer and with where it arrived and
// ran, in the order of sending. It returns the arrivals by request.
func (r *run) writeTraffic(sent []exchange, led *ledger) map[string][]arrival {
	byID := make(map[string][]arrival)
	for _, a := range led.all() {
		byID[a.id] = append(byID[a.id], a)
	}
	sent = slices.Clone(sent)
	slices.SortFunc(sent, func(a, b exchange) int { return a.sent.Compare(b.sent) })
	for _, x := range sent {
		var b strings.Builder
		arrivals := byID[x.id]
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		for _, a := range arrivals {
			what := "not run"
			if a.ran {
				what = "RUN"
			}
			fmt.Fprintf(&b, "; %.4f s leaf %s connection %d request %d: %s", a.at.Sub(r.record.start).Seconds(), a.leaf, a.conn, a.seq, what)
		}
		r.record.sayAt(x.sent, "%s %s sent to %s, answered %d after %.1f ms%s", x.id, x.path, x.vm, x.status,
			float64(x.took)/float64(time.Millisecond), b.String())
	}
	return byID
}
