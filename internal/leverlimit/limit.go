// Package leverlimit decides how many attempts one VM may have at one upstream
// at a time. It learns from the upstream's replies, never from its health or
// load endpoints.
package leverlimit

import (
	"math"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverplug"
)

// Limiter gives the number of attempts that may be in flight at one upstream.
// It is not safe for concurrent use.
type Limiter interface {
	// Limit returns the present limit, at least 1.
	Limit(now time.Time) int
	// Observe takes in the end of an attempt.
	Observe(o levermsg.Outcome, now time.Time)
}

// Limiters holds the limit policies. A factory takes the upstream's declared
// slots.
var Limiters leverplug.Registry[func(slots int) Limiter]

func init() {
	Limiters.Register("adaptive", func(slots int) Limiter { return NewAdaptive(slots) })
	Limiters.Register("fixed", func(slots int) Limiter { return Fixed(slots) })
	Limiters.Register("none", func(int) Limiter { return Fixed(math.MaxInt32) })
}

// Fixed is a limit that never changes.
type Fixed int

// Limit returns the fixed limit.
func (f Fixed) Limit(time.Time) int { return max(int(f), 1) }

// Observe does nothing.
func (f Fixed) Observe(levermsg.Outcome, time.Time) {}

const (
	// decrease scales the limit when an upstream sheds.
	decrease = 0.7
	// decreaseGap is the least time between two decreases, so that the sheds
	// of one burst count once.
	decreaseGap = 50 * time.Millisecond
	// rampTime is how long an upstream that was away takes to get back its
	// declared slots.
	rampTime = 2 * time.Second
	// rampFrom is the part of the slots that it gets at first.
	rampFrom = 0.5
)

// Adaptive lowers the limit when the upstream sheds and raises it with each
// success, never above the declared slots. After the upstream was away it
// starts again from half of the slots.
type Adaptive struct {
	slots  float64
	limit  float64
	cut    time.Time
	back   time.Time
	absent bool
}

// NewAdaptive returns a limiter for an upstream with the given slots.
func NewAdaptive(slots int) *Adaptive {
	s := float64(max(slots, 1))
	return &Adaptive{slots: s, limit: s}
}

// Limit returns the present limit.
func (a *Adaptive) Limit(now time.Time) int {
	return max(int(min(a.limit, a.ramp(now))), 1)
}

func (a *Adaptive) ramp(now time.Time) float64 {
	if a.back.IsZero() {
		return a.slots
	}
	part := float64(now.Sub(a.back)) / float64(rampTime)
	if part >= 1 {
		a.back = time.Time{}
		return a.slots
	}
	return a.slots * (rampFrom + part*(1-rampFrom))
}

// Observe takes in the end of an attempt.
func (a *Adaptive) Observe(o levermsg.Outcome, now time.Time) {
	switch o {
	case levermsg.Shed:
		a.shrink(now)
	case levermsg.Unreachable, levermsg.Reset, levermsg.Draining:
		a.absent = true
	case levermsg.OK:
		a.grow(now)
	}
}

func (a *Adaptive) shrink(now time.Time) {
	if now.Sub(a.cut) < decreaseGap {
		return
	}
	a.cut = now
	a.limit = max(a.limit*decrease, 1)
}

func (a *Adaptive) grow(now time.Time) {
	if a.absent {
		a.absent = false
		a.back = now
	}
	a.limit = min(a.limit+1/a.limit, a.slots)
}
