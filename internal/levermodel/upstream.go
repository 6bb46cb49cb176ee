package levermodel

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Behaviour is how an upstream works at present. The zero value answers at once
// and never refuses.
type Behaviour struct {
	// Slots is the number of requests worked on at a time, Backlog the number
	// that wait beyond them before requests are shed. Zero slots are no limit.
	Slots   int `json:"slots"`
	Backlog int `json:"backlog"`
	// Median and Sigma shape the lognormal time of the work.
	Median time.Duration `json:"median-ns"`
	Sigma  float64       `json:"sigma"`
	// Straggle multiplies the time of the work; 0 counts as 1.
	Straggle float64 `json:"straggle"`
	// Cold is how long the upstream is slow after its start, ColdFactor how
	// much slower at first.
	Cold       time.Duration `json:"cold-ns"`
	ColdFactor float64       `json:"cold-factor"`
	// Shed refuses every request, Drain too and says that the upstream leaves.
	Shed  bool `json:"shed"`
	Drain bool `json:"drain"`
	// Partial marks every answer as incomplete and drops its last record.
	Partial bool `json:"partial"`
	// Restart is how long the upstream is away after a crash.
	Restart time.Duration `json:"restart-ns"`
	// WrongEcho answers so many requests with another request's id.
	WrongEcho int `json:"wrong-echo"`
	// Oldest and Newest bound the index versions. Shards gives the number of
	// shards of each version.
	Oldest leverid.IndexVersion         `json:"oldest"`
	Newest leverid.IndexVersion         `json:"newest"`
	Shards map[leverid.IndexVersion]int `json:"shards"`
}

// Run is one entry of the run log.
type Run struct {
	Upstream leverid.UpstreamID   `json:"upstream"`
	Service  leverid.ServiceID    `json:"service"`
	Request  leverid.RequestID    `json:"request"`
	Version  leverid.IndexVersion `json:"version"`
	Rank     leverid.Rank         `json:"rank"`
	Once     bool                 `json:"once"`
	At       time.Time            `json:"at"`
	// Done says that the work was finished and not cancelled.
	Done bool `json:"done"`
}

// End is how a call of the model ends.
type End int

// The ends.
const (
	// Replied calls have a reply.
	Replied End = iota
	// Broken calls end without one: the process crashed or was away.
	Broken
	// Refused calls met no process at all.
	Refused
)

// Upstream is one modelled process. Use NewUpstream. It is safe for concurrent
// use.
type Upstream struct {
	id   leverid.UpstreamID
	seed uint64
	log  func(Run)
	// OnAway, if set before the first call, is told when the process is gone
	// until a time.
	OnAway func(until time.Time)

	mu      sync.Mutex
	b       Behaviour
	started time.Time
	away    time.Time
	busy    int
	waiting int
	served  uint64
	crashes int
	crashed chan struct{}
	free    chan struct{}
}

// NewUpstream returns a process that starts now. log, which may be nil, gets
// each run.
func NewUpstream(id leverid.UpstreamID, b Behaviour, seed uint64, log func(Run)) *Upstream {
	return &Upstream{
		id: id, b: b, seed: seed, log: log, started: time.Now(),
		crashed: make(chan struct{}), free: make(chan struct{}, 1),
	}
}

// ID returns the process's id.
func (u *Upstream) ID() leverid.UpstreamID { return u.id }

// Set changes the behaviour.
func (u *Upstream) Set(change func(*Behaviour)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.b)
}

// Behaviour returns the present behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.b
}

// Crashes returns how often the process crashed.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Crash ends the process; all calls break. It is away for the behaviour's
// restart time, then starts cold.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash()
}

func (u *Upstream) crash() {
	u.crashes++
	u.end()
	u.leave(u.b.Restart)
}

// end breaks all calls.
func (u *Upstream) end() {
	close(u.crashed)
	u.crashed = make(chan struct{})
	u.busy, u.waiting = 0, 0
}

func (u *Upstream) leave(d time.Duration) {
	u.away = time.Now().Add(d)
	u.started = u.away
	if u.OnAway != nil {
		u.OnAway(u.away)
	}
}

// Lose takes the process away for good, or for d.
func (u *Upstream) Lose(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end()
	u.leave(d)
}

// Do handles one query.
func (u *Upstream) Do(ctx context.Context, req *leverupstream.Call) (leverupstream.Reply, End) {
	u.mu.Lock()
	crashed := u.crashed
	if time.Now().Before(u.away) {
		u.mu.Unlock()
		return leverupstream.Reply{}, Refused
	}
	if reply, refused := u.refuse(req); refused {
		u.mu.Unlock()
		return reply, Replied
	}
	u.waiting++
	u.mu.Unlock()
	if end := u.acquire(ctx, crashed); end != Replied {
		return leverupstream.Reply{}, end
	}
	return u.work(ctx, crashed, req)
}

