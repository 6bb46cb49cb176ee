package leverengine

import (
	"net/http"

	"arbutuslever.dev/lever/internal/leverpool"
)

// Exchange is one call on its way.
type Exchange interface {
	// Withdraw gives the call up if it has not been sent, so that it never runs.
	// It reports whether the call has ended or will end unsent.
	Withdraw() bool
	// Cancel gives the call up, also if it was sent.
	Cancel()
}

// Sender sends calls to upstreams. The terms are those of leverpool.Pool.Send.
type Sender interface {
	Send(t leverpool.Target, call *leverpool.Call, stamp func() http.Header, accept func(*http.Response) error, done func(*leverpool.Reply, error)) Exchange
}

// direct sends calls over this VM's own connections.
type direct struct{ pool *leverpool.Pool }

// Send sends a call.
func (d direct) Send(t leverpool.Target, call *leverpool.Call, stamp func() http.Header, accept func(*http.Response) error, done func(*leverpool.Reply, error)) Exchange {
	return d.pool.Send(t, call, stamp, accept, done)
}

// sender returns what sends calls: the pool itself unless it was replaced.
func (e *Engine) sender() Sender {
	if e.Sender != nil {
		return e.Sender
	}
	return direct{e.Pool}
}
