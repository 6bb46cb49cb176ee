package leverhealth

import (
	"math"
	"time"

	"arbutuslever.dev/lever/internal/levercost"
)

const (
	// usualWeight is the weight of a new observation in an upstream's usual slowness,
	// usualClip the multiple of that at which observations are clipped.
	usualWeight = 0.02
	usualClip   = 2
	// usualHalfLife is the half-life of the usual slowness without new observations, so
	// that an upstream which was replaced by a faster one is tried again.
	usualHalfLife = time.Minute
	// lastWeight is the weight of a new observation in the present slowness, lastClip
	// the multiple of that at which observations are clipped: a pause of 100 ms is over
	// when its call ends, and must not keep calls away for seconds.
	lastWeight = 0.35
	lastClip   = 2
	// maxSlowness is the multiple of the usual slowness at which the present one is
	// clipped. It bounds the time after which a slow upstream is tried again.
	maxSlowness = 4
	// slownessHalfLife is the half-life of a difference from the usual slowness. At 2 s,
	// upstreams that were slow for 8 s were tried again three times by each VM.
	slownessHalfLife = 4 * time.Second
	// minMean is the least mean time of a class, in seconds.
	minMean = 1e-4
)

// slowness is the ratio of an upstream's times to the mean times of their classes. The
// zero value is that of an upstream without observations.
type slowness struct {
	// excess is the usual ratio less 1, last the present one, both at the time at.
	excess, last float64
	at           time.Time
}

// usual returns the ratio over many calls.
func (s *slowness) usual(now time.Time) float64 {
	if age := now.Sub(s.at); s.excess != 0 && age > slownessHalfLife {
		return 1 + s.excess*math.Exp2(-float64(age)/float64(usualHalfLife))
	}
	return 1 + s.excess
}

// weight returns the probability that the upstream is still as slow as it was last.
func (s *slowness) weight(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
}

// get returns the expected ratio.
func (s *slowness) get(now time.Time) float64 {
	usual := s.usual(now)
	return usual + (s.last-usual)*s.weight(now)
}

// add records the ratio of one call. silent says that the call has not ended, which is
// stronger evidence than one slow call.
func (s *slowness) add(v float64, silent bool, now time.Time) {
	old, usual := s.get(now), s.usual(now)
	limit := lastClip * old
	if silent {
		limit = v
	}
	s.last = old + lastWeight*(min(v, limit, maxSlowness*usual)-old)
	s.excess = usual - 1 + usualWeight*(min(v, usualClip*usual)-usual)
	s.at = now
}

// expect returns what is expected of a call of a class with the given mean, in seconds.
func (s *slowness) expect(mean float64, now time.Time) levercost.Expectation {
	return levercost.Expectation{Usual: mean * s.usual(now), Last: mean * s.last, Weight: s.weight(now)}
}
