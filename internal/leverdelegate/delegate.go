// Package leverdelegate has fan-outs run on few VMs of a large fleet. A VM with
// little traffic has cold connections and knows little of the upstreams; the
// VMs that run the fan-outs for their failure domain have neither lack.
package leverdelegate

import (
	"context"
	"net/http"
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
	// leastFleet is the number of VMs from which on fan-outs are delegated. In
	// a smaller fleet each VM has enough traffic of its own.
	leastFleet = 12
	// runnerPart is the part of a failure domain's processors whose VMs run
	// the fan-outs, and leastRunners the least number of those VMs.
	runnerPart   = 0.12
	leastRunners = 2
	// takenTimeout is how long a runner may take to say that it runs the
	// request; it is several times the longest way between failure domains.
	takenTimeout = 25 * time.Millisecond
	// doubt is how long a runner is passed over that did not say so.
	doubt = 500 * time.Millisecond
	// wayBack is kept back for the way from the runner to this VM.
	wayBack = time.Millisecond
	// mostRuns bounds the fan-outs that a VM runs for others, for each core.
	mostRuns = 256
)

const (
	// errUnsure means that a runner may have made one attempt at each part.
	errUnsure = errors.ConstError("runner may have begun")
	// errLost means that a runner may have made all attempts.
	errLost = errors.ConstError("runner was lost")
)

// run is a request as it goes to a runner.
type run struct {
	// Version is the configuration that the sender works by.
	Version leverid.ConfigVersion `msgpack:"v"`
	ID      leverid.RequestID     `msgpack:"i"`
	Method  string                `msgpack:"m"`
	Host    string                `msgpack:"h"`
	URI     string                `msgpack:"u"`
	Path    string                `msgpack:"p"`
	Header  http.Header           `msgpack:"e"`
	Body    []byte                `msgpack:"b"`
	// Wait is how long the caller waits in all, Age how long it has waited.
	Wait time.Duration `msgpack:"w"`
	Age  time.Duration `msgpack:"a"`
	// Way is the time between the caller and the sender, there and back.
	Way   time.Duration `msgpack:"y"`
	Spent int           `msgpack:"n"`
	// Variant is what the request changes of its route's terms.
	Variant *leverengine.Variant `msgpack:"x,omitempty"`
}

// reply is what a runner says: first whether it runs the request, then the
// outcome.
type reply struct {
	Declined   string              `msgpack:"d,omitempty"`
	Verdict    leverengine.Verdict `msgpack:"v"`
	Upstream   *leverpool.Reply    `msgpack:"u,omitempty"`
	Records    []byte              `msgpack:"r,omitempty"`
	Signatures []string            `msgpack:"s,omitempty"`
	Missing    int                 `msgpack:"m,omitempty"`
	RetryAfter time.Duration       `msgpack:"t,omitempty"`
	Reason     string              `msgpack:"o,omitempty"`
	Cause      leverengine.Cause   `msgpack:"c,omitempty"`
	Parts      [][]byte            `msgpack:"p,omitempty"`
	Absent     []string            `msgpack:"b,omitempty"`
	Ran        bool                `msgpack:"n,omitempty"`
	Attempts   int                 `msgpack:"a,omitempty"`
	Hedged     int                 `msgpack:"h,omitempty"`
	Retried    int                 `msgpack:"e,omitempty"`
}

func replyOf(out *leverengine.Outcome) *reply {
	return &reply{
		Verdict: out.Verdict, Upstream: out.Reply, Records: out.Records, Signatures: out.Signatures,
		Missing: out.Missing, RetryAfter: out.RetryAfter, Reason: out.Reason, Cause: out.Cause,
		Parts: out.Parts, Absent: out.Absent, Ran: out.Ran, Attempts: out.Attempts, Hedged: out.Hedged, Retried: out.Retried,
	}
}

// outcome returns what the runner said as the sender's own outcome.
func (r *reply) outcome(at time.Time) *leverengine.Outcome {
	return &leverengine.Outcome{
		Verdict: r.Verdict, At: at, Reply: r.Upstream, Records: r.Records, Signatures: r.Signatures,
		Missing: r.Missing, RetryAfter: r.RetryAfter, Reason: r.Reason, Cause: r.Cause,
		Parts: r.Parts, Absent: r.Absent, Ran: r.Ran, Attempts: r.Attempts, Hedged: r.Hedged, Retried: r.Retried,
	}
}

