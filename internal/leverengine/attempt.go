package leverengine

import (
	"context"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/juju/errors"
)

// attempt is one call of one upstream.
type attempt struct {
	engine   *Engine
	req      *Request
	class    leverhealth.Class
	part     int
	upstream *leverdirectory.Upstream
	started  time.Time
	extra    bool
	once     bool
	deadline time.Time
	results  chan<- result
}

// result is the end of an attempt.
type result struct {
	*attempt
	kind  leverhealth.Result
	reply *leverpool.Reply
	mark  Mark
	err   error
}

// ran reports whether the upstream may have run the request.
func (r *result) ran() bool {
	switch r.kind {
	case leverhealth.Shed, leverhealth.Elsewhere, leverhealth.Refused:
		return false
	}
	return true
}

// arrived reports whether the request may have reached the upstream.
func (r *result) arrived() bool { return r.kind != leverhealth.Refused }

// run makes the call and delivers its result. The channel has room for it.
func (a *attempt) run(ctx context.Context) {
	res := result{attempt: a}
	res.reply, res.err = a.engine.Pool.Do(ctx, a.target(), a.call(), func(w *http.Response) error {
		res.mark = a.engine.Protocol.Read(w.StatusCode, w.Header)
		if res.mark.Request != "" && res.mark.Request != a.req.ID {
			return errors.Errorf("answer to request %q", res.mark.Request)
		}
		return nil
	})
	res.kind = res.judge()
	now := a.engine.Timer.Now()
	a.engine.Health.End(a.upstream, a.class, a.started, res.kind, now)
	a.results <- res
}

func (a *attempt) target() leverpool.Target {
	return leverpool.Target{
		Upstream: a.upstream, Once: a.once,
		MaxConnections: a.engine.connections(a.upstream.Service),
	}
}

func (a *attempt) call() *leverpool.Call {
	h := a.req.Header.Clone()
	a.engine.Protocol.Stamp(h, a.deadline.Sub(a.started), a.upstream.ID)
	return &leverpool.Call{Method: a.req.Method, URI: a.req.URI, Host: a.req.Host, Header: h, Body: a.req.Body}
}

// judge says what the end of the call tells about the upstream.
func (r *result) judge() leverhealth.Result {
	switch {
	case errors.Is(r.err, leverpool.ErrNotSent):
		return leverhealth.Refused
	case errors.Is(r.err, leverpool.ErrTimeout):
		return leverhealth.GivenUp
	case r.err != nil:
		return leverhealth.Reset
	case r.mark.Elsewhere:
		return leverhealth.Elsewhere
	case r.mark.NotRun:
		return leverhealth.Shed
	case r.mark.Signature == "" || r.mark.Encoded:
		return leverhealth.Reset
	case r.reply.Status >= http.StatusInternalServerError:
		return leverhealth.Failed
	}
	return leverhealth.Good
}
