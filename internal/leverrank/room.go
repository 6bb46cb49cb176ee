package leverrank

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// roomWindow is the time over which calls are judged.
	roomWindow = 250 * time.Millisecond
	// roomCalls is the least number of calls in a window that says anything.
	roomCalls = 20
	// slowPart is the part of the calls that must be slow in two windows
	// running: with half of them slow it is not single upstreams that are slow.
	slowPart = 0.5
	// roomCut and roomGrowth change the room after a window that was too slow
	// and after one that was not.
	roomCut    = 0.9
	roomGrowth = 1.12
	// roomLeast is the part of the work that was let in which one window leaves
	// at least: in the window after a restart little is done yet.
	roomLeast = 0.6
	// roomStart is how long after its first request a group is not judged: its
	// connections and upstreams are cold.
	roomStart = 3 * time.Second
	// roomSpare is the multiple of the demand from which on there is no limit.
	roomSpare = 1.5
)

// roomFloors are the parts of the room that the ranks keep while more urgent
// ones take all they can get.
var roomFloors = Floors{0.2, 0.15, 0.05}

// Room admits the work for a group of services. It learns from the times of
// its calls how much work the services have room for, and gives that out by
// rank. The zero value is ready to use and admits all. It is safe for concurrent
// use.
type Room struct {
	mu     sync.Mutex
	demand Meter
	// room is the work that is admitted in seconds of work a second, 0 for no
	// limit.
	room     float64
	fraction [leverid.RankCount]float64
	carry    [leverid.RankCount]float64

	first, begun time.Time
	admitted     float64
	done         float64
	calls, slow  int
	overloaded   int
}

// Admit counts offered work, in seconds, and reports whether it is let in.
func (r *Room) Admit(rank leverid.Rank, work float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.demand.AddWork(rank, work, now)
	if r.room > 0 && r.fraction[rank] < 1 {
		r.carry[rank] += r.fraction[rank]
		if r.carry[rank] < 1 {
			return false
		}
		r.carry[rank]--
	}
	r.admitted += work
	return true
}

// Observe takes in the end of a call, the work it did, and whether it was
// slower than its kind of request can bear.
func (r *Room) Observe(work float64, slow bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.calls++
	r.done += work
	if slow {
		r.slow++
	}
}

// Fraction returns the part of a rank's work that is let in.
func (r *Room) Fraction(rank leverid.Rank) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.room == 0 {
		return 1
	}
	return r.fraction[rank]
}

func (r *Room) roll(now time.Time) {
	if r.begun.IsZero() {
		r.begun, r.first = now, now
		return
	}
	elapsed := now.Sub(r.begun)
	if elapsed < roomWindow {
		return
	}
	if now.Sub(r.first) > roomStart {
		r.judge(max(roomCut*min(r.admitted, r.done), roomLeast*r.admitted) / elapsed.Seconds())
	}
	demand := r.demand.Rates(now)
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if r.room > roomSpare*total {
		r.room = 0
	}
	r.allot(demand)
	r.begun, r.admitted, r.done, r.calls, r.slow = now, 0, 0, 0, 0
}

// judge changes the room after a window. rate is what is let in if the window
// was too slow.
func (r *Room) judge(rate float64) {
	switch {
	case r.calls < roomCalls:
		r.room *= roomGrowth
		r.overloaded = 0
	case float64(r.slow) < slowPart*float64(r.calls):
		r.room *= roomGrowth
		r.overloaded = 0
	default:
		if r.overloaded++; r.overloaded > 1 {
			r.room = rate
		}
	}
}

func (r *Room) allot(demand [leverid.RankCount]float64) {
	if r.room == 0 {
		return
	}
	before := r.fraction
	for i, f := range Fractions(Allocate(r.room, demand, roomFloors), demand) {
		r.fraction[i] = float64(f)
		if before[i] == 0 || before[i] == 1 {
			// VMs that see few requests must not all begin with a refusal.
			r.carry[i] = rand.Float64()
		}
	}
}
