package leverengine

import (
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/juju/errors"
)

// attempt is one call of one upstream and how it ended.
type attempt struct {
	fanout   *fanout
	part     int
	upstream *leverdirectory.Upstream
	started  time.Time
	exchange Exchange

	kind  leverhealth.Result
	reply *leverpool.Reply
	mark  Mark
	err   error
}

// ran reports whether the upstream may have run the request.
func (a *attempt) ran() bool {
	switch a.kind {
	case leverhealth.Shed, leverhealth.Elsewhere, leverhealth.Refused, leverhealth.Withdrawn, leverhealth.Absent:
		return false
	}
	return true
}

// arrived reports whether the request may have reached the upstream and cost
// it something.
func (a *attempt) arrived() bool {
	switch a.kind {
	case leverhealth.Refused, leverhealth.Withdrawn, leverhealth.Absent:
		return false
	}
	return !errors.Is(a.err, leverpool.ErrNoRoom)
}

// send sends the call.
func (a *attempt) send() {
	f := a.fanout
	e := f.engine
	e.Health.Begin(a.upstream, a.started)
	if f.call == nil {
		f.call = leverpool.NewCall(f.req.Method, f.req.URI, f.req.Host, f.req.Header, f.req.Body)
	}
	t := leverpool.Target{
		Upstream: a.upstream, Once: !f.route.Repeatable, MaxConnections: e.connections(a.upstream.Service),
		Request: f.req.ID, Rank: f.route.Rank, Floors: f.route.Floors, Due: f.deadline,
	}
	a.exchange = e.sender().Send(t, f.call, a.stamp, a.accept, a.done)
}

// stamp returns the headers of the call as it is sent.
func (a *attempt) stamp() http.Header {
	f := a.fanout
	return f.engine.Protocol.Stamp(f.deadline.Sub(f.engine.Timer.Now()), a.upstream)
}

// accept reads an answer's head.
func (a *attempt) accept(w *http.Response) error {
	a.mark = a.fanout.engine.Protocol.Read(w.StatusCode, w.Header)
	if a.mark.Request != a.fanout.req.ID {
		return errors.Errorf("answer to request %q", a.mark.Request)
	}
	if s := a.mark.Service; s != "" && s != a.upstream.Service {
		return errors.Errorf("answer of shard %q", s)
	}
	return nil
}

// done takes in the end of the call and delivers it to the request. The
// channel has room for it.
func (a *attempt) done(r *leverpool.Reply, err error) {
	a.reply, a.err = r, err
	a.kind = a.judge()
	f := a.fanout
	now := f.engine.Timer.Now()
	if b := f.engine.Health.End(a.upstream, f.class, a.started, a.kind, now); b != "" {
		f.noteBelief(a, b)
	}
	if a.kind == leverhealth.Good || a.kind == leverhealth.GivenUp {
		f.room.Observe(a.part, len(f.parts), f.work, now.Sub(a.started) > time.Duration(slowCall*float64(f.route.Objective)), now)
	}
	f.results <- a
}

// judge says what the end of the call tells about the upstream.
func (a *attempt) judge() leverhealth.Result {
	switch {
	case errors.Is(a.err, leverpool.ErrNoRoom):
		return leverhealth.Shed
	case errors.Is(a.err, leverpool.ErrNotSent):
		return leverhealth.Refused
	case errors.Is(a.err, leverpool.ErrWithdrawn):
		return leverhealth.Withdrawn
	case errors.Is(a.err, leverpool.ErrCanceled):
		return leverhealth.GivenUp
	case a.err != nil:
		return leverhealth.Reset
	case a.mark.Elsewhere:
		return leverhealth.Elsewhere
	case a.mark.Absent != "":
		return leverhealth.Absent
	case a.mark.NotRun:
		return leverhealth.Shed
	case a.mark.Signature == "" || a.mark.Encoded:
		return leverhealth.Reset
	case a.reply.Status >= http.StatusInternalServerError, a.mark.Promise:
		return leverhealth.Failed
	}
	return leverhealth.Good
}
