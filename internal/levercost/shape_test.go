package levercost_test

import (
	"math"
	"math/rand/v2"
	"testing"

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

// TestShape compares the time left with the observations. A call that has taken longer
// than most must not be expected to end soon, and old observations must lose their weight.
func TestShape(t *testing.T) {
	is := is.New(t)
	s := calmShape()
	is.True(s.Ready())
	is.True(s.Rest(0.1) > 1 && s.Rest(0.1) < 1.8)
	is.True(s.Rest(3) > 4)
	is.Equal(s.Rest(1000), 0.0)
	for range 20000 {
		s.Add(1)
	}
	is.True(s.Rest(0.1) < 1.1)
}

// TestShapeIsMonotonic checks that the expected end of a call never gets earlier with its
// age, whatever was observed.
func TestShapeIsMonotonic(t *testing.T) {
	// The table is linear between the logarithms of the ages, which deviates by up to
	// 0.1% of the age.
	const tolerance = 0.002
	rapid.Check(t, func(t *rapid.T) {
		var s levercost.Shape
		for _, v := range rapid.SliceOfN(rapid.Float64Range(0, 1e6), 256, 512).Draw(t, "ratios") {
			s.Add(v)
		}
		a, b := rapid.Float64Range(0, 100).Draw(t, "a"), rapid.Float64Range(0, 100).Draw(t, "b")
		a, b = min(a, b), max(a, b)
		if s.Rest(a) < 0 || b+s.Rest(b) < (a+s.Rest(a))*(1-tolerance) {
			t.Fatalf("left %v at %v, %v at %v", s.Rest(a), a, s.Rest(b), b)
		}
	})
}
