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
	// serviceWeight is the weight of a new service time in the average.
	serviceWeight = 0.05
	// startService is assumed before the first reply.
	startService = 5 * time.Millisecond
	// admitPeriod is how often the admitted fractions are worked out.
	admitPeriod = 50 * time.Millisecond
	// trimPeriod is how often the estimate of the capacity is corrected.
	trimPeriod = 100 * time.Millisecond
	trimDown   = 0.92
	trimUp     = 1.04
	trimLeast  = 0.3
	trimMost   = 1.6
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

	took     time.Duration // mean time of an attempt
	trim     float64
	trimmed  time.Time
	leastQ   int
	worked   time.Time
	grant    levermsg.RankRates
	admit    [leverid.RankCount]float32
	admitted bool
}

func newGate(h *Home, s leverid.ServiceID, u leversnapshot.Upstream, p Policy) *gate {
	g := &gate{
		home: h, service: s, upstream: u,
		jobs: make(map[*leverrank.Ticket]*job), running: make(map[*job]bool),
		took: startService, trim: 1, admit: everything,
	}
	g.setPolicy(p)
	return g
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
	slots := g.upstream.Slots
	if p.Share > 0 && p.Share < 1 {
		slots = max(int(float64(slots)*p.Share+0.5), 1)
	}
	factory, err := leverlimit.Limiters.Lookup(p.Limit)
	if err != nil {
		// The configuration was checked; an unknown name can only be an empty
		// one in a test.
		g.limiter = leverlimit.NewAdaptive(slots)
		return
	}
	g.limiter = factory(slots)
}

func (g *gate) report(vm leverid.VMID, rates levermsg.RankRates, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports.Set(vm, rates, share, g.home.Timer.Now())
}

// submit queues a job, or refuses it if it can't be done in time.
func (g *gate) submit(j *job) {
	now := g.home.Timer.Now()
	g.mu.Lock()
	g.refresh(now)
	if now.Add(g.expectedWait(j.query.Rank) + g.took/2).After(j.query.Deadline) {
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

// expectedWait is the time until a new job of a rank gets a slot, at the rate
// that the rank is granted.
func (g *gate) expectedWait(r leverid.Rank) time.Duration {
	limit := g.limiter.Limit(g.home.Timer.Now())
	if len(g.running) < limit {
		return 0
	}
	rate := g.capacity()
	if g.admitted && g.grant[r] > 0 && g.queue.Total() > limit {
		rate = min(rate, max(g.grant[r], g.queue.Floors[r]*rate))
	}
	ahead := float64(g.queue.Len(r) + 1)
	if !g.admitted {
		ahead = float64(g.queue.Ahead(r) + 1)
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

func (g *gate) capacity() float64 {
	limit := g.limiter.Limit(g.home.Timer.Now())
	return float64(limit) / max(g.took, 100*time.Microsecond).Seconds()
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
		ready = append(ready, j)
	}
	g.leastQ = min(g.leastQ, g.queue.Total())
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
		g.took += time.Duration(serviceWeight * float64(res.Service-g.took))
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

// alone reports whether all running jobs belong to one request.
func (g *gate) alone(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other := range g.running {
		if other.query.Fingerprint != j.query.Fingerprint {
			return false
		}
	}
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
	res.Admit = g.admit
	return res
}

// refresh works out the admitted fractions from the demand that the entry VMs
// report. The estimate of the capacity is corrected by the queue: a queue that
// never emptied means that it is too high, one that did that it may be too low.
func (g *gate) refresh(now time.Time) {
	if now.Sub(g.trimmed) >= trimPeriod {
		g.correct()
		g.trimmed = now
		g.leastQ = g.queue.Total()
	}
	if now.Sub(g.worked) < admitPeriod {
		return
	}
	g.worked = now
	demand := g.reports.Sum(now)
	g.grant = leverrank.Allocate(g.capacity()*g.trim, demand, g.queue.Floors)
	g.admit = leverrank.Fractions(g.grant, demand)
	g.admitted = true
}

func (g *gate) correct() {
	limit := g.limiter.Limit(g.home.Timer.Now())
	switch {
	case g.leastQ > limit:
		g.trim = max(g.trim*trimDown, trimLeast)
	case g.leastQ == 0:
		g.trim = min(g.trim*trimUp, trimMost)
	}
}
