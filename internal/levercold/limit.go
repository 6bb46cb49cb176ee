// Package levercold limits the requests that all VMs together send to an upstream that
// is cold: slow after its start until its caches have filled. Each listed VM has a fixed
// part, in whole requests, of what the upstream may receive in a second, so that the VMs
// need no message to stay within the bound. It does no I/O.
//
// The bound is B = floor(rate x excess + slack) arrivals in any second. A VM has a part
// of B places for the upstream, and the parts of all VMs add up to at most B (Shares). A
// place is taken before the request is sent and is free again one second after the
// response, which comes after the arrival. So two arrivals by the same place are at least
// one second apart, and each second has at most one arrival by each of the B places.
package levercold

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
	// span is the time over which arrivals are counted, and a part in 50 for clocks that
	// run at different speeds.
	span = 1020 * time.Millisecond
	// lostSpan is how long a place stays taken after a request was sent whose arrival is
	// unknown: connections are closed 1.5 s after data was sent that is not acknowledged.
	lostSpan = 1500*time.Millisecond + span
	// clockSkew is the difference of clocks that is assumed for the time of a start.
	clockSkew = 2 * time.Second
	// maxCold is the longest time for which an upstream may say that it is cold.
	maxCold = time.Hour
	// maxPlaces bounds the places for one upstream.
	maxPlaces = 1 << 20
	// noShareWait is the retry delay suggested by a VM without places for an upstream.
	noShareWait = time.Second
)

// End is what the end of a request says about its arrival.
type End uint8

// The ends.
const (
	// NotArrived means that the request was not sent, or reached another upstream.
	NotArrived End = iota
	// Arrived means that the request has arrived before now, if at all.
	Arrived
	// Unknown means that the request may still be under way.
	Unknown
)

// Terms are the bounds of the whole fleet: a cold upstream receives at most its
// service's rate times Excess, plus Slack, in any second.
type Terms struct{ Excess, Slack float64 }

// DefaultTerms apply where the settings have none.
var DefaultTerms = Terms{Excess: 1.5, Slack: 5}

// Limit bounds the requests by fixed shares. Its exported fields must be set
// before its first use. It is safe for concurrent use.
type Limit struct {
	Terms  Terms
	Shares *Shares

	mu     sync.Mutex
	config *leverdirectory.Config
	states map[leverid.UpstreamID]*state
	// bounded is whether the configuration bounds the rate of any service.
	bounded atomic.Bool
}

// state is what this VM knows of an upstream. The places are those of all its runs, as a
// run may start within a second after another.
type state struct {
	// run is the last run that was listed.
	run       leverdirectory.Key
	coldUntil time.Time
	// stated and entry are what the store's entry said last.
	stated time.Duration
	entry  int64
	// taken is the number of places whose requests have not ended, and freed when the
	// others are free again.
	taken int
	freed []time.Time
	// own is the number of places by total and version.
	own, total int
	version    uint64
}

// Update records the upstreams and the configuration.
func (l *Limit) Update(v *leverdirectory.View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = v.Config
	bounded := false
	if v.Config != nil {
		for _, s := range v.Config.Services {
			bounded = bounded || s.ColdRate > 0
		}
	}
	l.bounded.Store(bounded)
	if !bounded {
		l.states = nil
		return
	}
	if l.states == nil {
		l.states = make(map[leverid.UpstreamID]*state)
	}
	for u := range v.All() {
		l.observeEntry(u, now)
	}
	for id, s := range l.states {
		// The entry of an upstream may expire and be back.
		if !v.Contains(s.run) && s.used(now) == 0 && !now.Before(s.coldUntil) {
			delete(l.states, id)
		}
	}
}

// observeEntry records what an entry says. It lengthens the time only: a response may
// have been newer.
func (l *Limit) observeEntry(u *leverdirectory.Upstream, now time.Time) {
	s := l.states[u.ID]
	service := l.config.Services[u.Service]
	if s == nil {
		s = &state{}
		l.states[u.ID] = s
	}
	if s.run != u.Key() {
		s.run, s.stated, s.entry = u.Key(), 0, 0
		s.extend(now.Add(startRemainder(u, service.ColdStart, now)))
	}
	if (u.ColdFor != s.stated || u.ColdEntry != s.entry) && u.ColdFor > 0 {
		s.extend(now.Add(min(u.ColdFor, maxCold)))
	}
	s.stated, s.entry = u.ColdFor, u.ColdEntry
}

