package leverengine

import (
	"net/http"

	"arbutuslever.dev/lever/internal/leverpool"
)

// Exchange is one call in progress.
type Exchange interface {
	// Withdraw cancels the call if it has not been sent yet, so that it never
	// runs. It reports whether the call has ended or will end without being
	// sent.
	Withdraw() bool
	// Cancel cancels the call even if it has been sent.
	Cancel()
}

// Sender sends calls to upstreams. Its contract is that of leverpool.Pool.Send.
type Sender interface {
	Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) Exchange
}

// poolSender sends calls over this VM's own connections.
type poolSender struct{ pool *leverpool.Pool }

// Send sends a call through the pool.
func (s poolSender) Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) Exchange {
	return s.pool.Send(t, call, header, checkHead, done)
}

// sender returns the configured Sender, or the pool if there is none.
func (e *Engine) sender() Sender {
	if e.Sender != nil {
		return e.Sender
	}
	return poolSender{e.Pool}
}
