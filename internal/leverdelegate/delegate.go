// Package leverdelegate runs the fan-outs of a large fleet on a few VMs of each
// failure domain, the runners. A VM with little traffic has cold connections
// and few measurements of the upstreams. Runners see enough traffic to have
// warm connections and current measurements.
package leverdelegate

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrelay"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

const (
	// minFleet is the smallest number of VMs at which fan-outs are delegated. In
	// a smaller fleet each VM has enough traffic of its own.
	minFleet = 12
	// runnerFraction is the fraction of a failure domain's cores that its
	// runners have together, and minRunners the minimum number of runners.
	runnerFraction = 0.12
	minRunners     = 2
	// acceptTimeout limits the wait for a runner to accept a request. It is
	// several times the longest round trip between failure domains.
	acceptTimeout = 25 * time.Millisecond
	// quarantine is how long a runner gets no requests after it failed to accept
	// or finish one.
	quarantine = 500 * time.Millisecond
	// returnMargin is reserved for the reply's transfer from the runner to this
	// VM.
	returnMargin = time.Millisecond
	// maxRunsPerCore limits the concurrent fan-outs that a VM runs for others,
	// for each of its cores.
	maxRunsPerCore = 256
)

const (
	// errMayHaveStarted means that a runner may have made one attempt at each
	// part.
	errMayHaveStarted = errors.ConstError("the runner may have started the request")
	// errRunnerLost means that a runner accepted the request and failed, so that
	// it may have made all attempts.
	errRunnerLost = errors.ConstError("lost contact with the runner")
)

// runRequest is the message that asks a runner to run a request.
type runRequest struct {
	// Version is the version of the sender's configuration.
	Version leverid.ConfigVersion `msgpack:"v"`
	leverengine.Forwarded
	// CallerRTT is the round-trip time between the caller and the runner. It
	// includes returnMargin and the sender's own lag.
	CallerRTT time.Duration `msgpack:"y"`
}

// runReply is a runner's message to the sender. The first one accepts or
// declines the request, the second one carries the outcome.
type runReply struct {
	Declined      string              `msgpack:"d,omitempty"`
	Verdict       leverengine.Verdict `msgpack:"v"`
	UpstreamReply *leverpool.Reply    `msgpack:"u,omitempty"`
	Records       []byte              `msgpack:"r,omitempty"`
	Signatures    []string            `msgpack:"s,omitempty"`
	Missing       int                 `msgpack:"m,omitempty"`
	RetryAfter    time.Duration       `msgpack:"t,omitempty"`
	Reason        string              `msgpack:"o,omitempty"`
	Cause         leverengine.Cause   `msgpack:"c,omitempty"`
	Parts         [][]byte            `msgpack:"p,omitempty"`
	Absent        []string            `msgpack:"b,omitempty"`
	MaybeRan      bool                `msgpack:"n,omitempty"`
	Attempts      int                 `msgpack:"a,omitempty"`
	Hedged        int                 `msgpack:"h,omitempty"`
	Retried       int                 `msgpack:"e,omitempty"`
}

func newRunReply(out *leverengine.Outcome) *runReply {
	return &runReply{
		Verdict: out.Verdict, UpstreamReply: out.Reply, Records: out.Records, Signatures: out.Signatures,
		Missing: out.Missing, RetryAfter: out.RetryAfter, Reason: out.Reason, Cause: out.Cause,
		Parts: out.Parts, Absent: out.Absent, MaybeRan: out.MaybeRan, Attempts: out.Attempts, Hedged: out.Hedged, Retried: out.Retried,
	}
}

// outcome converts the reply to an outcome of the sender's own engine.
func (r *runReply) outcome(at time.Time) *leverengine.Outcome {
	return &leverengine.Outcome{
		Verdict: r.Verdict, DecidedAt: at, Reply: r.UpstreamReply, Records: r.Records, Signatures: r.Signatures,
		Missing: r.Missing, RetryAfter: r.RetryAfter, Reason: r.Reason, Cause: r.Cause,
		Parts: r.Parts, Absent: r.Absent, MaybeRan: r.MaybeRan, Attempts: r.Attempts, Hedged: r.Hedged, Retried: r.Retried,
	}
}

