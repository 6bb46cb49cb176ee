// Package levercost learns how long calls take, as distributions, and decides which
// calls that are in flight get a second attempt. It does no I/O and takes times as
// arguments. Its types are not safe for concurrent use.
package levercost

import "math"

const (
	// binsPerOctave is the resolution of a Shape, minRatio the lower bound of its
	// first bin. Ratios beyond the last bin, at 64, count in it.
	binsPerOctave = 8
	minRatio      = 1.0 / 8
	octaves       = 9
	binCount      = octaves * binsPerOctave
	// memory is the number of calls after which an observation has lost most of its
	// weight.
	memory = 4000
	// refreshInterval is the number of observations after which the tables are
	// computed again.
	refreshInterval = 128
	// minObservations is the number of observations from which a Shape is usable.
	minObservations = 256
)

// Shape is the distribution of the times of calls, as multiples of the time that was
// expected of each. Old observations lose weight with the number of new ones. The zero
// value is ready to use.
type Shape struct {
	weights [binCount]float64
	// next is the weight of the next observation.
	next  float64
	count int
	// survival is the fraction of calls that take longer than the lower bound of a
	// bin, rest the mean time that those have left then.
	survival, rest [binCount + 1]float64
	// first is the result of FirstHedge.
	first float64
}

// Add records a call that took the given multiple of the expected time.
func (s *Shape) Add(ratio float64) {
	if s.next == 0 {
		s.next = 1
	}
	s.weights[bin(ratio)] += s.next
	s.next *= 1 + 1.0/memory
	s.count++
	if s.count%refreshInterval == 0 {
		s.refresh()
	}
}

// Ready reports whether there are enough observations for Survival and Rest.
func (s *Shape) Ready() bool { return s.count >= minObservations }

// Survival returns the fraction of calls that take longer than the ratio.
func (s *Shape) Survival(ratio float64) float64 { return interpolate(&s.survival, ratio) }

// Rest returns the mean time that a call has left that has taken the ratio so far.
func (s *Shape) Rest(ratio float64) float64 { return interpolate(&s.rest, ratio) }

// FirstHedge returns the least ratio at which a hedge may be worthwhile if both upstreams
// are alike.
func (s *Shape) FirstHedge() float64 { return s.first }

// refresh computes the tables and scales the weights.
func (s *Shape) refresh() {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	above, area := 0.0, 0.0
	s.survival[binCount], s.rest[binCount] = 0, 0
	s.first = bounds[binCount]
	for i := binCount - 1; i >= 0; i-- {
		s.weights[i] /= s.next
		w := s.weights[i] * s.next / total
		// The calls of a bin end at its middle on average.
		width := bounds[i+1] - bounds[i]
		area += above*width + w*width/2
		above += w
		s.survival[i] = above
		s.rest[i] = 0
		if above > 0 {
			s.rest[i] = area / above
		}
		if r := bounds[i]; r >= 1 && s.rest[i] >= firstAdvantage {
			s.first = r
		}
	}
	s.next = 1
}

func interpolate(table *[binCount + 1]float64, ratio float64) float64 {
	if ratio <= minRatio {
		return table[0]
	}
	x := math.Log2(ratio/minRatio) * binsPerOctave
	i := int(x)
	if i >= binCount {
		return table[binCount]
	}
	return table[i] + (x-float64(i))*(table[i+1]-table[i])
}

func bin(ratio float64) int {
	if ratio <= minRatio {
		return 0
	}
	return min(int(math.Log2(ratio/minRatio)*binsPerOctave), binCount-1)
}

// bounds holds the lower bounds of the bins, and the upper one of the last.
var bounds = newBounds()

func newBounds() (b [binCount + 1]float64) {
	for i := range b {
		b[i] = minRatio * math.Exp2(float64(i)/binsPerOctave)
	}
	return b
}
