package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Rates is a rate for each rank.
type Rates [leverid.RankCount]float64

// demandWindow is the time over which an entry VM averages what it is offered.
const demandWindow = 250 * time.Millisecond

// surge is how many times the usual rate a window must reach before its end to
// count at once.
const surge = 2

// Meter measures the offered rate of each rank. The zero value is ready to
// use. It is not safe for concurrent use.
type Meter struct {
	start time.Time
	count [leverid.RankCount]float64
	rate  Rates
	warm  bool
}

// Add counts one offered query.
func (m *Meter) Add(r leverid.Rank, now time.Time) { m.AddWork(r, 1, now) }

// AddWork counts offered work.
func (m *Meter) AddWork(r leverid.Rank, work float64, now time.Time) {
	m.roll(now)
	m.count[r] += work
}

// Rates returns the offered rates. While a window runs, a rate that is already
// far above the last windows' shows at once.
func (m *Meter) Rates(now time.Time) Rates {
	m.roll(now)
	out := m.rate
	for r := range out {
		if fresh := m.count[r] / demandWindow.Seconds(); fresh > surge*out[r] {
			out[r] = fresh
		}
	}
	return out
}

func (m *Meter) roll(now time.Time) {
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
		fresh := m.count[r] / elapsed.Seconds()
		if m.warm {
			fresh = weight*fresh + (1-weight)*m.rate[r]
		}
		m.rate[r] = fresh
		m.count[r] = 0
	}
	m.warm = true
	m.start = now
}