// startRemainder returns how long a run that is seen for the first time stays cold after
// its start. A start in the future, or at an unknown time, counts as one just now.
func startRemainder(u *leverdirectory.Upstream, cold time.Duration, now time.Time) time.Duration {
	age := now.Sub(time.UnixMilli(u.Born))
	if u.Born <= 0 || age < 0 {
		return cold
	}
	return min(max(cold+clockSkew-age, 0), cold)
}

func (s *state) extend(until time.Time) {
	if until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// Observe records that a response of an upstream says that it is cold for d more; 0 means
// that it is not.
// It reports whether the upstream was not known to be cold and is.
func (l *Limit) Observe(u *leverdirectory.Upstream, d time.Duration, now time.Time) bool {
	if !l.Any() || d < 0 || d > maxCold {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[u.ID]
	if s == nil {
		return false
	}
	wasCold := now.Before(s.coldUntil)
	s.coldUntil = now.Add(d)
	return d > 0 && !wasCold
}

// Unreachable records that no connection to an upstream could be opened. Its process may
// be starting again, which its entry says later.
func (l *Limit) Unreachable(u *leverdirectory.Upstream, now time.Time) {
	if !l.Any() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[u.ID]; s != nil {
		s.extend(now.Add(l.config.Services[u.Service].ColdStart))
	}
}

// Any reports whether the limit may apply to any upstream.
func (l *Limit) Any() bool { return l.bounded.Load() }

// places returns the state of an upstream and the number of places that this VM has for
// it. The state is nil if there is no limit for it now.
func (l *Limit) places(u *leverdirectory.Upstream, now time.Time) (*state, int) {
	rate := 0.0
	if l.config != nil {
		rate = l.config.Services[u.Service].ColdRate
	}
	if rate <= 0 {
		return nil, 0
	}
	s := l.states[u.ID]
	if s == nil {
		// It has just been listed, and Update follows.
		return &state{coldUntil: now.Add(noShareWait)}, 0
	}
	if !now.Before(s.coldUntil) {
		return nil, 0
	}
	if !l.Shares.Valid(now) {
		return s, 0
	}
	total := int(min(math.Floor(rate*l.Terms.Excess+l.Terms.Slack), maxPlaces))
	if v := l.Shares.Version(); s.total != total || s.version != v {
		s.own, s.total, s.version = l.Shares.Own(u.ID, total), total, v
	}
	return s, s.own
}

// Wait returns how long no request may be sent to an upstream: 0 if one may.
func (l *Limit) Wait(u *leverdirectory.Upstream, now time.Time) time.Duration {
	if !l.Any() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, own := l.places(u, now)
	if s == nil || s.used(now) < own {
		return 0
	}
	wait := s.coldUntil.Sub(now)
	if own == 0 || s.taken >= own {
		return min(wait, noShareWait)
	}
	// The place that is free as the first one of those that are needed.
	return min(wait, s.freed[len(s.freed)+s.taken-own].Sub(now))
}

// used returns the number of places that are not free.
func (s *state) used(now time.Time) int {
	i := 0
	for i < len(s.freed) && !now.Before(s.freed[i]) {
		i++
	}
	s.freed = s.freed[i:]
	return s.taken + len(s.freed)
}

// Take takes a place for a request to an upstream. It reports whether the request may be
// sent, and whether End has to be called for it.
func (l *Limit) Take(u *leverdirectory.Upstream, now time.Time) (counted, ok bool) {
	if !l.Any() {
		return false, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, own := l.places(u, now)
	if s == nil {
		return false, true
	}
	if s.used(now) >= own {
		return false, false
	}
	s.taken++
	return true, true
}

// End records the end of a request for which Take has taken a place.
func (l *Limit) End(u *leverdirectory.Upstream, e End, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[u.ID]
	if s == nil || s.taken == 0 {
		return
	}
	s.taken--
	at := now.Add(span)
	switch e {
	case NotArrived:
		return
	case Unknown:
		at = now.Add(lostSpan)
	}
	i := len(s.freed)
	for i > 0 && s.freed[i-1].After(at) {
		i--
	}
	s.freed = slices.Insert(s.freed, i, at)
}
