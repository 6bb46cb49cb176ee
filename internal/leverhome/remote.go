package leverhome

import (
	"context"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

// callRequest is the message that forwards a call to the upstream's home VM.
type callRequest struct {
	Upstream leverdirectory.Upstream `msgpack:"u"`
	Call     leverpool.Call          `msgpack:"c"`
	Request  leverid.RequestID       `msgpack:"i"`
	Once     bool                    `msgpack:"o,omitempty"`
	Rank     leverid.Rank            `msgpack:"r"`
	Floors   leverrank.Floors        `msgpack:"f"`
	Left     time.Duration           `msgpack:"l"`
}

// callResult is the home's reply to a callRequest.
type callResult struct {
	Reply *leverpool.Reply `msgpack:"r,omitempty"`
	// Failure is the index of the error in callErrors plus 1, or 0 if there is a
	// reply.
	Failure int    `msgpack:"f,omitempty"`
	Detail  string `msgpack:"d,omitempty"`
}

// callErrors lists the errors of a call in the order of their wire codes.
var callErrors = []error{
	leverpool.ErrQueueRejected, leverpool.ErrNotSent, leverpool.ErrWithdrawn, leverpool.ErrNewConnReset,
	leverpool.ErrReset, leverpool.ErrBadResponse, leverpool.ErrCanceled,
}

func newCallResult(r *leverpool.Reply, err error) *callResult {
	if err == nil {
		return &callResult{Reply: r}
	}
	for i, known := range callErrors {
		if errors.Is(err, known) {
			return &callResult{Failure: i + 1, Detail: err.Error()}
		}
	}
	return &callResult{Failure: len(callErrors), Detail: err.Error()}
}

func (r *callResult) err() error {
	switch {
	case r.Failure == 0 && r.Reply != nil:
		return nil
	case r.Failure < 1 || r.Failure > len(callErrors):
		return errors.Annotate(leverpool.ErrBadResponse, "invalid result from the home VM")
	}
	return errors.Annotate(callErrors[r.Failure-1], r.Detail)
}

// remoteCall is a call that runs through a home on another VM.
type remoteCall struct {
	sender    *Sender
	vm        levermsg.VM
	checkHead func(*http.Response) error
	done      func(*leverpool.Reply, error)
	ctx       context.Context
	cancel    context.CancelFunc
	// withdraw asks the home to drop the call if it has not been sent.
	withdraw chan struct{}
}

func newRemoteCall(s *Sender, vm levermsg.VM, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) *remoteCall {
	r := &remoteCall{sender: s, vm: vm, checkHead: checkHead, done: done, withdraw: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *remoteCall) run(t leverpool.Target, call *leverpool.Call) {
	defer r.cancel()
	s := r.sender
	c, err := s.Peers.Call(r.ctx, r.vm, leverpeer.KindCall, &callRequest{
		Upstream: *t.Upstream, Call: *call, Request: t.Request, Once: t.Once, Rank: t.Rank, Floors: t.Floors,
		Left: t.Deadline.Sub(s.Timer.Now()),
	})
	if err != nil {
		// Peers.Call fails only before a byte is sent, and the upstream is not to
		// blame.
		r.done(nil, errors.Annotate(leverpool.ErrWithdrawn, err.Error()))
		return
	}
	defer c.Close()
	w := &withdrawalForwarder{remoteCall: r, call: c}
	go w.run()
	body, _, err := c.Next(r.ctx)
	switch {
	case err != nil && r.ctx.Err() != nil:
		r.done(nil, errors.Annotate(leverpool.ErrCanceled, err.Error()))
		return
	case err != nil:
		r.done(nil, errors.Annotatef(leverpool.ErrVMLost, "home %s: %v", r.vm.ID, err))
		return
	}
	r.finish(body)
}

// finish decodes the home's result and reports it.
func (r *remoteCall) finish(body []byte) {
	var res callResult
	if err := leverpeer.Decode(body, &res); err != nil {
		r.done(nil, errors.Annotate(leverpool.ErrBadResponse, err.Error()))
		return
	}
	err := res.err()
	if err == nil {
		if invalid := r.checkHead(&http.Response{StatusCode: res.Reply.Status, Header: res.Reply.Header}); invalid != nil {
			err = errors.Annotate(leverpool.ErrBadResponse, invalid.Error())
		}
	}
	if err != nil {
		r.done(nil, err)
		return
	}
	r.done(res.Reply, nil)
}

// Withdraw asks the home to drop the call if it has not been sent. It returns
// false while the call is open, because only the home knows whether the call
// was sent.
func (r *remoteCall) Withdraw() bool {
	if r.ctx.Err() != nil {
		return true
	}
	select {
	case r.withdraw <- struct{}{}:
	default:
	}
	return false
}

// Cancel ends the call; the home then cancels it too.
func (r *remoteCall) Cancel() { r.cancel() }

// withdrawalForwarder signals a withdrawal to the home.
type withdrawalForwarder struct {
	remoteCall *remoteCall
	call       *leverpeer.Call
}

func (w *withdrawalForwarder) run() {
	select {
	case <-w.remoteCall.withdraw:
		// A failed send surfaces as a lost connection to the home.
		_ = w.call.Signal(nil)
	case <-w.remoteCall.ctx.Done():
	}
}

// outcome is the result of a call that was sent from this VM.
type outcome struct {
	reply *leverpool.Reply
	err   error
}

// Serve runs a call that another VM has forwarded to this home.
func (s *Sender) Serve(r *leverpeer.Request) error {
	var m callRequest
	if err := r.Decode(&m); err != nil {
		return err
	}
	due := s.Timer.Now().Add(m.Left)
	header := func() http.Header { return s.Protocol.AttemptHeaders(due.Sub(s.Timer.Now()), &m.Upstream) }
	checkHead := func(w *http.Response) error {
		if got := s.Protocol.ParseHead(w.StatusCode, w.Header).Request; got != m.Request {
			return errors.Errorf("response belongs to request %q", got)
		}
		return nil
	}
	outcomes := make(chan outcome, 1)
	x := s.enqueue(leverpool.Target{
		Upstream: &m.Upstream, Once: m.Once, Request: m.Request, Rank: m.Rank, Floors: m.Floors, Deadline: due,
	}, &m.Call, header, checkHead, func(reply *leverpool.Reply, err error) { outcomes <- outcome{reply, err} })
	return awaitOutcome(r, x, outcomes)
}

// awaitOutcome replies with the outcome of x. Until then it applies the peer's
// withdrawal signal and the cancellation of the request to x.
func awaitOutcome(r *leverpeer.Request, x leverengine.Exchange, outcomes chan outcome) error {
	signals := r.Signals
	for {
		select {
		case end := <-outcomes:
			return r.Reply(newCallResult(end.reply, end.err), true)
		case <-signals:
			x.Withdraw()
			signals = nil
		case <-r.Ctx.Done():
			x.Cancel()
			return r.Ctx.Err()
		}
	}
}
