// Package leverreturn decides how quickly requests return to a failure domain whose
// evacuation has ended. Its upstreams have had no requests for a while: they may be
// cold, and nothing is known of their speed, so that each VM would take them for the
// best at the same moment. It does no I/O.
package leverreturn

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// duration is how long it takes until all requests may return. Caches of upstreams
	// that have just started take several seconds to fill.
	duration = 10 * time.Second
	// firstFraction is the fraction of the requests that may return at once, which show
	// how the upstreams respond.
	firstFraction = 0.02
)

// Ramp admits a growing fraction of the requests to the upstreams of each returning
// failure domain. The fraction is the same on all VMs and has no state per request:
// a hash of the request's id and of the upstream decides. The zero value is ready to use.
// It is safe for concurrent use.
type Ramp struct {
	mu        sync.Mutex
	evacuated []leverid.Domain
	// since holds when the evacuation of each returning failure domain ended.
	since map[leverid.Domain]time.Time
	// until is when the last one has returned, in Unix nanoseconds.
	until atomic.Int64
}

// Update records which failure domains are evacuated.
func (r *Ramp) Update(evacuated []leverid.Domain, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since == nil {
		r.since = make(map[leverid.Domain]time.Time)
	}
	for _, d := range r.evacuated {
		if !slices.Contains(evacuated, d) {
			r.since[d] = now
			r.until.Store(now.Add(duration).UnixNano())
		}
	}
	for d, since := range r.since {
		if slices.Contains(evacuated, d) || now.Sub(since) >= duration {
			delete(r.since, d)
		}
	}
	r.evacuated = slices.Clone(evacuated)
}

// Any reports whether a failure domain is returning.
func (r *Ramp) Any(now time.Time) bool { return now.UnixNano() < r.until.Load() }

// Admits reports whether a request may be sent to an upstream while others of its
// service can take it.
func (r *Ramp) Admits(u *leverdirectory.Upstream, id leverid.RequestID, now time.Time) bool {
	r.mu.Lock()
	since, returning := r.since[u.Domain]
	r.mu.Unlock()
	if !returning {
		return true
	}
	passed := float64(now.Sub(since)) / float64(duration)
	draw := float64(leverid.Hash(string(id), string(u.ID))) / math.MaxUint64
	return draw < firstFraction+(1-firstFraction)*passed
}
