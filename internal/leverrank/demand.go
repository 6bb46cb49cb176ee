package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

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
	rate  levermsg.RankRates
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
func (m *Meter) Rates(now time.Time) levermsg.RankRates {
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

// reportLife is how long an entry VM's last report counts.
const reportLife = 2 * time.Second

type report struct {
	rates levermsg.RankRates
	at    time.Time
}

// Reports sums up the demand that entry VMs report for one upstream. The zero
// value is ready to use. It is not safe for concurrent use.
type Reports struct {
	byVM map[leverid.VMID]report
}

// Set replaces the report of one VM.
func (p *Reports) Set(vm leverid.VMID, rates levermsg.RankRates, now time.Time) {
	if p.byVM == nil {
		p.byVM = make(map[leverid.VMID]report)
	}
	p.byVM[vm] = report{rates: rates, at: now}
}

// Sum returns the demand over all VMs whose report is fresh.
func (p *Reports) Sum(now time.Time) levermsg.RankRates {
	var sum levermsg.RankRates
	for vm, rep := range p.byVM {
		if now.Sub(rep.at) > reportLife {
			delete(p.byVM, vm)
			continue
		}
		for r := range sum {
			sum[r] += rep.rates[r]
		}
	}
	return sum
}
