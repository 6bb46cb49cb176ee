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

// message is a call as it goes to its home.
type message struct {
	Upstream leverdirectory.Upstream `msgpack:"u"`
	Call     leverpool.Call          `msgpack:"c"`
	Request  leverid.RequestID       `msgpack:"i"`
	Once     bool                    `msgpack:"o,omitempty"`
	Rank     leverid.Rank            `msgpack:"r"`
	Floors   leverrank.Floors        `msgpack:"f"`
	Left     time.Duration           `msgpack:"l"`
}

// result is how a call ended at its home.
type result struct {
	Reply *leverpool.Reply `msgpack:"r,omitempty"`
	// Failure is one more than the index of the error in failures, 0 if there is
	// a reply.
	Failure int    `msgpack:"f,omitempty"`
	Detail  string `msgpack:"d,omitempty"`
}

// failures are the errors of a call, in the order of their codes on the wire.
var failures = []error{
	leverpool.ErrNoRoom, leverpool.ErrNotSent, leverpool.ErrWithdrawn, leverpool.ErrTurnedAway,
	leverpool.ErrReset, leverpool.ErrBroken, leverpool.ErrCanceled,
}

func resultOf(r *leverpool.Reply, err error) *result {
	if err == nil {
		return &result{Reply: r}
	}
	for i, known := range failures {
		if errors.Is(err, known) {
			return &result{Failure: i + 1, Detail: err.Error()}
		}
	}
	return &result{Failure: len(failures), Detail: err.Error()}
}

func (r *result) err() error {
	switch {
	case r.Failure == 0 && r.Reply != nil:
		return nil
	case r.Failure < 1 || r.Failure > len(failures):
		return errors.Annotate(leverpool.ErrBroken, "the home's result can't be read")
	}
	return errors.Annotate(failures[r.Failure-1], r.Detail)
}

// remote is a call at another VM.
type remote struct {
	sender *Sender
	vm     levermsg.VM
	accept func(*http.Response) error
	done   func(*leverpool.Reply, error)
	ctx    context.Context
	cancel context.CancelFunc
	// withdraw asks the home not to send the call if it has not.
	withdraw chan struct{}
}

func newRemote(s *Sender, vm levermsg.VM, accept func(*http.Response) error, done func(*leverpool.Reply, error)) *remote {
	r := &remote{sender: s, vm: vm, accept: accept, done: done, withdraw: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *remote) run(t leverpool.Target, call *leverpool.Call) {
	defer r.cancel()
	s := r.sender
	c, err := s.Peers.Call(r.ctx, r.vm, leverpeer.KindCall, &message{
		Upstream: *t.Upstream, Call: *call, Request: t.Request, Once: t.Once, Rank: t.Rank, Floors: t.Floors,
		Left: t.Due.Sub(s.Timer.Now()),
	})
	if err != nil {
		r.done(nil, errors.Annotate(leverpool.ErrWithdrawn, err.Error()))
		return
	}
	defer c.Close()
	w := &withdrawal{remote: r, call: c}
	go w.run()
	body, _, err := c.Next(r.ctx)
	switch {
	case err != nil && r.ctx.Err() != nil:
		r.done(nil, errors.Annotate(leverpool.ErrCanceled, err.Error()))
		return
	case err != nil:
		r.done(nil, errors.Annotatef(leverpool.ErrBroken, "the home %s was lost: %v", r.vm.ID, err))
		return
	}
	r.finish(body)
}

// finish reads the result.
func (r *remote) finish(body []byte) {
	var res result
	if err := leverpeer.Decode(body, &res); err != nil {
		r.done(nil, errors.Annotate(leverpool.ErrBroken, err.Error()))
		return
	}
	err := res.err()
	if err == nil {
		if refused := r.accept(&http.Response{StatusCode: res.Reply.Status, Header: res.Reply.Header}); refused != nil {
			err = errors.Annotate(leverpool.ErrBroken, refused.Error())
		}
	}
	if err != nil {
		r.done(nil, err)
		return
	}
	r.done(res.Reply, nil)
}

// Withdraw asks the home not to send the call. It can't tell whether it was.
func (r *remote) Withdraw() bool {
	if r.ctx.Err() != nil {
		return true
	}
	select {
	case r.withdraw <- struct{}{}:
	default:
	}
	return false
}

// Cancel gives the call up: the home cancels it.
func (r *remote) Cancel() { r.cancel() }

// withdrawal carries the word to the home.
type withdrawal struct {
	remote *remote
	call   *leverpeer.Call
}

func (w *withdrawal) run() {
	select {
	case <-w.remote.withdraw:
		// A failed send shows as a lost home.
		_ = w.call.Signal(nil)
	case <-w.remote.ctx.Done():
	}
}

// ended is how a call at this VM ended.
type ended struct {
	reply *leverpool.Reply
	err   error
}

// Serve sends a call of another VM.
func (s *Sender) Serve(r *leverpeer.Request) error {
	var m message
	if err := r.Decode(&m); err != nil {
		return err
	}
	due := s.Timer.Now().Add(m.Left)
	stamp := func() http.Header { return s.Protocol.Stamp(due.Sub(s.Timer.Now()), &m.Upstream) }
	accept := func(w *http.Response) error {
		if got := s.Protocol.Read(w.StatusCode, w.Header).Request; got != m.Request {
			return errors.Errorf("answer to request %q", got)
		}
		return nil
	}
	over := make(chan ended, 1)
	x := s.queueUp(leverpool.Target{
		Upstream: &m.Upstream, Once: m.Once, Request: m.Request, Rank: m.Rank, Floors: m.Floors, Due: due,
	}, &m.Call, stamp, accept, func(reply *leverpool.Reply, err error) { over <- ended{reply, err} })
	return serve(r, x, over)
}

func serve(r *leverpeer.Request, x leverengine.Exchange, over chan ended) error {
	signals := r.Signals
	for {
		select {
		case end := <-over:
			return r.Reply(resultOf(end.reply, end.err), true)
		case <-signals:
			x.Withdraw()
			signals = nil
		case <-r.Ctx.Done():
			x.Cancel()
			return r.Ctx.Err()
		}
	}
}
