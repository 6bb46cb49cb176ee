package leverquery

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverroute"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
)

// Dispatcher sends attempts to homes.
type Dispatcher interface {
	// Dispatch sends a batch to the VM home. The sink gets one result for each
	// item, also when the home is lost. It may be called before Dispatch
	// returns, and from any goroutine.
	Dispatch(ctx context.Context, home leverid.VMID, b *levermsg.Batch, sink func(levermsg.Result)) Call
}

// Call is a batch that was dispatched.
type Call interface {
	// Withdraw takes attempts back.
	Withdraw(ids []leverid.AttemptID)
}

// Members lists the VMs that can be homes.
type Members interface {
	Live(now time.Time) []levermsg.VM
}

// Claimer claims the ids of requests that are not repeatable.
type Claimer interface {
	Claim(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error
	Release(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error
}

// Crashes holds back requests that crash upstreams.
type Crashes interface {
	Trial(f leverid.Fingerprint) (levercrash.Level, leverid.UpstreamID)
	Reset(r levercrash.Reset) levercrash.Level
	Pass(f leverid.Fingerprint)
	// Good takes in that an upstream answered a request.
	Good(f leverid.Fingerprint, shard leverid.ShardID)
	// Settle waits until the other VMs know the present levels, or until a
	// short time has passed.
	Settle(ctx context.Context)
}

// Engine runs queries. Its exported fields must be set before its first use.
// It is safe for concurrent use.
type Engine struct {
	Self       leverid.VMID
	Timer      *levertimer.Service
	Counters   *leverevent.Counters
	Events     *leverevent.Line
	Directory  *leversnapshot.Directory
	Settings   SettingsSource
	Replicas   *leverroute.Replicas
	Router     leverroute.Router
	Members    Members
	Dispatcher Dispatcher
	Claims     Claimer
	Crashes    Crashes

	next     atomic.Uint64
	mu       sync.Mutex
	services map[leverid.ServiceID]*service
	inFlight atomic.Int64
}

// SettingsSource gives each service's settings in force.
type SettingsSource interface {
	Service(s leverid.ServiceID) Settings
}

// InFlight returns the number of requests that are being run.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Run runs a request. The error is a *Refusal.
func (e *Engine) Run(ctx context.Context, req *Request) (*Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	begin := e.Timer.Now()
	e.Counters.Add("queries-"+req.Rank.String(), 1)
	a, refusal := e.run(ctx, req, begin)
	e.note(req, a, refusal, e.Timer.Now().Sub(begin))
	if refusal != nil {
		return nil, refusal
	}
	return a, nil
}

func (e *Engine) run(ctx context.Context, req *Request, now time.Time) (*Answer, *Refusal) {
	s := e.service(req.Service)
	if refusal := e.precheck(s, req, now); refusal != nil {
		return nil, refusal
	}
	pin, err := e.Directory.Pin(req.Service, req.Version, now)
	if err != nil {
		return nil, e.unknown(req, err)
	}
	ctx, cancel := context.WithDeadline(ctx, innerDeadline(req.Deadline, now))
	defer cancel()
	if req.Once {
		return e.runOnce(ctx, s, req, pin)
	}
	return e.runTried(ctx, s, req, pin)
}

// runTried asks all shards, after a trial if the request is suspect. A request
// that becomes suspect on the way is stopped, tried on one shard and, if that
// goes well, asked once more: most such requests only met an ordinary crash.
func (e *Engine) runTried(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin) (*Answer, *Refusal) {
	if refusal := e.runTrial(ctx, s, req, pin); refusal != nil {
		return nil, refusal
	}
	a, refusal := e.runAll(ctx, s, req, pin)
	if refusal == nil || refusal.Reason != CrashSuspected {
		return a, refusal
	}
	e.Crashes.Settle(ctx)
	if again := e.runTrial(ctx, s, req, pin); again != nil {
		again.Run = leverid.MayHaveRun
		return nil, again
	}
	a, again := e.runAll(ctx, s, req, pin)
	if again != nil {
		again.Run = leverid.MayHaveRun
		return nil, again
	}
	a.Attempts += refusal.Attempts
	return a, nil
}

// marginPart and marginMost are the time kept back for the way to the caller.
const (
	marginPart = 0.05
	marginMost = 5 * time.Millisecond
)

func innerDeadline(d, now time.Time) time.Time {
	margin := time.Duration(marginPart * float64(d.Sub(now)))
	return d.Add(-min(margin, marginMost))
}

func (e *Engine) unknown(req *Request, err error) *Refusal {
	if req.Version != 0 {
		if _, known := e.Directory.Index(req.Service); known == nil {
			return &Refusal{Reason: UnknownVersion, Detail: err.Error()}
		}
	}
	return &Refusal{Reason: UnknownService, Detail: err.Error()}
}

// overloadPause is the pause proposed to a caller whose request was shed.
const overloadPause = time.Second

// precheck refuses what can be refused before any work is done.
func (e *Engine) precheck(s *service, req *Request, now time.Time) *Refusal {
	left := req.Deadline.Sub(now)
	if left <= 0 {
		return &Refusal{Reason: DeadlinePassed}
	}
	if level, _ := e.Crashes.Trial(req.Fingerprint()); level == levercrash.Barred {
		return &Refusal{Reason: CrashBarred, Detail: "the request crashed upstreams before"}
	}
	if !s.admitter.Admit(req.Rank, now) {
		return &Refusal{Reason: Overloaded, RetryAfter: overloadPause, Detail: "no room for this rank"}
	}
	if fastest := s.fastest(now); left < fastest {
		return &Refusal{Reason: DeadlineTooNear, Detail: "answers take at least " + fastest.String()}
	}
	return nil
}

// runAll asks all shards.
func (e *Engine) runAll(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin) (*Answer, *Refusal) {
	return e.ask(ctx, s, req, pin, func(m leversnapshot.Map) []leverid.ShardID {
		all := make([]leverid.ShardID, len(m.Shards))
		for i := range all {
			all[i] = leverid.ShardID(i)
		}
		return all
	})
}

// ask asks the shards that pick names, and once more at another version if
// the first can't be had.
func (e *Engine) ask(ctx context.Context, s *service, req *Request, pin leversnapshot.Pin, pick func(leversnapshot.Map) []leverid.ShardID) (*Answer, *Refusal) {
	f := newFanout(e, s, req, pin, pick(pin.Map))
	f.run(ctx)
	if !f.restartable(ctx) {
		return f.conclude(false)
	}
	m, ok := f.window.Restart(pin.Index, pin.Map.Version)
	if !ok {
		return f.conclude(false)
	}
	e.Counters.Add("query-restarts", 1)
	e.Events.Add(leverevent.QueryRestarted, string(req.Service), string(req.ID))
	e.Directory.Demote(req.Service, m.Version, e.Timer.Now())
	again := newFanout(e, s, req, leversnapshot.Pin{Index: pin.Index, Map: m}, pick(m))
	again.sent = f.sent
	again.attemptCount = f.attemptCount
	again.run(ctx)
	return again.conclude(true)
}

func (e *Engine) nextAttempt() leverid.AttemptID {
	if e.next.Load() == 0 {
		// Attempts of different VMs must differ: start at a random point.
		e.next.CompareAndSwap(0, rand.Uint64()>>1|1)
	}
	return leverid.AttemptID(e.next.Add(1))
}

func (e *Engine) note(req *Request, a *Answer, refusal *Refusal, took time.Duration) {
	rank := req.Rank.String()
	if refusal != nil {
		e.Counters.Add("refused-"+rank, 1)
		e.Counters.Add("refused-"+string(refusal.Reason), 1)
		e.Counters.Add("refused-"+refusal.Run.String(), 1)
		e.Counters.Add("attempts", int64(refusal.Attempts))
		return
	}
	e.Counters.Add("answered-"+rank, 1)
	e.Counters.Add("shards-needed", int64(a.Needed))
	e.Counters.Add("shards-covered", int64(a.Coverage.Covered))
	e.Counters.Add("attempts", int64(a.Attempts))
	if a.Coverage.Covered < a.Coverage.Total {
		e.Counters.Add("answers-short", 1)
		e.Events.Add(leverevent.QueryShort, string(req.Service), string(req.ID))
	}
	e.service(req.Service).answered(took, e.Timer.Now())
}
