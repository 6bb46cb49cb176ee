package leverbranch

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// askInterval is the least time between two questions whether a branch may make
// extra attempts.
const askInterval = 10 * time.Millisecond

// Serve runs a branch of another VM's request.
func (b *Branches) Serve(req *leverpeer.Request) error {
	var m branchRequest
	if err := req.Decode(&m); err != nil {
		return err
	}
	var common commonRequest
	if err := leverpeer.Decode(m.Common, &common); err != nil {
		return err
	}
	p := &permission{request: req, timer: b.Timer, finished: make(chan struct{})}
	now := b.Timer.Now()
	request := common.Request(now)
	request.Confirmed = p.granted
	r := &leverengine.SubRequest{
		BranchRequest: leverengine.BranchRequest{Request: request, ShardsHash: common.ShardsHash, ReportAt: now.Add(common.ReportIn)},
		Parts:         m.Parts, Finished: p.finished,
	}
	reason := b.Engine.CanRunBranch(r)
	switch {
	case b.Stopping():
		reason = "stopping"
	case b.Paused():
		reason = "was paused"
	}
	if reason != "" {
		return req.Reply(&branchReply{Declined: reason}, true)
	}
	if err := req.Reply(&branchReply{}, false); err != nil {
		return err
	}
	go p.run()
	var failed error
	b.Engine.RunBranch(req.Ctx, r, func(report *leverengine.BranchReport) {
		if err := req.Reply(&branchReply{Report: report}, report.Final); err != nil {
			failed = errors.Annotate(err, "report of a branch")
		}
	})
	return failed
}

// permission is what the sender of a branch allows. Its run method applies the
// sender's signals.
type permission struct {
	request  *leverpeer.Request
	timer    *levertimer.Service
	extra    atomic.Bool
	finished chan struct{}

	mu      sync.Mutex
	askedAt time.Time
}

func (p *permission) run() {
	for {
		select {
		case body := <-p.request.Signals:
			var s signal
			if err := leverpeer.Decode(body, &s); err != nil {
				continue
			}
			switch s {
			case allowExtra:
				p.extra.Store(true)
			case finish:
				close(p.finished)
				return
			}
		case <-p.request.Ctx.Done():
			return
		}
	}
}

// granted reports whether extra attempts are allowed. If not, it asks for them.
func (p *permission) granted() bool {
	if p.extra.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	if p.askedAt.IsZero() || now.Sub(p.askedAt) >= askInterval {
		p.askedAt = now
		// An error means that the sender is lost, which cancels the request.
		_ = p.request.Reply(&branchReply{WantsExtra: true}, false)
	}
	return false
}