// Delegate sends fan-outs to the VMs that run them, and runs those of others.
// Its exported fields must be set before its first use. It is safe for
// concurrent use.
type Delegate struct {
	Self    levermsg.VM
	Members *levermember.View
	Peers   *leverpeer.Client
	Engine  *leverengine.Engine
	Timer   *levertimer.Service
	Log     leverlog.Logger
	// Stopping reports whether this VM takes no more requests of others.
	Stopping func() bool

	mu      sync.Mutex
	live    []levermsg.VM
	runners []levermsg.VM
	// all is the number of VMs that run fan-outs for some failure domain.
	all      int
	doubted  map[leverid.VMID]time.Time
	next     uint64
	running  int
	isRunner bool
}

// Runs reports whether this VM runs fan-outs itself.
func (d *Delegate) Runs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return len(d.runners) == 0 || d.isRunner
}

// Share returns the VMs that share the fan-outs' upstreams, this one's part of
// them: the runners have most.
func (d *Delegate) Share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	n := float64(max(len(d.live), 1))
	if len(d.runners) == 0 {
		return 1 / n
	}
	if d.isRunner {
		return runnersShare / float64(d.all)
	}
	return (1 - runnersShare) / max(n-float64(d.all), 1)
}

// runnersShare is the part of the upstreams' connections and of the slack that
// the runners have together.
const runnersShare = 0.75

// refresh works the runners out anew when the list of live VMs has changed.
func (d *Delegate) refresh() {
	live := d.Members.Live(d.Timer.Now())
	if len(live) == len(d.live) && (len(live) == 0 || &live[0] == &d.live[0]) {
		return
	}
	d.live = live
	d.runners = nil
	d.isRunner = false
	if len(live) < leastFleet {
		return
	}
	ranked := leverrelay.Ranked(live)
	most := 0.0
	for _, vm := range d.Members.List() {
		most = max(most, vm.Power)
	}
	all := make(map[leverid.VMID]bool)
	seen := make(map[leverid.Domain]bool)
	for _, vm := range live {
		if seen[vm.Domain] {
			continue
		}
		seen[vm.Domain] = true
		for _, r := range runnersOf(ranked, vm.Domain, most) {
			all[r.ID] = true
		}
	}
	d.all = len(all)
	d.isRunner = all[d.Self.ID]
	d.runners = runnersOf(ranked, d.Self.Domain, most)
}

// strongPart is the part of the most powerful VM's processor from which on a
// VM is strong.
const strongPart = 0.5

// runnersOf returns the VMs that run the fan-outs of a failure domain: strong
// ones of the domain, else strong ones of others, else the first of the domain.
func runnersOf(ranked []levermsg.VM, domain leverid.Domain, most float64) []levermsg.VM {
	var own, strong, others []levermsg.VM
	total := 0.0
	for _, vm := range ranked {
		isStrong := vm.Power >= strongPart*most
		switch {
		case vm.Domain != domain && isStrong:
			others = append(others, vm)
		case vm.Domain == domain && isStrong:
			strong = append(strong, vm)
			fallthrough
		case vm.Domain == domain:
			own = append(own, vm)
			total += vm.Power
		}
	}
	sum := 0.0
	for i, vm := range strong {
		if i >= leastRunners && sum >= runnerPart*total {
			return strong[:i]
		}
		sum += vm.Power
	}
	if len(strong) == 0 && len(others) == 0 {
		return own[:min(leastRunners, len(own))]
	}
	return append(strong, others[:min(len(others), max(leastRunners-len(strong), 0))]...)
}

// Run has a request run by another VM. It returns false if the request is to
// be run here.
func (d *Delegate) Run(ctx context.Context, req *leverengine.Request, v leverid.ConfigVersion, attempts int) (*leverengine.Outcome, bool) {
	for _, vm := range d.candidates() {
		out, err := d.ask(ctx, vm, req, v)
		if err == nil {
			return out, true
		}
		if ctx.Err() != nil {
			return &leverengine.Outcome{Verdict: leverengine.Left}, true
		}
		d.Log.Info("a runner did not run a request", "id", req.ID, "runner", vm.ID, "err", err)
		if errors.Is(err, errLost) {
			return &leverengine.Outcome{Verdict: leverengine.MayHaveRun, Reason: err.Error()}, true
		}
		if errors.Is(err, errUnsure) {
			if req.Spent++; req.Spent >= attempts {
				return &leverengine.Outcome{Verdict: leverengine.MayHaveRun, Reason: err.Error()}, true
			}
		}
	}
	return nil, false
}

