package leverrank

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// limitWindow is the interval at which the limit is adjusted.
	limitWindow = 250 * time.Millisecond
	// minWindowCalls is the least number of calls in a window that is evidence
	// for or against overload.
	minWindowCalls = 20
	// slowThreshold is the fraction of calls that must be slow in two
	// consecutive windows before the limit is lowered. If half of them are
	// slow, the cause is not a few slow upstreams.
	slowThreshold = 0.5
	// decreaseFactor and increaseFactor change the limit after a window with
	// too many slow calls and after one without.
	decreaseFactor = 0.9
	increaseFactor = 1.12
	// minAdmittedKept is the smallest fraction of the admitted work to which one
	// window lowers the limit: in the window after a restart, little work is
	// completed yet.
	minAdmittedKept = 0.6
	// warmUp is how long after a group's first request the durations of its
	// calls are ignored: its connections and upstreams are cold.
	warmUp = 3 * time.Second
	// refusedThreshold is the fraction of calls refused for lack of capacity
	// above which the limit is lowered. cautiousIncreaseFactor changes the
	// limit after a window with fewer refusals, once refusals have set it.
	refusedThreshold       = 0.02
	cautiousIncreaseFactor = 1.02
	// refusedDecreaseFactor is the fraction of the work completed in a window
	// with too many refusals that is admitted next.
	refusedDecreaseFactor = 0.97
	// unlimitedFactor is the multiple of the demand above which the limit is
	// lifted.
	unlimitedFactor = 1.5
)

// defaultFloors apply if no floors are set.
var defaultFloors = Floors{0.2, 0.15, 0.05}

// Limiter admits the work for a group of services. It estimates their capacity
// from the durations and refusals of calls, and divides it among the ranks. The
// zero value is ready to use and has no limit. It is safe for concurrent use.
type Limiter struct {
	// Floors are the fractions of the capacity that the ranks keep, whatever
	// the demand of the others. If all are zero, defaultFloors apply.
	Floors Floors

	mu     sync.Mutex
	demand Meter
	// limit is the admitted work in seconds of work per second, 0 for no limit.
	limit    float64
	fraction [leverid.RankCount]float64
	carry    [leverid.RankCount]float64

	started, windowStart time.Time
	admitted, completed  float64
	// completedByPart is the work of the requests of which a part was
	// completed, by part.
	completedByPart []float64
	calls, slow     int
	refused         int
	slowWindows     int
	// limitedByRefusals says that refusals set the limit last.
	limitedByRefusals bool
}

// Admit counts offered work, in seconds, and reports whether it is admitted.
func (r *Limiter) Admit(rank leverid.Rank, work float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.demand.AddWork(rank, work, now)
	if r.limit > 0 && r.fraction[rank] < 1 {
		r.carry[rank] += r.fraction[rank]
		if r.carry[rank] < 1 {
			return false
		}
		r.carry[rank]--
	}
	r.admitted += work
	return true
}

// Observe records the end of a call for one part of a request with the given
// number of parts. work is that of the complete request, in seconds; slow says
// that the call took longer than its class of request allows.
func (r *Limiter) Observe(part, parts int, work float64, slow bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.calls++
	r.completed += work / float64(parts)
	for len(r.completedByPart) <= part {
		r.completedByPart = append(r.completedByPart, 0)
	}
	r.completedByPart[part] += work
	if slow {
		r.slow++
	}
}

// ObserveRefusal records that a call was refused for lack of capacity.
func (r *Limiter) ObserveRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.refused++
}

// Fraction returns the fraction of a rank's work that is admitted.
func (r *Limiter) Fraction(rank leverid.Rank) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == 0 {
		return 1
	}
	return r.fraction[rank]
}

func (r *Limiter) advance(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart, r.started = now, now
		return
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < limitWindow {
		return
	}
	r.adjustLimit(elapsed.Seconds(), now.Sub(r.started) > warmUp)
	demand := r.demand.Rates(now)
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if r.limit > unlimitedFactor*total {
		r.limit, r.limitedByRefusals = 0, false
	}
	r.updateFractions(demand)
	r.windowStart, r.admitted, r.completed, r.calls, r.slow, r.refused = now, 0, 0, 0, 0, 0
	clear(r.completedByPart)
}

// adjustLimit adjusts the limit after a window of so many seconds. Slow calls
// count only if warm.
func (r *Limiter) adjustLimit(seconds float64, warm bool) {
	growth := increaseFactor
	if r.limitedByRefusals {
		growth = cautiousIncreaseFactor
	}
	switch {
	case r.calls+r.refused < minWindowCalls:
		r.limit *= growth
		r.slowWindows = 0
	case float64(r.refused) > refusedThreshold*float64(r.calls+r.refused):
		r.limitToCompleted(seconds)
	case !warm:
	case float64(r.slow) < slowThreshold*float64(r.calls):
		r.limit *= growth
		r.slowWindows = 0
	default:
		if r.slowWindows++; r.slowWindows > 1 {
			r.limit = max(decreaseFactor*min(r.admitted, r.completed), minAdmittedKept*r.admitted) / seconds
			r.limitedByRefusals = false
		}
	}
}

// limitToCompleted sets the limit after a window with too many refusals.
func (r *Limiter) limitToCompleted(seconds float64) {
	r.slowWindows, r.limitedByRefusals = 0, true
	// The part with the least capacity bounds the complete request. A part that
	// completed nothing has failed and does not count.
	completed := r.completed
	for _, d := range r.completedByPart {
		if d > 0 {
			completed = min(completed, d)
		}
	}
	// The completed work is the estimate of the capacity.
	r.limit = refusedDecreaseFactor * min(r.admitted, completed) / seconds
}

func (r *Limiter) updateFractions(demand [leverid.RankCount]float64) {
	if r.limit == 0 {
		return
	}
	before, floors := r.fraction, r.Floors
	if floors == (Floors{}) {
		floors = defaultFloors
	}
	for i, f := range Fractions(Allocate(r.limit, demand, floors), demand) {
		r.fraction[i] = float64(f)
		if before[i] == 0 || before[i] == 1 {
			// A random start keeps VMs that see few requests from all beginning
			// with a refusal.
			r.carry[i] = rand.Float64()
		}
	}
}
