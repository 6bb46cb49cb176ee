package leverhome

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlimit"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

const (
	// tookWeight is the weight of a new time in the mean time of an attempt.
	tookWeight = 0.05
	// startTook is assumed before the first reply.
	startTook = 5 * time.Millisecond
	// leastTook bounds the estimate of the capacity.
	leastTook = 100 * time.Microsecond
	// roomPeriod is how often the room is worked out.
	roomPeriod = 50 * time.Millisecond
	// usablePart of the capacity is given out, so that queues can shrink.
	usablePart = 0.985
	// drainTime is the time in which a queue that stands is to be worked off.
	drainTime = 200 * time.Millisecond
	// leastPart of the capacity is given out however long the queue is.
	leastPart = 0.2
	// waitPart of the time left may pass in the queue.
	waitPart = 0.8
)

// gate is the way to one upstream: its queue, its slots and its measure of how
// much work it has room for.
type gate struct {
	home     *Home
	service  leverid.ServiceID
	upstream leversnapshot.Upstream

	mu      sync.Mutex
	policy  Policy
	limiter leverlimit.Limiter
	queue   leverrank.Queue
	jobs    map[*leverrank.Ticket]*job
	running map[*job]bool
	reports leverrank.Reports
	served  leverrank.Meter

	// took is the mean time of an attempt.
	took time.Duration
	// standing is the shortest queue since the room was worked out last.
	standing int
	worked   time.Time
	room     levermsg.Room
}

func newGate(h *Home, s leverid.ServiceID, u leversnapshot.Upstream, p Policy) *gate {
	g := &gate{
		home: h, service: s, upstream: u,
		jobs: make(map[*leverrank.Ticket]*job), running: make(map[*job]bool),
		took: startTook,
	}
	g.setPolicy(p)
	return g
}

// target returns the upstream as the index describes it now.
func (g *gate) target() leversnapshot.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream
}

// setUpstream takes in that the index describes the upstream anew: it moved, or
// has other slots.
func (g *gate) setUpstream(u leversnapshot.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.upstream == u {
		return
	}
	slots := g.upstream.Slots
	g.upstream = u
	if slots != u.Slots {
		g.newLimiter()
	}
}

// setPolicy puts a policy in force. A limiter starts anew only if its own part
// of the policy changed.
func (g *gate) setPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Floors = p.Floors
	if g.limiter != nil && p.Limit == g.policy.Limit && p.Share == g.policy.Share {
		return
	}
	g.policy = p
	g.newLimiter()
}

func (g *gate) newLimiter() {
	slots := g.upstream.Slots
	if share := g.policy.Share; share > 0 && share < 1 {
		slots = max(int(float64(slots)*share+0.5), 1)
	}
	factory, err := leverlimit.Limiters.Lookup(g.policy.Limit)
	if err != nil {
		// The configuration was checked; an unknown name can only be an empty
		// one in a test.
		g.limiter = leverlimit.NewAdaptive(slots)
		return
	}
	g.limiter = factory(slots)
}

func (g *gate) report(vm leverid.VMID, rates levermsg.RankRates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports.Set(vm, rates, g.home.Timer.Now())
}

// submit queues a job, or refuses it if it can't be done in time.
func (g *gate) submit(j *job) {
	now := g.home.Timer.Now()
	g.mu.Lock()
	g.refresh(now)
	if g.hopeless(j, now) {
		g.mu.Unlock()
		g.home.Counters.Add("home-shed-"+j.query.Rank.String(), 1)
		j.end(g.hint(levermsg.Result{Outcome: levermsg.Shed, Detail: "the queue is too long for the deadline"}))
		return
	}
	j.ticket.Queued = now
	g.queue.Push(&j.ticket)
	g.jobs[&j.ticket] = j
	ready, late := g.next(now)
	g.mu.Unlock()
	g.launch(ready, late)
}

// hopeless reports whether a new job would wait for too much of its time.
func (g *gate) hopeless(j *job, now time.Time) bool {
	left := j.query.Deadline.Sub(now) - g.took/2
	wait := g.expectedWait(j.query.Rank, now)
	return wait > 0 && float64(wait) > waitPart*float64(left)
}

// expectedWait is the time until a new job of a rank gets a slot, at the rate
// that is left to the rank by the others.
func (g *gate) expectedWait(r leverid.Rank, now time.Time) time.Duration {
	if len(g.running) < g.limiter.Limit(now) {
		return 0
	}
	capacity := g.capacity(now)
	served := g.served.Rates(now)
	rate := capacity
	for other := range served {
		switch {
		case other < int(r):
			rate -= served[other]
		case other > int(r):
			rate -= min(served[other], g.queue.Floors[other]*capacity)
		}
	}
	rate = max(rate, g.queue.Floors[r]*capacity, 1)
	return time.Duration(float64(g.queue.Len(r)+1) / rate * float64(time.Second))
}

// capacity is the work per second that the upstream does with all slots busy.
func (g *gate) capacity(now time.Time) float64 {
	return float64(g.limiter.Limit(now)) / max(g.took, leastTook).Seconds()
}

// next takes the jobs that may start now out of the queue. Jobs whose deadline
// has passed are returned apart.
func (g *gate) next(now time.Time) (ready, late []*job) {
	limit := g.limiter.Limit(now)
	for len(g.running) < limit {
		t := g.queue.Pop()
		if t == nil {
			break
		}
		j := g.jobs[t]
		delete(g.jobs, t)
		if !now.Before(j.query.Deadline) {
			late = append(late, j)
			continue
		}
		g.running[j] = true
		g.served.Add(j.query.Rank, now)
		ready = append(ready, j)
	}
	g.standing = min(g.standing, g.queue.Total())
	return ready, late
}

func (g *gate) launch(ready, late []*job) {
	for _, j := range late {
		j.end(levermsg.Result{Outcome: levermsg.Expired, Detail: "the deadline passed in the queue"})
	}
	for _, j := range ready {
		j.started = g.home.Timer.Now()
		go j.run(g)
	}
}

// finish gives the job's slot back and learns from its end.
func (g *gate) finish(j *job, res levermsg.Result) {
	now := g.home.Timer.Now()
	g.mu.Lock()
	delete(g.running, j)
	g.limiter.Observe(res.Outcome, now)
	if res.Outcome == levermsg.OK {
		g.took += time.Duration(tookWeight * float64(res.Service-g.took))
	}
	g.refresh(now)
	ready, late := g.next(now)
	g.mu.Unlock()
	g.launch(ready, late)
}

// withdraw takes a queued job out. It returns false if the job is not queued.
func (g *gate) withdraw(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs[&j.ticket] == nil {
		return false
	}
	delete(g.jobs, &j.ticket)
	g.queue.Withdraw(&j.ticket)
	return true
}

func (g *gate) busy() (waiting, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Total(), len(g.running)
}

// hint adds what the gate has room for to a result.
func (g *gate) hint(res levermsg.Result) levermsg.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	res.Room = g.room
	return res
}

// refresh works the room out: the capacity, less what it takes to work off a
// queue that stands longer than the slots.
func (g *gate) refresh(now time.Time) {
	if now.Sub(g.worked) < roomPeriod {
		return
	}
	g.worked = now
	capacity := g.capacity(now)
	excess := float64(g.standing - g.limiter.Limit(now))
	room := usablePart*capacity - max(excess, 0)/drainTime.Seconds()
	g.room = levermsg.Room{Capacity: max(room, leastPart*capacity), Demand: g.reports.Sum(now)}
	g.standing = g.queue.Total()
}
