package leverbranch

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// acceptTimeout is how long a VM may take to accept a branch, in addition to
	// acceptCost. It is several times the longest round trip between failure
	// domains.
	acceptTimeout = 20 * time.Millisecond
	// acceptCost is the processor time, in core seconds, within which the slower of
	// two VMs sends or accepts its branches.
	acceptCost = 3e-3
	// reportTimeout is how long after it is due a VM's first report may arrive, in
	// addition to acceptCost.
	reportTimeout = 10 * time.Millisecond
)

// call is a branch in progress on another VM.
type call struct {
	branches *Branches
	vm       levermsg.VM
	index    int
	reportAt time.Time
	deliver  func(leverengine.BranchEvent)
	ctx      context.Context
	cancel   context.CancelFunc
	// signals are passed on to the VM.
	signals chan signal
	// reported is set after the first report. Only run's goroutine uses it.
	reported bool
}

// Start starts the branches.
func (b *Branches) Start(req *leverengine.BranchRequest, list []leverengine.Branch, deliver func(leverengine.BranchEvent)) []leverengine.BranchCall {
	now := b.Timer.Now()
	// The fields are strings, numbers and bytes, so encoding can't fail.
	common, _ := msgpack.Marshal(&commonRequest{
		Forwarded: leverengine.Forward(req.Request, now), ShardsHash: req.ShardsHash, ReportIn: req.ReportAt.Sub(now),
	})
	calls := make([]leverengine.BranchCall, len(list))
	for i, branch := range list {
		// Each call adds at most one of each signal.
		c := &call{branches: b, vm: branch.VM, index: i, reportAt: req.ReportAt, deliver: deliver, signals: make(chan signal, 2)}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		calls[i] = c
		go c.run(&branchRequest{Common: common, Parts: branch.Parts})
	}
	return calls
}

// AllowExtra allows the VM more than one attempt at a part.
func (c *call) AllowExtra() { c.signal(allowExtra) }

// Finish ends the branch without its remaining parts.
func (c *call) Finish() { c.signal(finish) }

// Cancel ends the branch and its calls to upstreams.
func (c *call) Cancel() { c.cancel() }

func (c *call) signal(s signal) {
	select {
	case c.signals <- s:
	default:
		// A signal that the VM asks for again is waiting already.
	}
}

// Distrust keeps the VM from getting branches for a while.
func (c *call) Distrust() { c.branches.quarantine(c.vm.ID) }

func (c *call) run(req *branchRequest) {
	defer c.cancel()
	b := c.branches
	work := time.Duration(acceptCost / min(b.Self.Power, c.vm.Power) * float64(time.Second))
	overdue := b.Timer.After(acceptTimeout + work)
	defer func() { overdue.Stop() }()
	p, err := c.send(req, overdue.C)
	if err != nil {
		c.fail(err, false)
		return
	}
	defer p.Close()
	accepted := false
	for {
		select {
		case <-overdue.C:
			c.deliver(leverengine.BranchEvent{Branch: c.index, Overdue: true})
		case s := <-c.signals:
			// An error means that the connection has ended, and with it the call.
			_ = p.Signal(s)
		case <-p.Ready():
			if !c.receive(p) {
				return
			}
			if !accepted {
				accepted = true
				overdue.Stop()
				overdue = b.Timer.After(c.reportAt.Sub(b.Timer.Now()) + reportTimeout + work)
			} else if c.reported {
				overdue.Stop()
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// send sends the branch to the VM. It reports it as overdue when the tick comes
// before there is a connection.
func (c *call) send(req *branchRequest, overdue <-chan time.Time) (*leverpeer.Call, error) {
	d := &dial{call: c, req: req, done: make(chan struct{})}
	if c.branches.Peers.Connected(c.vm.ID) {
		d.run()
		return d.peer, d.err
	}
	go d.run()
	select {
	case <-d.done:
	case <-overdue:
		c.deliver(leverengine.BranchEvent{Branch: c.index, Overdue: true})
		<-d.done
	}
	return d.peer, d.err
}

// dial sends a branch to its VM, which may need a new connection.
type dial struct {
	call *call
	req  *branchRequest
	peer *leverpeer.Call
	err  error
	done chan struct{}
}

func (d *dial) run() {
	defer close(d.done)
	d.peer, d.err = d.call.branches.Peers.Call(d.call.ctx, d.call.vm, leverpeer.KindBranch, d.req)
}

// receive delivers the messages that have arrived. It returns false after the last
// one.
func (c *call) receive(p *leverpeer.Call) bool {
	for {
		body, ok, err := p.Poll()
		if !ok && err == nil {
			return true
		}
		var r branchReply
		if err == nil {
			err = leverpeer.Decode(body, &r)
		}
		switch {
		case err != nil:
			c.fail(err, true)
			return false
		case r.Declined != "":
			c.deliver(leverengine.BranchEvent{Branch: c.index, Err: errors.Errorf("declined by %s: %s", c.vm.ID, r.Declined)})
			return false
		case r.WantsExtra:
			c.deliver(leverengine.BranchEvent{Branch: c.index, WantsExtra: true})
		case r.Report == nil:
			c.deliver(leverengine.BranchEvent{Branch: c.index, Accepted: true})
		default:
			c.reported = true
			c.deliver(leverengine.BranchEvent{Branch: c.index, Report: r.Report})
			if r.Report.Final {
				return false
			}
		}
	}
}

// fail delivers the early end of the branch, unless this VM has ended it.
func (c *call) fail(err error, mayHaveStarted bool) {
	if c.ctx.Err() != nil {
		return
	}
	c.branches.quarantine(c.vm.ID)
	c.deliver(leverengine.BranchEvent{Branch: c.index, Err: errors.Annotate(err, string(c.vm.ID)), MayHaveStarted: mayHaveStarted})
}
