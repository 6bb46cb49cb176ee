package leverallow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"
)

const (
	// tick is how often an Allowance looks for messages to send. It divides
	// renewInterval.
	tick = 50 * time.Millisecond
	// fleetTicks is the number of ticks after which it looks at the fleet again.
	fleetTicks = 4
	// waitSteps is the number of steps in which a request waits.
	waitSteps = 6
	// recoveredAfter is how long after the last request without a manager one is said to
	// answer again. The managers of other groups may have answered all the time.
	recoveredAfter = time.Second
	// exchangeTimeout limits the time for a message and its reply. Later, the manager
	// is suspect.
	exchangeTimeout = suspectAfter
)

// Peers sends messages to other VMs. leverpeer.Client is one.
type Peers interface {
	Invoke(ctx context.Context, vm levermsg.VM, kind leverpeer.Kind, msg, answer any) error
}

// Options configures an Allowance.
type Options struct {
	Terms Terms
	Self  leverid.VMID
	Peers Peers
	// Find returns the entry of a VM.
	Find  func(leverid.VMID) (levermsg.VM, bool)
	Fleet func() Fleet
	// Config returns the configuration in force, nil if there is none.
	Config func() *leverdirectory.Config
	// Paused reports whether the process has just been stopped for a while.
	Paused  func() bool
	Timer   *levertimer.Service
	Log     leverlog.Logger
	Metrics *levermetric.Set
}

// Allowance limits the requests of organisations with the other VMs. It implements
// leverengine.Allowance. Run must be running.
type Allowance struct {
	Options
	client  *Client
	manager *Manager

	// limited is the last configuration looked at, and whether it has a limit.
	limited atomic.Pointer[limitedConfig]

	mu sync.Mutex
	// fallenBack is whether a request was undecided or run without a manager, lastly at
	// fallenBackAt.
	fallenBack   bool
	fallenBackAt time.Time
}

type limitedConfig struct {
	config  *leverdirectory.Config
	limited bool
}

// New returns an Allowance of a process that starts now.
func New(o Options) *Allowance {
	now := o.Timer.Now()
	// The zero value stands for no process.
	boot := rand.Uint32() | 1
	a := &Allowance{Options: o, client: NewClient(o.Terms, o.Self, boot, now)}
	a.manager = NewManager(o.Terms, boot, a.limit, a.holder, now)
	return a
}

// limit returns the limit of an organisation by the configuration in force.
func (a *Allowance) limit(name leverid.OrganisationID) Limit {
	c := a.Config()
	if c == nil {
		return Limit{}
	}
	o := c.OrganisationNamed(name)
	if o == nil {
		return Limit{}
	}
	return Limit{c.Version, o.Rate, o.Burst}
}

func (a *Allowance) holder(group, groups int) leverid.VMID {
	return a.client.Holder(group, groups, a.Timer.Now())
}

// on reports whether there is an organisation with a limit.
func (a *Allowance) on() bool {
	c := a.Config()
	if !a.Terms.On() || c == nil {
		return false
	}
	last := a.limited.Load()
	if last == nil || last.config != c {
		last = &limitedConfig{config: c}
		for i := range c.Organisations {
			last.limited = last.limited || c.Organisations[i].Rate > 0
		}
		a.limited.Store(last)
	}
	return last.limited
}

// Run exchanges messages with the other VMs until ctx ends.
func (a *Allowance) Run(ctx context.Context) {
	t := a.Timer.Every(tick)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		a.checkPause()
		if !a.on() {
			continue
		}
		if i%fleetTicks == 0 {
			now := a.Timer.Now()
			a.client.SetFleet(a.Fleet(), now)
			a.logPools(now)
		}
		a.send(ctx)
	}
}

// checkPause drops all votes and tokens if the process has just been stopped for a
// while, because the steady clock may not count that time.
func (a *Allowance) checkPause() {
	if a.Paused() {
		a.client.Reset(a.Timer.Now())
		a.manager.Reset()
	}
}

func (a *Allowance) logPools(now time.Time) {
	got, lost := a.manager.Changes(now)
	for _, g := range got {
		a.Log.Info("this VM manages a group of allowances", "group", g)
	}
	for _, g := range lost {
		a.Log.Info("this VM no longer has the majority for a group of allowances", "group", g)
	}
}

