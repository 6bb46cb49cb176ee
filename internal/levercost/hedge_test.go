package levercost_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercost"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// calmShape returns the distribution of calls of which 4% take 10 times as long.
func calmShape() *levercost.Shape {
	var s levercost.Shape
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		ratio := math.Exp(0.35 * r.NormFloat64())
		if r.Float64() < 0.04 {
			ratio *= 10
		}
		s.Add(ratio)
	}
	return &s
}

// TestShape compares the tables with the observations that they stand for.
func TestShape(t *testing.T) {
	is := is.New(t)
	s := calmShape()
	is.True(s.Ready())
	is.True(math.Abs(s.Survival(1)-0.52) < 0.05)
	is.True(math.Abs(s.Survival(4)-0.04) < 0.015)
	is.True(s.Rest(0.1) > 1 && s.Rest(0.1) < 1.8)
	is.True(s.Rest(3) > 4)
	is.Equal(s.Survival(1000), 0.0)
	for range 20000 {
		s.Add(1)
	}
	// Old observations must lose their weight.
	is.True(s.Survival(4) < 0.002)
}

// TestShapeIsMonotonic checks that the probability to take longer never rises with the
// time, whatever was observed.
func TestShapeIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s levercost.Shape
		for _, v := range rapid.SliceOfN(rapid.Float64Range(0, 1e6), 256, 512).Draw(t, "ratios") {
			s.Add(v)
		}
		a, b := rapid.Float64Range(0, 100).Draw(t, "a"), rapid.Float64Range(0, 100).Draw(t, "b")
		if s.Survival(min(a, b)) < s.Survival(max(a, b))-1e-9 || s.Rest(a) < 0 {
			t.Fatalf("survival %v at %v, %v at %v", s.Survival(a), a, s.Survival(b), b)
		}
	})
}

// TestWorthwhile decides on hedges of calls that usually take 8 ms, of which some are
// hedged too late or in vain if all are hedged at a fixed time.
func TestWorthwhile(t *testing.T) {
	usual := levercost.Expectation{Usual: 0.008}
	wasSlow := levercost.Expectation{Usual: 0.008, Last: 0.032, Weight: 0.9}
	hedge := func(age, left time.Duration, first, second levercost.Expectation, used float64) levercost.Hedge {
		return levercost.Hedge{Age: age, Limit: 30 * time.Millisecond, First: first, Second: second, Left: left, BudgetUsed: used}
	}
	const ms = time.Millisecond
	cases := map[string]struct {
		hedge levercost.Hedge
		want  bool
	}{
		"young":                              {hedge(4*ms, 28*ms, usual, usual, 0), false},
		"older than most":                    {hedge(14*ms, 18*ms, usual, usual, 0), true},
		"older than most, no deadline":       {hedge(14*ms, time.Second, usual, usual, 0), true},
		"older than most, budget nearly out": {hedge(12*ms, time.Second, usual, usual, 0.95), false},
		"at the limit, budget nearly out":    {hedge(30*ms, 2*ms, usual, usual, 0.95), true},
		"second as slow":                     {hedge(11*ms, time.Second, usual, levercost.Expectation{Usual: 0.2}, 0), false},
		"first was slow, deadline near":      {hedge(9*ms, 16*ms, wasSlow, usual, 0), true},
		"too late for the objective":         {hedge(9*ms, 2*ms, usual, usual, 0), false},
	}
	s := calmShape()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.hedge.Worthwhile(s), c.want) })
	}
}
