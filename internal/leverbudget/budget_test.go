package leverbudget_test

import (
	"flag"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed, so that every run tests the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var terms = leverbudget.Terms{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

type event struct {
	at    time.Time
	extra bool
}

// TestBound checks that VMs that do not coordinate stay within the fleet's limit
// in every window, however the traffic is distributed over them.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		var budgets [vms]leverbudget.Budget
		for i := range budgets {
			budgets[i].Terms = terms
			budgets[i].SetShare(1.0/vms, time.Unix(1000, 0))
		}
		now := time.Unix(1000, 0)
		var events []event
		for range rapid.IntRange(100, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.CountRequest("s", now)
				events = append(events, event{now, false})
			} else if b.Take("s", leverbudget.Retry, now) {
				events = append(events, event{now, true})
			}
		}
		for i, first := range events {
			requests, extra := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(first.at) > terms.Window {
					break
				}
				if e.extra {
					extra++
				} else {
					requests++
				}
			}
			// Requests of the preceding window count too. Leaving them out would
			// be stricter for all but the start of the window, which the slack
			// covers.
			if limit := terms.Ratio*float64(requests+requestsBefore(events, first.at)) + terms.Slack; float64(extra) > limit {
				t.Fatalf("%d extra attempts in a window with %d requests, want at most %.1f", extra, requests, limit)
			}
		}
	})
}

func requestsBefore(events []event, at time.Time) int {
	n := 0
	for _, e := range events {
		if !e.extra && e.at.Before(at) && at.Sub(e.at) <= terms.Window {
			n++
		}
	}
	return n
}

func TestHedgesLeaveRoomForRetries(t *testing.T) {
	is := is.New(t)
	b := leverbudget.Budget{Terms: terms}
	now := time.Unix(1000, 0)
	b.SetShare(1, now)
	b.CountRequest("s", now)
	now = now.Add(terms.Window)
	hedges := 0
	for b.Take("s", leverbudget.Hedge, now) {
		hedges++
	}
	is.True(hedges > 0)
	is.True(b.Take("s", leverbudget.Retry, now))
	is.True(b.Take("t", leverbudget.Hedge, now)) // services don't share
}

// TestStartWithoutSlack checks that a process that has just started does not use
// slack that the previous process may have used already.
func TestStartWithoutSlack(t *testing.T) {
	is := is.New(t)
	b := leverbudget.Budget{Terms: terms}
	b.SetShare(1, time.Unix(1000, 0))
	is.True(!b.Take("s", leverbudget.Retry, time.Unix(1000, 0)))
}

// TestUnsentAttemptIsNoExtra takes all extra attempts, and returns one. Just one more
// is allowed then, as long as the window holds the one that was returned.
func TestUnsentAttemptIsNoExtra(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		again int
	}{
		"at once":            {0, 1},
		"in a later bucket":  {3 * time.Second, 1},
		"out of the window":  {11 * time.Second, 8},
		"twice that much on": {22 * time.Second, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(time.Minute)
			b := leverbudget.Budget{Terms: leverbudget.Terms{Slack: 10, Window: 10 * time.Second}}
			b.SetStart(start)
			b.SetShare(1, start)
			count := func(now time.Time) (n int) {
				for b.Take("s", leverbudget.Retry, now) {
					n++
				}
				return n
			}
			is.Equal(count(now), 8)
			later := now.Add(c.after)
			b.Return("s", now, later)
			is.Equal(count(later), c.again)
		})
	}
}

// TestHedgesUsed checks that the fraction reaches 1 with the last hedge that is allowed,
// so that it can serve as the price of a hedge.
func TestHedgesUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &leverbudget.Budget{Terms: leverbudget.Terms{Ratio: 0.2, Window: 10 * time.Second}}
	is.Equal(b.HedgesUsed("s", now), 1.0)
	for range 1000 {
		b.CountRequest("s", now)
	}
	last := 0.0
	for b.Take("s", leverbudget.Hedge, now) {
		used := b.HedgesUsed("s", now)
		is.True(used > last)
		last = used
	}
	is.True(last > 0.95)
	is.Equal(b.HedgesUsed("s", now.Add(time.Minute)), 1.0)
}

// TestNoWindow guards against a division by zero with settings that state no window: there
// are no extra attempts then.
func TestNoWindow(t *testing.T) {
	is := is.New(t)
	b := leverbudget.Budget{Terms: leverbudget.Terms{Ratio: 0.2, Slack: 50}}
	now := time.Unix(1000, 0)
	b.SetShare(1, now)
	b.CountRequest("s", now)
	is.True(!b.Take("s", leverbudget.Retry, now.Add(time.Minute)))
	b.Return("s", now, now.Add(time.Minute))
}