// candidates returns up to two runners to try, or none if this VM runs the
// request.
func (d *Delegate) candidates() []levermsg.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	if d.isRunner {
		return nil
	}
	now := d.Timer.Now()
	var out []levermsg.VM
	d.next++
	for i := range d.runners {
		vm := d.runners[(int(d.next%uint64(len(d.runners)))+i)%len(d.runners)]
		if now.After(d.doubted[vm.ID]) {
			out = append(out, vm)
		}
	}
	return out
}

func (d *Delegate) ask(ctx context.Context, vm levermsg.VM, req *leverengine.Request, v leverid.ConfigVersion) (*leverengine.Outcome, error) {
	taking, cancel := context.WithTimeout(ctx, takenTimeout)
	defer cancel()
	call, err := d.Peers.Call(taking, vm, leverpeer.KindRun, &run{
		Version: v, ID: req.ID, Method: req.Method, Host: req.Host, URI: req.URI, Path: req.Path,
		Header: req.Header, Body: req.Body, Wait: req.Wait, Age: d.Timer.Now().Sub(req.Received),
		Way: req.Way + wayBack + d.Engine.Lag(), Spent: req.Spent, Variant: req.Variant,
	})
	if err != nil {
		d.doubt(vm.ID)
		return nil, err
	}
	defer call.Close()
	r, err := next(taking, call)
	if err != nil {
		d.doubt(vm.ID)
		return nil, errors.Annotate(errUnsure, err.Error())
	}
	if r.Declined != "" {
		return nil, errors.Errorf("declined: %s", r.Declined)
	}
	taken := d.Timer.Now()
	// From here on the runner may make second attempts.
	err = call.Signal(nil)
	if err == nil {
		r, err = next(ctx, call)
	}
	if err != nil {
		d.doubt(vm.ID)
		return nil, errors.Annotate(errLost, err.Error())
	}
	if r.Verdict != leverengine.Merged || r.Missing > 0 {
		d.Log.Info("a delegated request ended", "id", req.ID, "runner", vm.ID, "verdict", r.Verdict, "missing", r.Missing,
			"config", v, "took", d.Timer.Now().Sub(taken), "reason", r.Reason)
	}
	return r.outcome(d.Timer.Now()), nil
}

func next(ctx context.Context, call *leverpeer.Call) (*reply, error) {
	body, _, err := call.Next(ctx)
	if err != nil {
		return nil, err
	}
	r := &reply{}
	return r, leverpeer.Decode(body, r)
}

func (d *Delegate) doubt(id leverid.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.doubted == nil {
		d.doubted = make(map[leverid.VMID]time.Time)
	}
	d.doubted[id] = d.Timer.Now().Add(doubt)
}

// Serve runs a request of another VM.
func (d *Delegate) Serve(req *leverpeer.Request) error {
	var m run
	if err := req.Decode(&m); err != nil {
		return err
	}
	if why := d.begin(m.Version); why != "" {
		return req.Reply(&reply{Declined: why}, true)
	}
	defer d.end()
	if err := req.Reply(&reply{}, false); err != nil {
		return err
	}
	out := d.Engine.RunHere(req.Ctx, &leverengine.Request{
		ID: m.ID, Method: m.Method, Host: m.Host, URI: m.URI, Path: m.Path, Header: m.Header, Body: m.Body,
		Wait: m.Wait, Received: d.Timer.Now().Add(-m.Age), Way: m.Way, Spent: m.Spent, Variant: m.Variant,
		Confirmed: (&confirmation{signals: req.Signals}).seen,
	})
	defer d.Engine.Written(out)
	return req.Reply(replyOf(out), true)
}

// confirmation is the sender's word that it waits for the runner's answer. A
// request that was late at the runner, and was given to another, gets none.
type confirmation struct {
	signals <-chan []byte
	got     bool
}

// seen reports whether the confirmation has come.
func (c *confirmation) seen() bool {
	if c.got {
		return true
	}
	select {
	case <-c.signals:
		c.got = true
	default:
	}
	return c.got
}

// begin says why a request of another VM is not run here, if it is not. The
// two VMs must work by one configuration.
func (d *Delegate) begin(v leverid.ConfigVersion) string {
	view := d.Engine.Directory.View()
	switch {
	case d.Stopping():
		return "stopping"
	case !view.Usable():
		return "not ready"
	case view.Config.Version != v:
		return "another configuration"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(d.running) >= mostRuns*d.Self.Power {
		return "busy"
	}
	d.running++
	return ""
}

func (d *Delegate) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}
