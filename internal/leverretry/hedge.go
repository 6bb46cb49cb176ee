package leverretry

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverplug"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Hedger decides when a second attempt goes out beside a slow first one.
// Implementations are safe for concurrent use.
type Hedger interface {
	// Delay returns how long a first attempt may take before it is hedged. It
	// returns false if no hedge is to be sent.
	Delay(now time.Time) (time.Duration, bool)
	// Observe takes in the time that a successful attempt took.
	Observe(d time.Duration, now time.Time)
}

// Hedgers holds the hedge policies. A factory takes the quantile, in (0, 1).
var Hedgers leverplug.Registry[func(quantile float64) Hedger]

func init() {
	Hedgers.Register("quantile", func(q float64) Hedger { return &QuantileHedger{Quantile: q} })
	Hedgers.Register("none", func(float64) Hedger { return NoHedge{} })
}

// NoHedge never hedges. It is a baseline.
type NoHedge struct{}

// Delay returns false.
func (NoHedge) Delay(time.Time) (time.Duration, bool) { return 0, false }

// Observe does nothing.
func (NoHedge) Observe(time.Duration, time.Time) {}

const (
	hedgeWindows     = 4
	hedgeWindow      = 2 * time.Second
	hedgeLowest      = 50           // microseconds
	hedgeHighest     = 60 * 1000000 // microseconds
	hedgeDigits      = 2
	hedgeLeastCount  = 30
	hedgeRefresh     = 100 * time.Millisecond
	hedgeLeastDelay  = time.Millisecond
	microsPerPercent = 100
)

// QuantileHedger hedges after the observed quantile of the last seconds'
// latencies. It does not hedge before it has seen enough of them.
type QuantileHedger struct {
	// Quantile is in (0, 1).
	Quantile float64

	mu     sync.Mutex
	hist   *hdrhistogram.WindowedHistogram
	turned time.Time
	asked  time.Time
	delay  time.Duration
	seen   int
}

// Delay returns the observed quantile.
func (h *QuantileHedger) Delay(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen < hedgeLeastCount {
		return 0, false
	}
	if now.Sub(h.asked) >= hedgeRefresh {
		h.asked = now
		v := h.hist.Merge().ValueAtQuantile(h.Quantile * microsPerPercent)
		h.delay = max(time.Duration(v)*time.Microsecond, hedgeLeastDelay)
	}
	return h.delay, true
}

// Observe records a latency. A latency above a minute counts as a minute.
func (h *QuantileHedger) Observe(d time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist == nil {
		h.hist = hdrhistogram.NewWindowed(hedgeWindows, hedgeLowest, hedgeHighest, hedgeDigits)
		h.turned = now
	}
	if now.Sub(h.turned) >= hedgeWindow {
		h.hist.Rotate()
		h.turned = now
	}
	us := min(max(d.Microseconds(), hedgeLowest), hedgeHighest)
	if err := h.hist.Current.RecordValue(us); err != nil {
		return
	}
	h.seen++
}