// Delegate sends fan-outs to runners, and runs the fan-outs of other VMs if this
// VM is a runner. Its exported fields must be set before its first use. It is
// safe for concurrent use.
type Delegate struct {
	Self    levermsg.VM
	Members *levermember.View
	Peers   *leverpeer.Client
	Engine  *leverengine.Engine
	Timer   *levertimer.Service
	Log     leverlog.Logger
	// Stopping reports whether this VM declines requests of other VMs.
	Stopping func() bool
	// Paused reports whether this process was not running for a while until just
	// now. It then declines requests of other VMs, which may be older than they
	// state.
	Paused func() bool

	mu      sync.Mutex
	live    []levermsg.VM
	runners []levermsg.VM
	// allRunners are those of all failure domains.
	allRunners []levermsg.VM
	// fleetRunners is the number of runners in all failure domains together.
	fleetRunners     int
	quarantinedUntil map[leverid.VMID]time.Time
	rotation         uint64
	running          int
	isRunner         bool
}

// RunsLocally reports whether this VM runs its fan-outs itself: it is a runner,
// or there are none.
func (d *Delegate) RunsLocally() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return len(d.runners) == 0 || d.isRunner
}

// Share returns this VM's share, between 0 and 1, of what the fleet's VMs use
// together for fan-outs. Runners have the larger shares.
func (d *Delegate) Share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	n := float64(max(len(d.live), 1))
	if len(d.runners) == 0 {
		return 1 / n
	}
	if d.isRunner {
		return runnerShare / float64(d.fleetRunners)
	}
	return (1 - runnerShare) / max(n-float64(d.fleetRunners), 1)
}

// refresh recomputes the runners if the list of live VMs has changed. The caller
// holds d.mu.
func (d *Delegate) refresh() {
	live := d.Members.Live(d.Timer.Now())
	// Live returns the same slice until the set changes, so comparing the address
	// of the first element is sufficient.
	if len(live) == len(d.live) && (len(live) == 0 || &live[0] == &d.live[0]) {
		return
	}
	d.live = live
	d.runners, d.allRunners = nil, nil
	d.isRunner = false
	if len(live) < minFleet {
		return
	}
	ranked := leverrelay.Ranked(live)
	// The list includes VMs that are down, so that the threshold for strong VMs
	// does not depend on whether the most powerful one is live.
	maxPower := 0.0
	for _, vm := range d.Members.List() {
		maxPower = max(maxPower, vm.Power)
	}
	fleetRunners := runnersOf(ranked, maxPower)
	d.fleetRunners = len(fleetRunners)
	d.isRunner = fleetRunners[d.Self.ID]
	d.runners = chooseRunners(ranked, d.Self.Domain, maxPower)
	for _, vm := range ranked {
		if fleetRunners[vm.ID] {
			d.allRunners = append(d.allRunners, vm)
		}
	}
}

// Run runs a request on a runner. It returns false if this VM must run the
// request itself.
func (d *Delegate) Run(ctx context.Context, req *leverengine.Request, v leverid.ConfigVersion, attempts int) (*leverengine.Outcome, bool) {
	for _, vm := range d.candidates(req) {
		out, err := d.ask(ctx, vm, req, v)
		if err == nil {
			return out, true
		}
		if ctx.Err() != nil {
			return &leverengine.Outcome{Verdict: leverengine.CallerGone, MaybeRan: true, Reason: "the caller left"}, true
		}
		d.Log.Info("a runner did not complete a request", "id", req.ID, "runner", vm.ID, "err", err)
		if errors.Is(err, errRunnerLost) {
			return mayHaveRun(err), true
		}
		if errors.Is(err, errMayHaveStarted) {
			if req.PriorAttempts++; req.PriorAttempts >= attempts {
				return mayHaveRun(err), true
			}
		}
	}
	return nil, false
}

// mayHaveRun returns the outcome of a request that a runner may have run without
// delivering its outcome.
func mayHaveRun(err error) *leverengine.Outcome {
	return &leverengine.Outcome{Verdict: leverengine.MayHaveRun, MaybeRan: true, Reason: err.Error()}
}

// home returns the VMs, of this failure domain's runners or, if there are none, of all
// runners, that may receive a request.
func (d *Delegate) home(req *leverengine.Request) []levermsg.VM {
	if req.Homes == nil {
		return d.runners
	}
	outside := func(vm levermsg.VM) bool { return !d.Engine.MayReceive(req, vm) }
	if out := slices.DeleteFunc(slices.Clone(d.runners), outside); len(out) > 0 {
		return out
	}
	return slices.DeleteFunc(slices.Clone(d.allRunners), outside)
}

