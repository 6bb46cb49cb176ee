package leverengine

import (
	"math"
	"sync"
	"time"
)

const (
	// lagGain is the weight of one more observation.
	lagGain = 0.1
	// lagDeviations is how many mean deviations are kept back beside the mean.
	lagDeviations = 2.0
	// firstLag stands for the mean and the deviation before any observation.
	firstLag = 1.5 * float64(time.Millisecond)
	// mostLag bounds what is kept back for this VM's own work.
	mostLag = 15 * time.Millisecond
)

// lag is how long this VM takes from the decision to answer until the answer
// is written. It grows with the load of the VM's processor. The zero value is
// ready to use. It is safe for concurrent use.
type lag struct {
	mu              sync.Mutex
	mean, deviation float64
}

// observe takes in one answer's time.
func (l *lag) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	off := float64(d) - l.mean
	l.mean += lagGain * off
	l.deviation += lagGain * (math.Abs(off) - l.deviation)
}

// keep returns the time to keep back.
func (l *lag) keep() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	return min(time.Duration(l.mean+lagDeviations*l.deviation), mostLag)
}

func (l *lag) begin() {
	if l.mean == 0 {
		l.mean, l.deviation = firstLag, firstLag
	}
}
