package leverengine

import (
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
	// maxLag is the upper bound of the estimate.
	maxLag = 15 * time.Millisecond
)

// answerLag estimates how long this VM takes from the decision on an answer
// until the answer is written, which grows with the VM's CPU load. The zero
// value is ready to use. It is safe for concurrent use.
type answerLag struct {
	mu sync.Mutex
	// mean and deviation are in nanoseconds.
	mean, deviation float64
}

// observe records the lag of one answer.
func (l *answerLag) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureInit()
	diff := float64(d) - l.mean
	l.mean += lagWeight * diff
	l.deviation += lagWeight * (math.Abs(diff) - l.deviation)
}

// estimate returns the time to reserve for writing an answer.
func (l *answerLag) estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureInit()
	return min(time.Duration(l.mean+lagDeviations*l.deviation), maxLag)
}

func (l *answerLag) ensureInit() {
	if l.mean == 0 {
		l.mean, l.deviation = initialLag, initialLag
	}
}