// candidates returns the runners to try, in order and without those in
// quarantine. It returns none if this VM is a runner.
func (d *Delegate) candidates(req *leverengine.Request) []levermsg.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	if d.isRunner {
		return nil
	}
	now := d.Timer.Now()
	var out []levermsg.VM
	d.rotation++
	runners := d.home(req)
	for i := range runners {
		vm := runners[(int(d.rotation%uint64(len(runners)))+i)%len(runners)]
		if now.After(d.quarantinedUntil[vm.ID]) {
			out = append(out, vm)
		}
	}
	return out
}

func (d *Delegate) ask(ctx context.Context, vm levermsg.VM, req *leverengine.Request, v leverid.ConfigVersion) (*leverengine.Outcome, error) {
	acceptCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	call, err := d.Peers.Call(acceptCtx, vm, leverpeer.KindRun, &runRequest{
		Version: v, Forwarded: leverengine.Forward(req, d.Timer.Now()),
		CallerRTT: req.CallerRTT + returnMargin + d.Engine.AnswerLag(),
	})
	if err != nil {
		d.quarantine(vm.ID)
		return nil, err
	}
	defer call.Close()
	r, err := nextReply(acceptCtx, call)
	if err != nil {
		d.quarantine(vm.ID)
		return nil, errors.Annotate(errMayHaveStarted, err.Error())
	}
	if r.Declined != "" {
		return nil, errors.Errorf("declined: %s", r.Declined)
	}
	accepted := d.Timer.Now()
	// The signal allows the runner to make further attempts.
	err = call.Signal(nil)
	if err == nil {
		r, err = nextReply(ctx, call)
	}
	if err != nil {
		d.quarantine(vm.ID)
		return nil, errors.Annotate(errRunnerLost, err.Error())
	}
	if r.Verdict != leverengine.Merged || r.Missing > 0 {
		d.Log.Info("a delegated request ended", "id", req.ID, "runner", vm.ID, "verdict", r.Verdict, "missing", r.Missing,
			"config", v, "took", d.Timer.Now().Sub(accepted), "reason", r.Reason)
	}
	return r.outcome(d.Timer.Now()), nil
}

func nextReply(ctx context.Context, call *leverpeer.Call) (*runReply, error) {
	body, _, err := call.Next(ctx)
	if err != nil {
		return nil, err
	}
	r := &runReply{}
	return r, leverpeer.Decode(body, r)
}

func (d *Delegate) quarantine(id leverid.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quarantinedUntil == nil {
		d.quarantinedUntil = make(map[leverid.VMID]time.Time)
	}
	d.quarantinedUntil[id] = d.Timer.Now().Add(quarantine)
}

// Serve runs a request that another VM has delegated to this one.
func (d *Delegate) Serve(req *leverpeer.Request) error {
	var m runRequest
	if err := req.Decode(&m); err != nil {
		return err
	}
	if reason := d.admit(m.Version); reason != "" {
		return req.Reply(&runReply{Declined: reason}, true)
	}
	defer d.release()
	if err := req.Reply(&runReply{}, false); err != nil {
		return err
	}
	run := m.Request(d.Timer.Now())
	run.CallerRTT = m.CallerRTT
	run.Confirmed = (&confirmation{signals: req.Signals}).seen
	out := d.Engine.RunLocally(req.Ctx, run)
	defer d.Engine.Written(out)
	return req.Reply(newRunReply(out), true)
}

// confirmation is the sender's signal that it waits for this runner's outcome.
// The sender does not send it if the runner accepted too late and the request
// went to another runner.
type confirmation struct {
	signals  <-chan []byte
	received bool
}

// seen reports whether the confirmation has arrived.
func (c *confirmation) seen() bool {
	if c.received {
		return true
	}
	select {
	case <-c.signals:
		c.received = true
	default:
	}
	return c.received
}

// admit reserves a place for a request of another VM. It returns the reason if
// the request is declined, otherwise "". Both VMs must have the same
// configuration version.
func (d *Delegate) admit(v leverid.ConfigVersion) string {
	view := d.Engine.Directory.View()
	switch {
	case d.Stopping():
		return "stopping"
	case d.Paused():
		return "was paused"
	case !view.Usable():
		return "not ready"
	case view.Config.Version != v:
		return "another configuration"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(d.running) >= maxRunsPerCore*d.Self.Power {
		return "busy"
	}
	d.running++
	return ""
}

func (d *Delegate) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}
