package leverrank

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverplug"
)

// Admitter decides before the fan-out whether a query of one service is let
// in. Implementations are safe for concurrent use.
type Admitter interface {
	// Admit counts an offered query and reports whether it is let in.
	Admit(r leverid.Rank, now time.Time) bool
	// Offered returns the offered rates for the reports to homes.
	Offered(now time.Time) levermsg.RankRates
	// Feedback sets the fraction of each rank for which the service has room.
	Feedback(fractions [leverid.RankCount]float32, now time.Time)
}

// Admitters holds the admission policies.
var Admitters leverplug.Registry[func() Admitter]

func init() {
	Admitters.Register("floors", func() Admitter { return &FloorAdmitter{} })
	Admitters.Register("open", func() Admitter { return &OpenAdmitter{} })
}

// OpenAdmitter lets every query in. It is the baseline.
type OpenAdmitter struct {
	mu    sync.Mutex
	meter Meter
}

// Admit counts the query and returns true.
func (a *OpenAdmitter) Admit(r leverid.Rank, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Add(r, now)
	return true
}

// Offered returns the offered rates.
func (a *OpenAdmitter) Offered(now time.Time) levermsg.RankRates {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meter.Rates(now)
}

// Feedback does nothing.
func (a *OpenAdmitter) Feedback([leverid.RankCount]float32, time.Time) {}

// feedbackLife is how long a fraction counts without a newer one. After it the
// admitter lets work in again, so that it learns anew.
const feedbackLife = 2 * time.Second

// FloorAdmitter lets in the fraction of each rank that the homes report room
// for. The fractions already hold each rank's floor. Admission is spread
// evenly: of a fraction of one tenth, each tenth query is let in.
type FloorAdmitter struct {
	mu       sync.Mutex
	meter    Meter
	fraction [leverid.RankCount]float64
	known    time.Time
	carry    [leverid.RankCount]float64
}

// Admit counts the query and reports whether it is let in.
func (a *FloorAdmitter) Admit(r leverid.Rank, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Add(r, now)
	if a.known.IsZero() || now.Sub(a.known) > feedbackLife || a.fraction[r] >= 1 {
		return true
	}
	a.carry[r] += a.fraction[r]
	if a.carry[r] < 1 {
		return false
	}
	a.carry[r]--
	return true
}

// Offered returns the offered rates.
func (a *FloorAdmitter) Offered(now time.Time) levermsg.RankRates {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meter.Rates(now)
}

// Feedback sets the fractions.
func (a *FloorAdmitter) Feedback(f [leverid.RankCount]float32, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := range f {
		a.fraction[r] = float64(f[r])
		if a.known.IsZero() {
			// VMs that see few queries must not all begin with a refusal.
			a.carry[r] = rand.Float64()
		}
	}
	a.known = now
}
