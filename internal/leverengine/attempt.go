package leverengine

import (
	"net/http"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/juju/errors"
)

// attempt is one call to one upstream and its result.
type attempt struct {
	fanout *fanout
	part   int
	// candidates are the upstreams that it may be sent to.
	candidates candidates
	// extra is set if the attempt is charged to the budget.
	extra bool
	// placed is nil while the attempt waits for an upstream with room. At first it
	// points to preferred.
	placed    atomic.Pointer[placement]
	preferred placement
	started   time.Time
	exchange  Exchange
	// sent is set when the call may have been sent.
	sent atomic.Bool
	// handled is set when the request knows the result.
	handled bool
	// departure is set while the upstream is about to end.
	departure departure
	cold      coldPlace

	// The following are set when the call has ended.

	kind  leverhealth.Result
	slow  bool
	reply *leverpool.Reply
	meta  ResponseMeta
	err   error
}

// mayHaveRun reports whether the upstream may have run the request.
func (a *attempt) mayHaveRun() bool {
	switch a.kind {
	case leverhealth.Shed, leverhealth.WrongUpstream, leverhealth.Refused, leverhealth.Withdrawn, leverhealth.Absent:
		return false
	}
	return true
}

// mayHaveArrived reports whether the request may have reached the upstream and
// put load on it.
func (a *attempt) mayHaveArrived() bool {
	switch a.kind {
	case leverhealth.Refused, leverhealth.Withdrawn, leverhealth.Absent:
		return false
	}
	return !errors.Is(a.err, leverpool.ErrQueueRejected)
}

// send starts the call; done is called when it ends.
func (a *attempt) send() {
	f := a.fanout
	e := f.engine
	u := a.preferred.upstream
	e.Health.BeginCall(u, f.class, a.preferred.at)
	if f.call == nil {
		f.call = leverpool.NewCall(f.req.Method, f.req.URI, f.req.Host, f.req.Header, f.req.Body)
	}
	t := leverpool.Target{
		Upstream: u, Placement: a, Once: !f.route.Repeatable, MaxConnections: a.MaxConnections(),
		Request: f.req.ID, Rank: f.route.Rank, Floors: f.route.Floors, Deadline: f.deadline, Flow: f.flow(),
	}
	a.exchange = e.sender().Send(t, f.call, a.header, a.checkHead, a.done)
}

// header returns the additional headers of the call. It is called when the call
// is sent, because they state the remaining time.
func (a *attempt) header() http.Header {
	a.sent.Store(true)
	e := a.fanout.engine
	return e.Protocol.AttemptHeaders(e.ending.Limit(a.fanout.deadline).Sub(e.Timer.Now()), a.upstream())
}

// checkHead parses the head of a response and rejects one that belongs to
// another request or shard.
func (a *attempt) checkHead(resp *http.Response) error {
	a.meta = a.fanout.engine.Protocol.ParseHead(resp.StatusCode, resp.Header)
	if a.meta.Request != a.fanout.req.ID {
		return errors.Errorf("response belongs to request %q", a.meta.Request)
	}
	if s := a.meta.Service; s != "" && s != a.candidates.service {
		return errors.Errorf("response comes from shard %q", s)
	}
	a.recordBlock()
	a.recordLoad()
	a.recordCold()
	return nil
}

// done records the result of the call and delivers it to the request. The
// channel is large enough that sending does not block.
func (a *attempt) done(r *leverpool.Reply, err error) {
	a.reply, a.err = r, err
	a.kind = a.classify()
	f := a.fanout
	now := f.engine.Timer.Now()
	if p := a.placed.Load(); p != nil {
		if status := f.engine.Health.End(p.upstream, f.class, p.at, a.kind, now); status != "" {
			f.recordStatus(a, status)
		}
	} else {
		f.waiting.Add(-1)
	}
	a.endCold(now)
	if a.extra && (a.kind == leverhealth.Withdrawn || a.kind == leverhealth.Refused) {
		// An attempt that was never sent is no extra one.
		f.engine.Budget.Return(a.candidates.service, a.started, now)
	}
	a.slow = f.isSlow(now.Sub(a.started))
	if f.sub == nil && (a.kind == leverhealth.Good || a.kind == leverhealth.Canceled) {
		f.limiter.Observe(a.part, len(f.parts), f.work, a.slow, now)
	}
	f.results <- a
}

// classify maps the end of the call to a result for the health statistics.
func (a *attempt) classify() leverhealth.Result {
	switch {
	case errors.Is(a.err, leverpool.ErrQueueRejected):
		return leverhealth.Shed
	case errors.Is(a.err, leverpool.ErrNotSent):
		return leverhealth.Refused
	case errors.Is(a.err, leverpool.ErrWithdrawn):
		return leverhealth.Withdrawn
	case errors.Is(a.err, leverpool.ErrCanceled):
		return leverhealth.Canceled
	case errors.Is(a.err, leverpool.ErrVMLost):
		return leverhealth.Lost
	case a.err != nil:
		return leverhealth.Reset
	case a.meta.WrongUpstream:
		return leverhealth.WrongUpstream
	case a.meta.Absent != "":
		return leverhealth.Absent
	case a.meta.NotRun && a.reply.Status < http.StatusMultipleChoices:
		// A success that has not run contradicts itself and proves nothing.
		return leverhealth.Reset
	case a.meta.NotRun:
		return leverhealth.Shed
	case a.meta.Signature == "" || a.meta.Encoded:
		return leverhealth.Reset
	case a.reply.Status >= http.StatusInternalServerError, a.meta.StatusImpliesNotRun:
		return leverhealth.Failed
	}
	return leverhealth.Good
}
