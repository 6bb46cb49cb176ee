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
	// decreaseFactor is the fraction of a window's work that is admitted next
	// after too many slow calls. increaseFactor raises the limit after a window
	// without, or with fewer than minWindowCalls calls.
	decreaseFactor = 0.9
	increaseFactor = 1.12
	// minAdmittedKept is the smallest fraction of the admitted work to which one
	// window lowers the limit: in the window after a restart, little work is
	// completed yet.
	minAdmittedKept = 0.6
	// warmUp is how long after the limiter's first request the durations of
	// calls are ignored, because connections and upstreams are cold.
	warmUp = 3 * time.Second
	// refusedThreshold is the fraction of calls refused for lack of capacity
	// above which the limit is lowered. cautiousIncreaseFactor changes the
	// limit after a window with fewer refusals, once refusals have set it. If
	// that is more, the limit rises by recoveryFraction of what a series of such
	// windows has taken from it.
	refusedThreshold       = 0.02
	cautiousIncreaseFactor = 1.02
	recoveryFraction       = 0.25
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
	// Random is the source of random numbers, by default the global one. Replays set one
	// with a fixed seed.
	Random *rand.Rand

	mu     sync.Mutex
	demand Meter
	// limit is the admitted work in seconds of work per second, 0 for no limit.
	limit float64
	// fraction is the admitted fraction of each rank's work. carry is the
	// fraction of a request carried over to the rank's next one: each request
	// adds fraction, and is admitted if the sum reaches 1.
	fraction [leverid.RankCount]float64
	carry    [leverid.RankCount]float64
	// shares divide the admitted work of each rank among organisations.
	shares [leverid.RankCount]shares
	sheds  sheds

	started, windowStart time.Time
	// admitted and completed are the seconds of work in the current window;
	// calls, slow and refused are its numbers of ended, slow and refused calls.
	admitted, completed float64
	// completedByPart holds, by part, the seconds of work of the requests of
	// which that part was completed.
	completedByPart []float64
	calls, slow     int
	refused         int
	slowWindows     int
	// limitedByRefusals says that refusals set the limit last. refusedWindows
	// counts the windows in succession that had too many, refusedLimit is the
	// limit before the first of them.
	limitedByRefusals bool
	refusedWindows    int
	refusedLimit      float64
}

// Request is work that is offered to a Limiter.
type Request struct {
	Rank leverid.Rank
	// Work is in seconds.
	Work float64
	// Organisation is the one that the request belongs to, if any. Weight is its share
	// of the rank's work relative to that of others, or 0 for the mean of theirs.
	Organisation leverid.OrganisationID
	Weight       float64
	// Content is the same if a request that was refused returns.
	Content leverid.Fingerprint
}

// Admission is the decision on a Request.
type Admission struct {
	Admitted bool
	// RetryAfter is the time after which there is capacity for the request, if it was
	// refused; 0 if that is not known.
	RetryAfter time.Duration
	// Early is set if the request was refused before and has returned before that time.
	Early bool
}

// Admit counts offered work without an organisation, in seconds, and reports whether it
// is admitted.
func (l *Limiter) Admit(rank leverid.Rank, work float64, now time.Time) bool {
	return l.AdmitRequest(&Request{Rank: rank, Work: work}, now).Admitted
}

// AdmitRequest counts an offered request and decides whether it is admitted. While the
// work of a rank is limited and several organisations are active, they share it.
func (l *Limiter) AdmitRequest(r *Request, now time.Time) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	s := &l.shares[r.Rank]
	limited := l.limits(r.Rank)
	if early := s.returns.early(r, now); limited && early > 0 {
		// It was counted when it was refused.
		return Admission{RetryAfter: early, Early: true}
	}
	l.demand.AddWork(r.Rank, r.Work, now)
	a := s.offer(r, now)
	due := a != nil && s.returns.take(r, a)
	switch {
	case !limited:
	case a == nil || s.active < 2 || s.grant == 0:
		l.carry[r.Rank] += l.fraction[r.Rank]
		if l.carry[r.Rank] < 1 && !due {
			return Admission{}
		}
		// A request that was told to return now is admitted in advance.
		l.carry[r.Rank] = max(l.carry[r.Rank]-1, -1)
	case !s.admit(r, a, due, now):
		return Admission{RetryAfter: s.returns.promise(r, a, now)}
	}
	l.admitted += r.Work
	return Admission{Admitted: true}
}

