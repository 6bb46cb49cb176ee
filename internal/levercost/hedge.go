package levercost

import "time"

const (
	// minAdvantage is the multiple of the second attempt's time that the first one must
	// be expected to have left, with an unused budget. With a used budget it is
	// minAdvantage + advantageRise.
	minAdvantage  = 1.5
	advantageRise = 2.0
	// firstAdvantage is the one from which hedges are considered. It is less because the
	// second upstream may be the faster one.
	firstAdvantage = 1.0
	// minGain is the least probability with which a second attempt makes a part be in
	// time that would be late, with an unused budget. With a used budget it is
	// minGain + gainRise.
	minGain  = 0.1
	gainRise = 0.4
)

// Expectation is what is expected of a call: it takes its upstream's usual time, or the
// time that the upstream took last, each multiplied by a Shape.
type Expectation struct {
	// Usual and Last are in seconds.
	Usual, Last float64
	// Weight is the probability of Last.
	Weight float64
}

// Mean returns the expected time in seconds.
func (e *Expectation) Mean() float64 { return e.Usual + (e.Last-e.Usual)*e.Weight }

// Survival returns the probability that the call takes longer than a time.
func (e *Expectation) Survival(s *Shape, t time.Duration) float64 {
	x := t.Seconds()
	if e.Weight == 0 {
		return s.Survival(x / e.Usual)
	}
	return (1-e.Weight)*s.Survival(x/e.Usual) + e.Weight*s.Survival(x/e.Last)
}

// Rest returns the mean time in seconds that the call has left when it has not ended
// after a time.
func (e *Expectation) Rest(s *Shape, t time.Duration) float64 {
	x := t.Seconds()
	if e.Weight == 0 {
		return e.Usual * s.Rest(x/e.Usual)
	}
	usual, last := (1-e.Weight)*s.Survival(x/e.Usual), e.Weight*s.Survival(x/e.Last)
	if usual+last <= 0 {
		return max(e.Usual, e.Last)
	}
	return (usual*e.Usual*s.Rest(x/e.Usual) + last*e.Last*s.Rest(x/e.Last)) / (usual + last)
}

// Hedge is a second attempt that might be made.
type Hedge struct {
	// Age is how long the first attempt has been in flight.
	Age time.Duration
	// First and Second are what is expected of both attempts.
	First, Second Expectation
	// Limit is the age from which every attempt gets a second one.
	Limit time.Duration
	// Left is the time until the answer is due; it may have passed.
	Left time.Duration
	// BudgetUsed is the fraction of the budget for hedges that is used.
	BudgetUsed float64
}

// Worthwhile reports whether the second attempt is worth its part of the budget: the
// first one has reached the limit, or the second one is expected to be much earlier, or to be in time
// when the first one is probably late. The less budget is left, the more it has to gain.
func (h *Hedge) Worthwhile(s *Shape) bool {
	if h.Age >= h.Limit {
		return true
	}
	if h.First.Rest(s, h.Age) >= (minAdvantage+advantageRise*h.BudgetUsed)*h.Second.Mean() {
		return true
	}
	if h.Left <= 0 {
		return false
	}
	late := h.First.Survival(s, h.Age+h.Left) / max(h.First.Survival(s, h.Age), 1e-9)
	inTime := 1 - h.Second.Survival(s, h.Left)
	return late*inTime >= minGain+gainRise*h.BudgetUsed
}
