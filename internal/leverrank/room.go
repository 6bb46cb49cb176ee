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
	// refusedPart is the part of the calls that must be refused for want of room,
	// and roomCreep changes the room after a window in which fewer were, once
	// refusals have bounded it.
	refusedPart = 0.02
	roomCreep   = 1.02
	// roomKeep is the part of what was done in such a window that is let in next.
	roomKeep = 0.97
	// roomSpare is the multiple of the demand from which on there is no limit.
	roomSpare = 1.5
)

// defaultFloors are the floors of a room that has none of its own.
var defaultFloors = Floors{0.2, 0.15, 0.05}

// Room admits the work for a group of services. It learns from the times of
// its calls how much work the services have room for, and gives that out by
// rank. The zero value is ready to use and admits all. It is safe for concurrent
// use.
type Room struct {
	// Floors are the parts of the room that the ranks keep while others take all
	// they can get; without any, defaultFloors count.
	Floors Floors

	mu     sync.Mutex
	demand Meter
	// room is the work that is admitted in seconds of work a second, 0 for no
	// limit.
	room     float64
	fraction [leverid.RankCount]float64
	carry    [leverid.RankCount]float64

	first, begun   time.Time
	admitted, done float64
	// byPart is the work of the requests whose part was done, by part.
	byPart      []float64
	calls, slow int
	refused     int
	overloaded  int
	// creeping says that the room was last bounded by refusals.
	creeping bool
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

// Observe takes in the end of a call for one part of a request of so many parts,
// the work of the whole request, and whether the call was slower than its kind of
// request can bear.
func (r *Room) Observe(part, parts int, work float64, slow bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.calls++
	r.done += work / float64(parts)
	for len(r.byPart) <= part {
		r.byPart = append(r.byPart, 0)
	}
	r.byPart[part] += work
	if slow {
		r.slow++
	}
}

// Refuse takes in that a call was refused for want of room.
func (r *Room) Refuse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.refused++
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
	r.judge(elapsed.Seconds(), now.Sub(r.first) > roomStart)
	demand := r.demand.Rates(now)
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if r.room > roomSpare*total {
		r.room, r.creeping = 0, false
	}
	r.allot(demand)
	r.begun, r.admitted, r.done, r.calls, r.slow, r.refused = now, 0, 0, 0, 0, 0
	clear(r.byPart)
}

// judge changes the room after a window of so many seconds. Slow calls count only
// if all is warm.
func (r *Room) judge(seconds float64, warm bool) {
	growth := roomGrowth
	if r.creeping {
		growth = roomCreep
	}
	switch {
	case r.calls+r.refused < roomCalls:
		r.room *= growth
		r.overloaded = 0
	case float64(r.refused) > refusedPart*float64(r.calls+r.refused):
		r.refusedWindow(seconds)
	case !warm:
	case float64(r.slow) < slowPart*float64(r.calls):
		r.room *= growth
		r.overloaded = 0
	default:
		if r.overloaded++; r.overloaded > 1 {
			r.room = max(roomCut*min(r.admitted, r.done), roomLeast*r.admitted) / seconds
			r.creeping = false
		}
	}
}

// refusedWindow bounds the room after a window in which upstreams refused.
func (r *Room) refusedWindow(seconds float64) {
	r.overloaded, r.creeping = 0, true
	// The part with the least room bounds the whole request. One of which nothing
	// is done has failed; it does not count.
	done := r.done
	for _, d := range r.byPart {
		if d > 0 {
			done = min(done, d)
		}
	}
	// What was done is what there is room for.
	r.room = roomKeep * min(r.admitted, done) / seconds
}

func (r *Room) allot(demand [leverid.RankCount]float64) {
	if r.room == 0 {
		return
	}
	before, floors := r.fraction, r.Floors
	if floors == (Floors{}) {
		floors = defaultFloors
	}
	for i, f := range Fractions(Allocate(r.room, demand, floors), demand) {
		r.fraction[i] = float64(f)
		if before[i] == 0 || before[i] == 1 {
			// VMs that see few requests must not all begin with a refusal.
			r.carry[i] = rand.Float64()
		}
	}
}