// Declined returns the time after which there is capacity for an admitted request that
// upstreams have declined, or 0 if that is not known. The request's work is not given
// back: then an organisation with a flood would send more of what upstreams decline.
func (l *Limiter) Declined(r *Request, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	s := &l.shares[r.Rank]
	a := s.accounts[r.Organisation]
	if a == nil || !l.limits(r.Rank) || s.active < 2 || s.grant == 0 {
		return 0
	}
	return s.returns.promise(r, a, now)
}

// limits reports whether some of a rank's work is refused.
func (l *Limiter) limits(rank leverid.Rank) bool { return l.limit > 0 && l.fraction[rank] < 1 }

// Observe records the end of a call for one part of a request with the given
// number of parts. work is that of the complete request, in seconds; slow says
// that the call took longer than its class of request allows.
func (l *Limiter) Observe(part, parts int, work float64, slow bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.calls++
	l.completed += work / float64(parts)
	for len(l.completedByPart) <= part {
		l.completedByPart = append(l.completedByPart, 0)
	}
	l.completedByPart[part] += work
	if slow {
		l.slow++
	}
}

// ObserveRefusal records that a call was refused for lack of capacity.
func (l *Limiter) ObserveRefusal(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.refused++
}

// Fraction returns the fraction of a rank's work that is admitted.
func (l *Limiter) Fraction(rank leverid.Rank) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		return 1
	}
	return l.fraction[rank]
}

func (l *Limiter) advance(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart, l.started = now, now
		return
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < limitWindow {
		return
	}
	l.adjustLimit(elapsed.Seconds(), now.Sub(l.started) > warmUp)
	demand := l.demand.Rates(now)
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if l.limit > unlimitedFactor*total {
		l.limit, l.limitedByRefusals = 0, false
	}
	l.updateFractions(demand)
	for r := range l.shares {
		grant := -1.0
		if l.limits(leverid.Rank(r)) {
			grant = l.fraction[r] * demand[r]
		}
		l.shares[r].update(grant, elapsed.Seconds(), now)
	}
	l.windowStart, l.admitted, l.completed, l.calls, l.slow, l.refused = now, 0, 0, 0, 0, 0
	clear(l.completedByPart)
}

// adjustLimit adjusts the limit after a window of the given length. Slow calls
// count only if warm is set.
func (l *Limiter) adjustLimit(seconds float64, warm bool) {
	switch {
	case l.calls+l.refused < minWindowCalls:
		l.raiseLimit()
		l.slowWindows = 0
	case float64(l.refused) > refusedThreshold*float64(l.calls+l.refused):
		l.limitToCompleted(seconds)
	case !warm:
	case float64(l.slow) < slowThreshold*float64(l.calls):
		l.raiseLimit()
		l.slowWindows = 0
	default:
		if l.slowWindows++; l.slowWindows > 1 {
			l.limit = max(decreaseFactor*min(l.admitted, l.completed), minAdmittedKept*l.admitted) / seconds
			l.limitedByRefusals = false
		}
	}
}

// raiseLimit raises the limit after a window without overload. A few refusals by
// chance can lower it far in a flood, so that it returns quickly to where the
// refusals began and only then slowly probes for more capacity.
func (l *Limiter) raiseLimit() {
	l.refusedWindows = 0
	if !l.limitedByRefusals {
		l.limit *= increaseFactor
		return
	}
	l.limit = max(cautiousIncreaseFactor*l.limit, l.limit+recoveryFraction*(l.refusedLimit-l.limit))
}

// limitToCompleted sets the limit after a window with too many refusals.
func (l *Limiter) limitToCompleted(seconds float64) {
	if l.refusedWindows++; l.refusedWindows == 1 {
		l.refusedLimit = l.limit
	}
	l.slowWindows, l.limitedByRefusals = 0, true
	// The part with the least capacity bounds the complete request. A part that
	// completed nothing has failed and does not count.
	completed := l.completed
	for _, d := range l.completedByPart {
		if d > 0 {
			completed = min(completed, d)
		}
	}
	// The completed work is the estimate of the capacity.
	l.limit = refusedDecreaseFactor * min(l.admitted, completed) / seconds
}

func (l *Limiter) updateFractions(demand [leverid.RankCount]float64) {
	if l.limit == 0 {
		return
	}
	before, floors := l.fraction, l.Floors
	if floors == (Floors{}) {
		floors = defaultFloors
	}
	for i, f := range Fractions(Allocate(l.limit, demand, floors), demand) {
		l.fraction[i] = float64(f)
		if before[i] == 0 || before[i] == 1 {
			// A random start keeps VMs that see few requests from all beginning
			// with a refusal.
			l.carry[i] = l.random()
		}
	}
}

// random returns a random number in [0, 1).
func (l *Limiter) random() float64 {
	if l.Random == nil {
		return rand.Float64()
	}
	return l.Random.Float64()
}
