package leverhealth

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// lagWeight is the weight of a new observation in the moving averages.
	lagWeight = 0.1
	// lagDeviations is the number of mean deviations that the estimate adds to
	// the mean.
	lagDeviations = 2.0
	// initialLag is the mean and the deviation before the first observation, in
	// nanoseconds.
	initialLag = 1.5 * float64(time.Millisecond)
	// defaultMaxLag is the upper bound of the estimate if none is set.
	defaultMaxLag = 15 * time.Millisecond
)

// Lag estimates an upper limit of how long a VM takes for something, such as
// writing an answer, which grows with the VM's CPU load. The zero value is ready
// to use. It is safe for concurrent use.
type Lag struct {
	// Max is the upper bound of the estimate; 0 means 15 ms. It must be set before
	// the first use.
	Max time.Duration

	mu sync.Mutex
	// mean and deviation are in nanoseconds.
	mean, deviation float64
}

// Observe records one duration.
func (l *Lag) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureInit()
	diff := float64(d) - l.mean
	l.mean += lagWeight * diff
	l.deviation += lagWeight * (math.Abs(diff) - l.deviation)
}

// Estimate returns the mean plus some mean deviations.
func (l *Lag) Estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureInit()
	return min(time.Duration(l.mean+lagDeviations*l.deviation), cmp.Or(l.Max, defaultMaxLag))
}

func (l *Lag) ensureInit() {
	if l.mean == 0 {
		l.mean, l.deviation = initialLag, initialLag
	}
}
