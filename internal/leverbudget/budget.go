// Package leverbudget limits the retries and hedges of a fleet. In each sliding
// window, a service may receive extra attempts up to a ratio of its requests
// plus a fixed slack. The VMs do not coordinate: each applies the ratio to its
// own requests and uses only its share of the slack, so that their sum stays
// within the limit. It does no I/O.
package leverbudget

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// buckets is the number of buckets per window. One more is kept, so that any
	// span of the window's length is covered completely.
	buckets = 20
	// usableFraction is the fraction of the ratio that is used.
	usableFraction = 0.85
	// slackFraction is the fraction of its share of the slack that a VM may use.
	slackFraction = 0.82
	// startFraction is the one in the first window of a process. Together with
	// slackFraction it stays below 1, because VMs that start together may know
	// different lists.
	startFraction = 0.11
	// startDelay is how long a process has no slack at all after its share was first
	// set. Then it knows most of the VMs that started with it.
	startDelay = time.Second
	// hedgeFraction is the fraction of the budget below which all extra attempts
	// together must stay for a hedge to be allowed. Retries after a failure may
	// use the complete budget.
	hedgeFraction = 0.75
)

// Use is the purpose of an extra attempt.
type Use uint8

// The uses of extra attempts.
const (
	// Retry replaces an attempt that failed.
	Retry Use = iota
	// Hedge runs in parallel to an attempt that is slow.
	Hedge
)

// Terms are the limits of the whole fleet.
type Terms struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts allowed in addition per window.
	Slack float64
	// Window is the length of the sliding window. If it is 0, there are no extra
	// attempts.
	Window time.Duration
}

// Budget holds the windows of all services. Terms and Lease must be set before
// the first use. It is safe for concurrent use.
type Budget struct {
	Terms Terms
	// Lease is how long a share is valid after it was set, and the maximum time in
	// which all VMs that set their shares learn of a change of the fleet. If it is
	// 0, a share is valid until the next one is set.
	Lease time.Duration

	mu      sync.Mutex
	shares  shares
	start   time.Time
	windows map[leverid.ServiceID]*window
}

type window struct {
	requests, extras [buckets + 1]float64
	last             int64
}

// SetStart sets the start time of the process. Without it, that is the time of the
// first use.
func (b *Budget) SetStart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = now
}

// SetShare sets the fraction of the slack that this VM may use, and renews its
// lease.
func (b *Budget) SetShare(fraction float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares.set(fraction, now, b.Lease, b.Terms.Window)
}

// SetFounding sets whether this VM has started together with its whole fleet, so that
// no process can have used slack before.
func (b *Budget) SetFounding(founding bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares.founding = founding
}

// SetTerms changes the limits. A change of the window length clears all counts.
func (b *Budget) SetTerms(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Window != b.Terms.Window {
		b.windows = nil
	}
	b.Terms = t
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(s leverid.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Terms.Window < buckets {
		return
	}
	w, i := b.bucket(s, now)
	w.requests[i]++
}

// Take reports whether an extra attempt is allowed, and counts it if so.
func (b *Budget) Take(s leverid.ServiceID, use Use, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Terms.Window < buckets {
		return false
	}
	w, i := b.bucket(s, now)
	limit := b.Terms.Ratio*usableFraction*sum(&w.requests) + b.slack(now)
	if use == Hedge {
		limit *= hedgeFraction
	}
	if sum(&w.extras)+1 > limit {
		return false
	}
	w.extras[i]++
	return true
}

// HedgesUsed returns the fraction of the extra attempts that hedges may use which is
// used, at most 1.
func (b *Budget) HedgesUsed(s leverid.ServiceID, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.bucket(s, now)
	limit := hedgeFraction * (b.Terms.Ratio*usableFraction*sum(&w.requests) + b.slack(now))
	if limit <= 0 {
		return 1
	}
	return min(sum(&w.extras)/limit, 1)
}

// Return takes back an extra attempt that was counted at the given time and was never
// sent.
func (b *Budget) Return(s leverid.ServiceID, taken, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Terms.Window < buckets {
		return
	}
	w, _ := b.bucket(s, now)
	n := int64(taken.Sub(b.start) / (b.Terms.Window / buckets))
	if i := n % (buckets + 1); n >= 0 && n > w.last-(buckets+1) && w.extras[i] > 0 {
		w.extras[i]--
	}
}

// slack returns this VM's share of the slack.
func (b *Budget) slack(now time.Time) float64 {
	return b.Terms.Slack * b.shares.usable(now, b.Lease, b.Terms.Window)
}

func (b *Budget) bucket(s leverid.ServiceID, now time.Time) (*window, int) {
	if b.start.IsZero() {
		b.start = now
	}
	if b.windows == nil {
		b.windows = make(map[leverid.ServiceID]*window)
	}
	w := b.windows[s]
	n := int64(now.Sub(b.start) / (b.Terms.Window / buckets))
	if w == nil {
		w = &window{last: n}
		b.windows[s] = w
	}
	for k := max(w.last+1, n-buckets); k <= n; k++ {
		w.requests[k%(buckets+1)], w.extras[k%(buckets+1)] = 0, 0
	}
	w.last = max(w.last, n)
	return w, int(w.last % (buckets + 1))
}

func sum(a *[buckets + 1]float64) float64 {
	t := 0.0
	for _, v := range a {
		t += v
	}
	return t
}
