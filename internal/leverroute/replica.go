package leverroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// firstAvoid is how long an upstream is avoided after one failure. It
	// doubles with each further failure up to maxAvoid.
	firstAvoid = 250 * time.Millisecond
	maxAvoid   = 5 * time.Second
	// drainAvoid is how long an upstream's own word that it is draining
	// counts.
	drainAvoid = 30 * time.Second
	// coldTime is how long an upstream that came back gets less work.
	coldTime = 3 * time.Second
	// farCost is added to the estimate of an upstream in another domain.
	farCost = 3 * time.Millisecond
	// startLatency is assumed of an upstream that was never called.
	startLatency = 5 * time.Millisecond
	// noise breaks ties between VMs that see the same figures.
	noise = 0.25
)

type upstreamView struct {
	latency     time.Duration
	outstanding int
	slots       int
	failures    int
	avoidUntil  time.Time
	coldUntil   time.Time
	draining    bool
}

// Candidate is a replica that a shard can be asked at.
type Candidate struct {
	Upstream leverid.UpstreamID
	Domain   leverid.Domain
	Slots    int
}

// Replicas is one VM's view of the upstreams, learned only from attempts. It
// is safe for concurrent use.
type Replicas struct {
	mu    sync.Mutex
	rng   *rand.Rand
	near  leverid.Domain
	views map[leverid.UpstreamID]*upstreamView
}

// NewReplicas returns an empty view for a VM in the failure domain near. The
// seed makes its choices repeatable.
func NewReplicas(near leverid.Domain, seed uint64) *Replicas {
	return &Replicas{
		near:  near,
		rng:   rand.New(rand.NewPCG(seed, seed+1)),
		views: make(map[leverid.UpstreamID]*upstreamView),
	}
}

// Choose returns the candidate with the least expected time, leaving out those
// for which tried returns true. If every candidate left looks bad, it returns
// the best of them all the same. It returns false if none is left.
func (p *Replicas) Choose(cs []Candidate, tried func(leverid.UpstreamID) bool, now time.Time) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Candidate
	var bestCost float64
	found := false
	for _, c := range cs {
		if tried != nil && tried(c.Upstream) {
			continue
		}
		cost := p.cost(c, now)
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// avoidCost outweighs every latency, so that an avoided upstream is chosen only
// when all are avoided.
const avoidCost = 1e6

// cost is the expected time in milliseconds.
func (p *Replicas) cost(c Candidate, now time.Time) float64 {
	v := p.view(c)
	ms := float64(v.latency) / float64(time.Millisecond)
	ms *= 1 + float64(v.outstanding)/float64(max(v.slots, 1))
	if c.Domain != p.near {
		ms += float64(farCost) / float64(time.Millisecond)
	}
	if now.Before(v.coldUntil) {
		ms *= 1 + 4*float64(v.coldUntil.Sub(now))/float64(coldTime)
	}
	ms *= 1 + noise*p.rng.Float64()
	if now.Before(v.avoidUntil) {
		ms += avoidCost
	}
	return ms
}

func (p *Replicas) view(c Candidate) *upstreamView {
	v := p.views[c.Upstream]
	if v == nil {
		v = &upstreamView{latency: startLatency}
		p.views[c.Upstream] = v
	}
	if c.Slots > 0 {
		v.slots = c.Slots
	}
	return v
}

// Started counts an attempt that was sent towards u.
func (p *Replicas) Started(u leverid.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view(Candidate{Upstream: u}).outstanding++
}

// Change says what an ended attempt showed about an upstream.
type Change int

// The changes.
const (
	Unchanged Change = iota
	WentDown
	CameBack
	BeganDraining
)

// Ended takes in how an attempt at u ended and how long it took. It returns
// what changed, for the time line.
func (p *Replicas) Ended(u leverid.UpstreamID, o levermsg.Outcome, took time.Duration, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.view(Candidate{Upstream: u})
	v.outstanding = max(v.outstanding-1, 0)
	switch o {
	case levermsg.OK:
		return v.succeeded(took, now)
	case levermsg.Reset, levermsg.Unreachable, levermsg.Failed, levermsg.Mismatch:
		return v.failed(now)
	case levermsg.Draining:
		return v.drains(now)
	case levermsg.TimedOut, levermsg.Withdrawn:
		v.slow(took)
	}
	return Unchanged
}

func (v *upstreamView) succeeded(took time.Duration, now time.Time) Change {
	v.blend(took)
	if v.failures == 0 && !v.draining {
		return Unchanged
	}
	v.failures = 0
	v.draining = false
	v.avoidUntil = time.Time{}
	v.coldUntil = now.Add(coldTime)
	return CameBack
}

func (v *upstreamView) failed(now time.Time) Change {
	v.failures++
	wait := firstAvoid << min(v.failures-1, 8)
	v.avoidUntil = now.Add(min(wait, maxAvoid))
	if v.failures == 1 {
		return WentDown
	}
	return Unchanged
}

func (v *upstreamView) drains(now time.Time) Change {
	fresh := !v.draining
	v.draining = true
	v.avoidUntil = now.Add(drainAvoid)
	if fresh {
		return BeganDraining
	}
	return Unchanged
}

// slow counts the time of an attempt that got no answer, if that is longer
// than what was expected.
func (v *upstreamView) slow(took time.Duration) {
	if took > v.latency {
		v.blend(took)
	}
}

func (v *upstreamView) blend(took time.Duration) {
	v.latency += time.Duration(latencyWeight * float64(took-v.latency))
}

// Avoided reports whether u is avoided because of what it did last.
func (p *Replicas) Avoided(u leverid.UpstreamID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.views[u]
	return v != nil && now.Before(v.avoidUntil)
}
