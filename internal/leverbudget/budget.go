// Package leverbudget bounds the extra attempts of a fleet: in each sliding
// window a service may get no more attempts beyond the first of each request
// than a part of its requests and a fixed slack. The VMs don't count together:
// each spends the part of its own requests and its share of the slack, so that
// the sum keeps the bound. It does no I/O.
package leverbudget

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// buckets divide the window. One bucket more is kept, so that each span of
	// the window's length is covered whole.
	buckets = 20
	// spend is the part of the bound that is used. The rest covers VMs that
	// joined but are not counted yet.
	spend = 0.85
	// hedgePart is the part of the budget that hedges may use; retries after a
	// failure may use all of it.
	hedgePart = 0.75
)

// Use says what an extra attempt is for.
type Use uint8

// The uses of extra attempts.
const (
	// Retry replaces an attempt that failed.
	Retry Use = iota
	// Hedge runs beside an attempt that is slow.
	Hedge
)

// Terms are the fleet's bound.
type Terms struct {
	// Ratio is the part of the requests that may be sent once more.
	Ratio float64
	// Slack is the number of extra attempts beyond that, for the whole fleet.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget holds the windows of all services. Terms must be set before the first
// use. It is safe for concurrent use.
type Budget struct {
	Terms Terms

	mu      sync.Mutex
	share   float64
	began   time.Time
	windows map[leverid.ServiceID]*window
}

type window struct {
	requests, extra [buckets + 1]float64
	last            int64
}

// Begin says when the process began: the slack grows from there on. Without it
// that is the time of the first use.
func (b *Budget) Begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.began = now
}

// SetShare says which part of the slack is this VM's.
func (b *Budget) SetShare(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = part
}

// SetTerms changes the bound. The windows begin anew if their length changes.
func (b *Budget) SetTerms(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Window != b.Terms.Window {
		b.windows = nil
	}
	b.Terms = t
}

// Request counts a request for a service.
func (b *Budget) Request(s leverid.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(s, now)
	w.requests[i]++
}

// Take reports whether an extra attempt may be sent, and counts it if so.
func (b *Budget) Take(s leverid.ServiceID, use Use, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(s, now)
	limit := b.Terms.Ratio*spend*sum(&w.requests) + b.slack(now)
	if use == Hedge {
		limit *= hedgePart
	}
	if sum(&w.extra)+1 > limit {
		return false
	}
	w.extra[i]++
	return true
}

// slack is this VM's share. It grows over the first window of the process: the
// process that ran here before may have spent it.
func (b *Budget) slack(now time.Time) float64 {
	if b.began.IsZero() {
		b.began = now
	}
	grown := min(float64(now.Sub(b.began))/float64(b.Terms.Window), 1)
	return b.Terms.Slack * spend * grown * b.share
}

func (b *Budget) at(s leverid.ServiceID, now time.Time) (*window, int) {
	if b.began.IsZero() {
		b.began = now
	}
	if b.windows == nil {
		b.windows = make(map[leverid.ServiceID]*window)
	}
	w := b.windows[s]
	n := int64(now.Sub(b.began) / (b.Terms.Window / buckets))
	if w == nil {
		w = &window{last: n}
		b.windows[s] = w
	}
	for k := max(w.last+1, n-buckets); k <= n; k++ {
		w.requests[k%(buckets+1)], w.extra[k%(buckets+1)] = 0, 0
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
