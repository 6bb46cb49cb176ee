package leverbudget_test

import (
	"flag"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed, so that every run gives the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var terms = leverbudget.Terms{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

type moment struct {
	at    time.Time
	extra bool
}

// TestBound: several VMs that count alone keep the fleet's bound in each window,
// whatever their shares of the traffic.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		var budgets [vms]leverbudget.Budget
		for i := range budgets {
			budgets[i].Terms = terms
			budgets[i].SetShare(1.0 / vms)
		}
		now := time.Unix(1000, 0)
		var moments []moment
		for range rapid.IntRange(100, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.Request("s", now)
				moments = append(moments, moment{now, false})
			} else if b.Take("s", leverbudget.Retry, now) {
				moments = append(moments, moment{now, true})
			}
		}
		for i, first := range moments {
			requests, extra := 0, 0
			for _, m := range moments[i:] {
				if m.at.Sub(first.at) > terms.Window {
					break
				}
				if m.extra {
					extra++
				} else {
					requests++
				}
			}
			// Requests of the window before count too; leaving them out is
			// stricter for all but its first moments, which the slack covers.
			if most := terms.Ratio*float64(requests+before(moments, first.at)) + terms.Slack; float64(extra) > most {
				t.Fatalf("%d extra attempts in a window with %d requests, at most %.1f", extra, requests, most)
			}
		}
	})
}

func before(moments []moment, at time.Time) int {
	n := 0
	for _, m := range moments {
		if !m.extra && m.at.Before(at) && at.Sub(m.at) <= terms.Window {
			n++
		}
	}
	return n
}

func TestHedgesLeaveRoomForRetries(t *testing.T) {
	is := is.New(t)
	b := leverbudget.Budget{Terms: terms}
	b.SetShare(1)
	now := time.Unix(1000, 0)
	b.Request("s", now)
	now = now.Add(terms.Window)
	hedges := 0
	for b.Take("s", leverbudget.Hedge, now) {
		hedges++
	}
	is.True(hedges > 0)
	is.True(b.Take("s", leverbudget.Retry, now))
	is.True(b.Take("t", leverbudget.Hedge, now)) // services don't share
}

// TestStart: a process that has just started does not spend the slack that the
// one before it may have spent.
func TestStart(t *testing.T) {
	is := is.New(t)
	b := leverbudget.Budget{Terms: terms}
	b.SetShare(1)
	is.True(!b.Take("s", leverbudget.Retry, time.Unix(1000, 0)))
}
