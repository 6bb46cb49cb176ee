package leverquery

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
)

// Runner sends a request to one shard or to all shards of a snapshot.
type Runner interface {
	Run(ctx context.Context, req *leverengine.Request) *leverengine.Outcome
}

// Claimer claims and releases the ids of requests that are not repeatable.
type Claimer interface {
	Claim(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error
	Release(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error
}

// Engine runs queries. Its exported fields must be set before the first use.
// It is safe for concurrent use.
type Engine struct {
	Timer     *levertimer.Service
	Counters  *leverevent.Counters
	Events    *leverevent.Timeline
	Log       leverlog.Logger
	Directory *leversnapshot.Directory
	Runner    Runner
	Claims    Claimer
	// RunUnclaimed reports whether a service's requests that are not
	// repeatable are sent even if claiming their ids fails, such as when the
	// store is unavailable. Such a request may run twice.
	RunUnclaimed func(s leverid.ServiceID) bool

	mu         sync.Mutex
	minLatency map[leverid.ServiceID]*minLatency
	inFlight   atomic.Int64
	ending     levertimer.End
}

// InFlight returns the number of requests in progress.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Run runs a request. A non-nil error is a [*Refusal].
func (e *Engine) Run(ctx context.Context, req *Request) (*Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	begin := e.Timer.Now()
	e.Counters.Add("queries-"+req.Rank.String(), 1)
	a, refusal := e.run(ctx, req, begin)
	if refusal != nil {
		refusal = e.stoppingRefusal(req, refusal)
	}
	e.record(req, a, refusal, e.Timer.Now().Sub(begin))
	if refusal != nil {
		return nil, refusal
	}
	return a, nil
}

func (e *Engine) run(ctx context.Context, req *Request, now time.Time) (*Answer, *Refusal) {
	if refusal := e.precheck(req, now); refusal != nil {
		return nil, refusal
	}
	pin, err := e.Directory.Pin(req.Service, req.Version, now)
	if err != nil {
		return nil, e.pinRefusal(req, err)
	}
	if req.ID == "" {
		req.ID = leverid.RequestID(strconv.FormatUint(rand.Uint64(), 16))
	}
	if req.Once {
		return e.runOnce(ctx, req, pin)
	}
	x := &execution{engine: e, req: req, pin: pin}
	return x.runAllShards(ctx)
}

// pinRefusal returns the refusal of a request whose service or version could
// not be pinned because of err.
func (e *Engine) pinRefusal(req *Request, err error) *Refusal {
	if req.Version != 0 {
		if _, indexErr := e.Directory.Index(req.Service); indexErr == nil {
			return &Refusal{Reason: UnknownVersion, Detail: err.Error()}
		}
	}
	return &Refusal{Reason: UnknownService, Detail: err.Error()}
}

// defaultRetryAfter is the retry delay suggested for an incomplete answer or a
// failed claim. Load and availability may well have changed after a second.
const defaultRetryAfter = time.Second

// precheck refuses requests that cannot be answered before their deadline.
func (e *Engine) precheck(req *Request, now time.Time) *Refusal {
	left := e.deadline(req).Sub(now)
	if left <= 0 {
		return &Refusal{Reason: DeadlinePassed}
	}
	if bound := e.latency(req.Service).bound(now); left < bound {
		return &Refusal{Reason: DeadlineTooNear, Detail: "answers take at least " + bound.String()}
	}
	return nil
}

func (e *Engine) record(req *Request, a *Answer, refusal *Refusal, took time.Duration) {
	rank := req.Rank.String()
	if refusal != nil {
		e.Counters.Add("refused-"+rank, 1)
		e.Counters.Add("refused-"+string(refusal.Reason), 1)
		e.Counters.Add("refused-"+refusal.Run.String(), 1)
		e.Counters.Add("attempts", int64(refusal.Attempts))
		return
	}
	e.Counters.Add("answered-"+rank, 1)
	e.Counters.Add("shards-needed", int64(a.Coverage.Total))
	e.Counters.Add("shards-covered", int64(a.Coverage.Covered))
	e.Counters.Add("attempts", int64(a.Attempts))
	if a.Coverage.Covered < a.Coverage.Total {
		e.Counters.Add("answers-short", 1)
		e.Events.Add(leverevent.QueryShort, string(req.Service), string(req.ID))
	}
	e.latency(req.Service).observe(took, e.Timer.Now())
}

func (e *Engine) latency(s leverid.ServiceID) *minLatency {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.minLatency == nil {
		e.minLatency = make(map[leverid.ServiceID]*minLatency)
	}
	l := e.minLatency[s]
	if l == nil {
		l = &minLatency{}
		e.minLatency[s] = l
	}
	return l
}
