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

// Behaviour configures how an upstream processes requests. The zero value
// responds immediately and rejects only requests that have expired or name an
// index version other than 0.
type Behaviour struct {
	// Slots is the number of requests processed concurrently; 0 means no limit.
	// Backlog is the number of requests that may wait for a slot before the
	// upstream sheds load.
	Slots   int `json:"slots"`
	Backlog int `json:"backlog"`
	// Median and Sigma are the parameters of the lognormal processing time.
	Median time.Duration `json:"median-ns"`
	Sigma  float64       `json:"sigma"`
	// Straggle multiplies the processing time; 0 means 1.
	Straggle float64 `json:"straggle"`
	// Cold is how long the upstream is slow after its start. ColdFactor
	// multiplies the processing time at the start and falls linearly to 1.
	Cold       time.Duration `json:"cold-ns"`
	ColdFactor float64       `json:"cold-factor"`
	// Shed and Drain reject every request, with the reasons "shed" and
	// "draining".
	Shed  bool `json:"shed"`
	Drain bool `json:"drain"`
	// Partial marks each reply that has records as incomplete and drops the
	// last record.
	Partial bool `json:"partial"`
	// Restart is how long the upstream is down after a crash.
	Restart time.Duration `json:"restart-ns"`
	// WrongEcho is the number of further replies that carry a wrong request id.
	WrongEcho int `json:"wrong-echo"`
	// Oldest and Newest are the range of index versions that the upstream
	// serves. Shards maps a version to its number of shards.
	Oldest leverid.IndexVersion         `json:"oldest"`
	Newest leverid.IndexVersion         `json:"newest"`
	Shards map[leverid.IndexVersion]int `json:"shards"`
}

// Run is an entry of the run log: one execution of a request.
type Run struct {
	Upstream leverid.UpstreamID   `json:"upstream"`
	Service  leverid.ServiceID    `json:"service"`
	Request  leverid.RequestID    `json:"request"`
	Version  leverid.IndexVersion `json:"version"`
	Rank     leverid.Rank         `json:"rank"`
	// Once reports whether the request must run at most once.
	Once bool `json:"once"`
	// At is when processing began.
	At time.Time `json:"at"`
	// Done reports whether the request was processed to its end, rather than
	// cancelled or cut off by a crash.
	Done bool `json:"done"`
}

// Outcome tells how a call of Upstream.Do ended.
type Outcome int

// Outcomes of a call.
const (
	// Replied means that there is a reply.
	Replied Outcome = iota
	// Aborted means that the process ended or the caller cancelled the call
	// before there was a reply.
	Aborted
	// Refused means that the process was down when the call arrived.
	Refused
)

// Upstream simulates one upstream process. It is created by NewUpstream and is
// safe for concurrent use.
type Upstream struct {
	id   leverid.UpstreamID
	seed uint64
	log  func(Run)
	// OnDown, if set, is called when the process goes down, with the time of its
	// restart. It must be set before the first call of Do. It runs with u.mu
	// held, so it must not call the Upstream's methods and must not block.
	OnDown func(until time.Time)

	mu        sync.Mutex
	behaviour Behaviour
	started   time.Time
	downUntil time.Time
	busy      int
	waiting   int
	workCount uint64
	crashes   int
	stopped   chan struct{}
	slotFreed chan struct{}
}

// NewUpstream returns an upstream whose process starts now. The log function
// receives each run; it may be nil.
func NewUpstream(id leverid.UpstreamID, behaviour Behaviour, seed uint64, log func(Run)) *Upstream {
	return &Upstream{
		id: id, behaviour: behaviour, seed: seed, log: log, started: time.Now(),
		stopped: make(chan struct{}), slotFreed: make(chan struct{}, 1),
	}
}

// ID returns the upstream's id.
func (u *Upstream) ID() leverid.UpstreamID { return u.id }

// Set applies a change to the behaviour.
func (u *Upstream) Set(change func(*Behaviour)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.behaviour)
}

// Behaviour returns the current behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// Crashes returns the number of crashes since the upstream was created.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Crash ends the process and all calls in progress. The process starts again,
// cold, after the behaviour's restart time.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashLocked()
}

func (u *Upstream) crashLocked() {
	u.crashes++
	u.abortCalls()
	u.goDown(u.behaviour.Restart)
}

// abortCalls ends all calls in progress without a reply.
func (u *Upstream) abortCalls() {
	close(u.stopped)
	u.stopped = make(chan struct{})
	u.busy, u.waiting = 0, 0
}

func (u *Upstream) goDown(d time.Duration) {
	u.downUntil = time.Now().Add(d)
	u.started = u.downUntil
	if u.OnDown != nil {
		u.OnDown(u.downUntil)
	}
}

// TakeDown stops the process for d, together with all calls in progress. Unlike
// Crash it does not count as a crash.
func (u *Upstream) TakeDown(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abortCalls()
	u.goDown(d)
}

// Do processes one request.
func (u *Upstream) Do(ctx context.Context, req *leverupstream.Call) (leverupstream.Reply, Outcome) {
	u.mu.Lock()
	stopped := u.stopped
	if time.Now().Before(u.downUntil) {
		u.mu.Unlock()
		return leverupstream.Reply{}, Refused
	}
	if reply, rejected := u.reject(req); rejected {
		u.mu.Unlock()
		return reply, Replied
	}
	u.waiting++
	u.mu.Unlock()
	if end := u.acquire(ctx, stopped); end != Replied {
		return leverupstream.Reply{}, end
	}
	return u.process(ctx, stopped, req)
}