// refuse returns the reply of a request that is not taken in.
func (u *Upstream) refuse(req *leverupstream.Call) (leverupstream.Reply, bool) {
	r := leverupstream.Reply{Request: req.ID, Versions: leverupstream.Versions{Oldest: u.b.Oldest, Newest: u.b.Newest}}
	switch {
	case u.b.Drain:
		r.Reason = leverupstream.ReasonDraining
	case u.b.Shed, u.b.Slots > 0 && u.busy+u.waiting >= u.b.Slots+u.b.Backlog:
		r.Reason = leverupstream.ReasonShed
	case time.Now().After(req.Due):
		r.Reason = leverupstream.ReasonExpired
	case req.Shard.Version < u.b.Oldest:
		r.Reason = leverupstream.ReasonGone
	case req.Shard.Version > u.b.Newest:
		r.Reason = leverupstream.ReasonNotYet
	}
	return r, r.Reason != ""
}

// acquire waits for a slot.
func (u *Upstream) acquire(ctx context.Context, crashed chan struct{}) End {
	for {
		u.mu.Lock()
		if u.crashed != crashed {
			u.mu.Unlock()
			return Broken
		}
		if u.b.Slots == 0 || u.busy < u.b.Slots {
			u.waiting--
			u.busy++
			u.wake()
			u.mu.Unlock()
			return Replied
		}
		u.mu.Unlock()
		select {
		case <-u.free:
		case <-crashed:
			return Broken
		case <-ctx.Done():
			u.mu.Lock()
			if u.crashed == crashed {
				u.waiting--
			}
			u.mu.Unlock()
			return Broken
		}
	}
}

// wake lets one more waiting request look for a slot.
func (u *Upstream) wake() {
	if u.waiting > 0 && u.busy < u.b.Slots {
		select {
		case u.free <- struct{}{}:
		default:
		}
	}
}

func (u *Upstream) release(crashed chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed != crashed {
		return
	}
	u.busy--
	u.wake()
}

func (u *Upstream) work(ctx context.Context, crashed chan struct{}, req *leverupstream.Call) (leverupstream.Reply, End) {
	defer u.release(crashed)
	if time.Now().After(req.Due) {
		return leverupstream.Reply{Request: req.ID, Reason: leverupstream.ReasonExpired}, Replied
	}
	var body Body
	// A body that is not the model's costs the usual time.
	_ = json.Unmarshal(req.Body, &body)
	run := Run{
		Upstream: u.id, Service: req.Shard.Service, Request: req.ID,
		Version: req.Shard.Version, Rank: req.Rank, Once: !req.Repeatable, At: time.Now(),
	}
	t := time.NewTimer(u.duration(&body))
	defer t.Stop()
	select {
	case <-t.C:
	case <-crashed:
		u.note(run)
		return leverupstream.Reply{}, Broken
	case <-ctx.Done():
		u.note(run)
		return leverupstream.Reply{}, Broken
	}
	run.Done = true
	u.note(run)
	if body.Poison {
		u.mu.Lock()
		if u.crashed == crashed {
			u.crash()
		}
		u.mu.Unlock()
		return leverupstream.Reply{}, Broken
	}
	return u.reply(req, &body), Replied
}

func (u *Upstream) note(r Run) {
	if u.log != nil {
		u.log(r)
	}
}

func (u *Upstream) reply(req *leverupstream.Call, body *Body) leverupstream.Reply {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := leverupstream.Reply{
		Request: req.ID, Run: leverid.MayHaveRun,
		Versions: leverupstream.Versions{Oldest: u.b.Oldest, Newest: u.b.Newest},
	}
	if u.b.WrongEcho > 0 {
		u.b.WrongEcho--
		r.Request += "-other"
	}
	if body.Record != "" {
		return r
	}
	r.Records = page(records(req.Shard.Service, req.Shard.ID, u.b.Shards[req.Shard.Version], req.Shard.Version), req)
	if u.b.Partial && len(r.Records) > 0 {
		r.Partial = true
		r.Records = r.Records[:len(r.Records)-1]
	}
	return r
}

// duration draws the time of one piece of work from the seed, the upstream and
// the number of the piece.
func (u *Upstream) duration(body *Body) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	h := leverid.Hash(string(u.id), strconv.FormatUint(u.served, 10), strconv.FormatUint(u.seed, 10))
	d := float64(u.b.Median) * math.Exp(u.b.Sigma*normal(h))
	if u.b.Straggle > 0 {
		d *= u.b.Straggle
	}
	if body.Cost > 0 {
		d *= body.Cost
	}
	if age := time.Since(u.started); age < u.b.Cold && u.b.ColdFactor > 1 {
		d *= 1 + (u.b.ColdFactor-1)*(1-float64(age)/float64(u.b.Cold))
	}
	return time.Duration(d)
}

// normal turns a hash into a standard normal number.
func normal(h uint64) float64 {
	const halfBits = 32
	u1 := (float64(h>>halfBits) + 1) / (1 << halfBits)
	u2 := float64(h&(1<<halfBits-1)) / (1 << halfBits)
	return math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
}