// Take takes one request from the organisation's allowance.
func (a *Allowance) Take(ctx context.Context, o *leverdirectory.Organisation) leverengine.AllowanceDecision {
	if o.Rate <= 0 || !a.on() {
		return leverengine.AllowanceDecision{Granted: true}
	}
	a.checkPause()
	w := a.client.Take(o.Name, Limit{a.Config().Version, o.Rate, o.Burst}, a.Timer.Now())
	if !w.decided() {
		a.send(context.WithoutCancel(ctx))
		a.await(ctx, w)
	}
	return a.decision(w.Decision)
}

// await waits until a request is decided, for replyWait in several steps: a time in which
// the process does not run, as its processor time is limited, counts as one step, and the
// reply that has come meanwhile is read in the next.
func (a *Allowance) await(ctx context.Context, w *Waiter) {
	for range waitSteps {
		if w.decided() {
			return
		}
		if !a.awaitStep(ctx, w) {
			break
		}
	}
	a.client.GiveUp(w, a.Timer.Now())
}

func (a *Allowance) awaitStep(ctx context.Context, w *Waiter) bool {
	t := a.Timer.After(replyWait / waitSteps)
	defer t.Stop()
	select {
	case <-w.Done:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Return gives back a request that has been taken and has not reached any upstream.
func (a *Allowance) Return(o *leverdirectory.Organisation) {
	if o.Rate > 0 && a.on() {
		a.count("returned")
		a.client.Return(o.Name, a.Timer.Now())
	}
}

func (a *Allowance) decision(d Decision) leverengine.AllowanceDecision {
	a.noteFallback(d.Undecided || d.Fallback)
	switch {
	case d.Fallback:
		a.count("granted-by-fallback")
	case d.Granted:
		a.count("granted")
	case d.Undecided:
		a.count("refused-undecided")
		return leverengine.AllowanceDecision{Undecided: true, RetryAfter: a.Timer.Jitter(d.RetryAfter, 0.3), Reason: "no manager of allowances answers"}
	default:
		a.count("refused-over-limit")
		return leverengine.AllowanceDecision{RetryAfter: d.RetryAfter, Reason: "the allowance of the organisation is used up"}
	}
	return leverengine.AllowanceDecision{Granted: true}
}

func (a *Allowance) count(result string) {
	a.Metrics.Add(levermetric.Name("allowance-requests", "result", result), 1)
}

// noteFallback logs when this VM begins to decide without a manager, and when it has not
// done so for recoveredAfter.
func (a *Allowance) noteFallback(fallback bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Timer.Now()
	switch {
	case fallback && !a.fallenBack:
		a.Log.Warn("no manager of allowances answers")
	case !fallback && a.fallenBack && now.Sub(a.fallenBackAt) >= recoveredAfter:
		a.fallenBack = false
		a.Log.Info("a manager of allowances answers again")
	}
	if fallback {
		a.fallenBack, a.fallenBackAt = true, now
	}
}

// send sends the messages that are due.
func (a *Allowance) send(ctx context.Context) {
	// The reply of this VM as a manager may make a further message due, a few times
	// until all votes are lent.
	for range 4 {
		local := false
		for _, o := range a.client.Due(a.Timer.Now()) {
			a.countAsks(o.Message)
			if o.To != a.Self {
				go (&exchange{a, o}).run(ctx)
				continue
			}
			local = true
			a.client.Receive(a.Self, a.manager.Handle(a.Self, o.Message, a.Timer.Now()), a.Timer.Now())
		}
		if !local {
			return
		}
	}
}

func (a *Allowance) countAsks(m *Message) {
	n := 0
	for i := range m.Asks {
		n += int(m.Asks[i].Need) + int(m.Asks[i].Spare)
	}
	if n > 0 {
		a.Metrics.Add("allowance-tokens-requested", int64(n))
	}
}

// exchange is a message to a manager and its reply.
type exchange struct {
	*Allowance
	Outgoing
}

func (x *exchange) run(ctx context.Context) {
	vm, ok := x.Find(x.To)
	if !ok {
		x.client.Failed(x.To, x.Timer.Now())
		return
	}
	invokeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var r Reply
	if err := x.Peers.Invoke(invokeCtx, vm, leverpeer.KindAllowance, x.Message, &r); err != nil {
		if invokeCtx.Err() == nil {
			x.client.Failed(x.To, x.Timer.Now())
			x.send(ctx)
		}
		return
	}
	x.client.Receive(x.To, &r, x.Timer.Now())
	x.send(ctx)
}

// Serve serves the message of another VM.
func (a *Allowance) Serve(r *leverpeer.Request) error {
	var m Message
	if err := r.Decode(&m); err != nil {
		return err
	}
	a.checkPause()
	return r.Reply(a.manager.Handle(r.From.ID, &m, a.Timer.Now()), true)
}
