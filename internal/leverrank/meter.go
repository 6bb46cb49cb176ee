package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Rates holds a rate by rank, usually in seconds of work per second.
type Rates [leverid.RankCount]float64

// demandWindow is the interval of one rate measurement.
const demandWindow = 250 * time.Millisecond

// surgeFactor is the multiple of the average rate above which the rate of the
// unfinished window is used instead.
const surgeFactor = 2

// Meter measures the offered rate of each rank. The zero value is ready to use.
// It is not safe for concurrent use.
type Meter struct {
	start time.Time
	count [leverid.RankCount]float64
	// rate is the moving average over the finished windows.
	rate     Rates
	averaged bool
}

// Add counts one offered request as one unit of work.
func (m *Meter) Add(r leverid.Rank, now time.Time) { m.AddWork(r, 1, now) }

// AddWork counts offered work.
func (m *Meter) AddWork(r leverid.Rank, work float64, now time.Time) {
	m.advance(now)
	m.count[r] += work
}

// Rates returns the offered rates. A rate of the current window that is far
// above the average replaces it before the window ends.
func (m *Meter) Rates(now time.Time) Rates {
	m.advance(now)
	out := m.rate
	for r := range out {
		if current := m.count[r] / demandWindow.Seconds(); current > surgeFactor*out[r] {
			out[r] = current
		}
	}
	return out
}

func (m *Meter) advance(now time.Time) {
	if m.start.IsZero() {
		m.start = now
		return
	}
	elapsed := now.Sub(m.start)
	if elapsed < demandWindow {
		return
	}
	const weight = 0.25
	for r := range m.rate {
		current := m.count[r] / elapsed.Seconds()
		if m.averaged {
			current = weight*current + (1-weight)*m.rate[r]
		}
		m.rate[r] = current
		m.count[r] = 0
	}
	m.averaged = true
	m.start = now
}