// reject reports whether the request is rejected before it runs, and returns
// the reply for that case. u.mu must be held.
func (u *Upstream) reject(req *leverupstream.Call) (leverupstream.Reply, bool) {
	r := leverupstream.Reply{Request: req.ID, Versions: leverupstream.Versions{Oldest: u.behaviour.Oldest, Newest: u.behaviour.Newest}}
	switch {
	case u.behaviour.Drain:
		r.Reason = leverupstream.ReasonDraining
	case u.behaviour.Shed, u.behaviour.Slots > 0 && u.busy+u.waiting >= u.behaviour.Slots+u.behaviour.Backlog:
		r.Reason = leverupstream.ReasonShed
	case time.Now().After(req.Deadline):
		r.Reason = leverupstream.ReasonExpired
	case req.Shard.Version < u.behaviour.Oldest:
		r.Reason = leverupstream.ReasonGone
	case req.Shard.Version > u.behaviour.Newest:
		r.Reason = leverupstream.ReasonNotYet
	}
	return r, r.Reason != ""
}

// acquire waits for a slot for a call that u.waiting counts. It returns Replied
// when the call has a slot, and Aborted if ctx ends before that or the process
// ends, which closes stopped.
func (u *Upstream) acquire(ctx context.Context, stopped chan struct{}) Outcome {
	for {
		u.mu.Lock()
		if u.stopped != stopped {
			u.mu.Unlock()
			return Aborted
		}
		if u.behaviour.Slots == 0 || u.busy < u.behaviour.Slots {
			u.waiting--
			u.busy++
			u.signalSlot()
			u.mu.Unlock()
			return Replied
		}
		u.mu.Unlock()
		select {
		case <-u.slotFreed:
		case <-stopped:
			return Aborted
		case <-ctx.Done():
			u.mu.Lock()
			if u.stopped == stopped {
				u.waiting--
			}
			u.mu.Unlock()
			return Aborted
		}
	}
}

// signalSlot wakes one waiting request if a slot is free. u.mu must be held.
func (u *Upstream) signalSlot() {
	if u.waiting > 0 && u.busy < u.behaviour.Slots {
		select {
		case u.slotFreed <- struct{}{}:
		default:
		}
	}
}

func (u *Upstream) release(stopped chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped != stopped {
		return
	}
	u.busy--
	u.signalSlot()
}

func (u *Upstream) process(ctx context.Context, stopped chan struct{}, req *leverupstream.Call) (leverupstream.Reply, Outcome) {
	defer u.release(stopped)
	if time.Now().After(req.Deadline) {
		return leverupstream.Reply{Request: req.ID, Reason: leverupstream.ReasonExpired}, Replied
	}
	var body Body
	// A body that does not decode has the default cost.
	_ = json.Unmarshal(req.Body, &body)
	run := Run{
		Upstream: u.id, Service: req.Shard.Service, Request: req.ID,
		Version: req.Shard.Version, Rank: req.Rank, Once: !req.Repeatable, At: time.Now(),
	}
	t := time.NewTimer(u.workTime(&body))
	defer t.Stop()
	select {
	case <-t.C:
	case <-stopped:
		u.logRun(run)
		return leverupstream.Reply{}, Aborted
	case <-ctx.Done():
		u.logRun(run)
		return leverupstream.Reply{}, Aborted
	}
	run.Done = true
	u.logRun(run)
	if body.Poison {
		u.mu.Lock()
		if u.stopped == stopped {
			u.crashLocked()
		}
		u.mu.Unlock()
		return leverupstream.Reply{}, Aborted
	}
	return u.newReply(req, &body), Replied
}

func (u *Upstream) logRun(r Run) {
	if u.log != nil {
		u.log(r)
	}
}

func (u *Upstream) newReply(req *leverupstream.Call, body *Body) leverupstream.Reply {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := leverupstream.Reply{
		Request: req.ID, Run: leverid.MayHaveRun,
		Versions: leverupstream.Versions{Oldest: u.behaviour.Oldest, Newest: u.behaviour.Newest},
	}
	if u.behaviour.WrongEcho > 0 {
		u.behaviour.WrongEcho--
		r.Request += "-other"
	}
	if body.Record != "" {
		return r
	}
	r.Records = selectPage(shardRecords(req.Shard.Service, req.Shard.ID, u.behaviour.Shards[req.Shard.Version], req.Shard.Version), req)
	if u.behaviour.Partial && len(r.Records) > 0 {
		r.Partial = true
		r.Records = r.Records[:len(r.Records)-1]
	}
	return r
}

// workTime returns the processing time of the next request. The random part is
// derived from the seed, the upstream's id and the number of earlier requests,
// so that the times repeat if requests get their slots in the same order.
func (u *Upstream) workTime(body *Body) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.workCount++
	h := leverid.Hash(string(u.id), strconv.FormatUint(u.workCount, 10), strconv.FormatUint(u.seed, 10))
	d := float64(u.behaviour.Median) * math.Exp(u.behaviour.Sigma*standardNormal(h))
	if u.behaviour.Straggle > 0 {
		d *= u.behaviour.Straggle
	}
	if body.Cost > 0 {
		d *= body.Cost
	}
	if age := time.Since(u.started); age < u.behaviour.Cold && u.behaviour.ColdFactor > 1 {
		d *= 1 + (u.behaviour.ColdFactor-1)*(1-float64(age)/float64(u.behaviour.Cold))
	}
	return time.Duration(d)
}

// standardNormal maps a hash to a standard normal variate by the Box-Muller
// transform.
func standardNormal(h uint64) float64 {
	const halfBits = 32
	u1 := (float64(h>>halfBits) + 1) / (1 << halfBits)
	u2 := float64(h&(1<<halfBits-1)) / (1 << halfBits)
	return math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
}
