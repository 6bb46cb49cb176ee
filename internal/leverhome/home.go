// Package leverhome works off the attempts that entry VMs send to the upstreams
// for which this VM is the home: it queues them by rank, keeps each upstream's
// slots and connections, and calls the upstream.
package leverhome

import (
	"context"
	"sync"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Policy is what the configuration says about one service's upstreams.
type Policy struct {
	// Limit names a policy of leverlimit.
	Limit  string
	Floors leverrank.Floors
	// Share divides an upstream's slots when several VMs call it directly. It
	// is 1 for homes.
	Share float64
}

// Directory finds upstreams and policies.
type Directory interface {
	Upstream(s leverid.ServiceID, u leverid.UpstreamID) (leversnapshot.Upstream, bool)
	Policy(s leverid.ServiceID) Policy
}

// CrashWatcher learns of resets and knows which requests are held back.
type CrashWatcher interface {
	Level(f leverid.Fingerprint) levercrash.Level
	Reset(r levercrash.Reset) levercrash.Level
	BeginTrial(f leverid.Fingerprint) bool
	EndTrial(f leverid.Fingerprint)
	Pass(f leverid.Fingerprint)
	Good(f leverid.Fingerprint, shard leverid.ShardID)
}

// Home holds the gates of the upstreams that this VM calls. Its exported
// fields must be set before its first use. It is safe for concurrent use.
type Home struct {
	Timer     *levertimer.Service
	Counters  *leverevent.Counters
	Client    leverupstream.Client
	Directory Directory
	Crashes   CrashWatcher

	mu    sync.Mutex
	gates map[leverid.UpstreamID]*gate
}

// Sink receives the end of each attempt of a batch, once each. It is called
// from several goroutines, one at a time for each batch.
type Sink func(levermsg.Result)

// Run is a batch at work.
type Run struct {
	home *Home
	sink Sink

	mu   sync.Mutex
	jobs map[leverid.AttemptID]*job
}

// Start begins the attempts of a batch. The sink gets one result for each item.
// Ending ctx withdraws the attempts that are not over.
func (h *Home) Start(ctx context.Context, b *levermsg.Batch, sink Sink) *Run {
	r := &Run{home: h, sink: sink, jobs: make(map[leverid.AttemptID]*job, len(b.Items))}
	jobs := make([]*job, 0, len(b.Items))
	for i := range b.Items {
		j := newJob(ctx, r, b, b.Items[i])
		r.jobs[j.item.Attempt] = j
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		h.begin(j, b)
	}
	return r
}

func (h *Home) begin(j *job, b *levermsg.Batch) {
	u, ok := h.Directory.Upstream(b.Query.Service, j.item.Upstream)
	if !ok {
		j.end(levermsg.Result{Outcome: levermsg.Unreachable, Detail: "upstream is not in the index"})
		return
	}
	if res, refused := h.refuse(j); refused {
		j.end(res)
		return
	}
	g := h.gate(b.Query.Service, u)
	g.report(b.From, b.Demand)
	g.submit(j)
}

// refuse holds back requests that are known to crash upstreams.
func (h *Home) refuse(j *job) (levermsg.Result, bool) {
	level := h.Crashes.Level(j.query.Fingerprint)
	if level == levercrash.Clear || (level == levercrash.Suspect && j.query.Trial) {
		return levermsg.Result{}, false
	}
	return levermsg.Result{Outcome: levermsg.Barred, Detail: "request is held back after it crashed upstreams"}, true
}

// Withdraw takes attempts back. Their results come as Withdrawn.
func (r *Run) Withdraw(ids []leverid.AttemptID) {
	for _, id := range ids {
		r.mu.Lock()
		j := r.jobs[id]
		r.mu.Unlock()
		if j != nil {
			j.withdraw()
		}
	}
}

// WithdrawAll takes back the attempts that are not over.
func (r *Run) WithdrawAll() {
	r.mu.Lock()
	ids := make([]leverid.AttemptID, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	r.mu.Unlock()
	r.Withdraw(ids)
}

// Open returns the number of attempts that are not over.
func (r *Run) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// deliver hands a result to the sink, at most once for each attempt.
func (r *Run) deliver(res levermsg.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[res.Attempt] == nil {
		return
	}
	delete(r.jobs, res.Attempt)
	r.sink(res)
}

func (h *Home) gate(s leverid.ServiceID, u leversnapshot.Upstream) *gate {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates == nil {
		h.gates = make(map[leverid.UpstreamID]*gate)
	}
	g := h.gates[u.ID]
	if g == nil {
		g = newGate(h, s, u, h.Directory.Policy(s))
		h.gates[u.ID] = g
		return g
	}
	g.setUpstream(u)
	return g
}

// Busy returns the number of attempts that wait and that run.
func (h *Home) Busy() (waiting, running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.gates {
		w, r := g.busy()
		waiting += w
		running += r
	}
	return waiting, running
}

// Forget drops the gates of upstreams that the directory no longer has and that
// have no work.
func (h *Home) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, g := range h.gates {
		waiting, running := g.busy()
		if _, ok := h.Directory.Upstream(g.service, id); !ok && waiting+running == 0 {
			delete(h.gates, id)
		}
	}
}

// Reconfigure brings the gates to the policies now in force.
func (h *Home) Reconfigure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.gates {
		g.setPolicy(h.Directory.Policy(g.service))
	}
}
