// Package leverclient is the callers' client of the query tier.
package leverclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/pkg/leverapi"
)

// Client sends queries to entry VMs. The zero value is not usable: Addresses
// must be set. It is safe for concurrent use.
type Client struct {
	// Addresses are hosts and ports of entry VMs, or one balancer.
	Addresses []string
	// Resends is how often a query may be sent again. A query that is not
	// repeatable is sent again only if it was certainly not run.
	Resends int
	// HTTP is the client to use. If it is nil, one is used that keeps up to 64
	// idle connections to each VM.
	HTTP *http.Client

	next atomic.Uint64
}

// idlePerVM is the number of idle connections that are kept to each VM.
const idlePerVM = 64

// pooled is the client of every Client that has none of its own.
var pooled = &http.Client{Transport: &http.Transport{
	Proxy:               http.ProxyFromEnvironment,
	MaxIdleConnsPerHost: idlePerVM,
	IdleConnTimeout:     time.Minute,
}}

// maxAnswer bounds an answer's body in bytes.
const maxAnswer = 256 << 20

// ErrNoAddress means that the client has no addresses.
var ErrNoAddress = errors.New("leverclient: no addresses")

// TransportError is a fault on the way to an entry VM. Sent says whether the
// query may have reached it.
type TransportError struct {
	Sent bool
	Err  error
}

// Error returns the text of the fault.
func (e *TransportError) Error() string { return "leverclient: " + e.Err.Error() }

// Unwrap returns the fault.
func (e *TransportError) Unwrap() error { return e.Err }

// Query sends a query and returns its answer. The error is a *leverapi.Problem
// if the query was refused and a *TransportError if no VM answered. A refusal
// that proposes a pause is sent again after it, if the pause ends before ctx
// does.
func (c *Client) Query(ctx context.Context, service string, q leverapi.Query) (*leverapi.Answer, error) {
	if len(c.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	for n := 0; ; n++ {
		a, err := c.send(ctx, service, body)
		if err == nil {
			return a, nil
		}
		pause, again := resend(err, q.NotRepeatable)
		if !again || n >= c.Resends || !sleep(ctx, pause) {
			return nil, err
		}
	}
}

// resend says whether a query may be sent again, and after which pause.
func resend(err error, once bool) (time.Duration, bool) {
	var p *leverapi.Problem
	if errors.As(err, &p) {
		helps := p.RetryAfterMS > 0
		return time.Duration(p.RetryAfterMS) * time.Millisecond, helps && (!once || p.RunState == leverapi.NotRun)
	}
	var t *TransportError
	if errors.As(err, &t) {
		return 0, !once || !t.Sent
	}
	return 0, false
}

func sleep(ctx context.Context, d time.Duration) bool {
	if until, ok := ctx.Deadline(); ok && time.Until(until) < d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) send(ctx context.Context, service string, body []byte) (*leverapi.Answer, error) {
	address := c.Addresses[c.next.Add(1)%uint64(len(c.Addresses))]
	u := "http://" + address + "/v1/services/" + url.PathEscape(service) + "/query"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	h := c.HTTP
	if h == nil {
		h = pooled
	}
	w, err := h.Do(r)
	if err != nil {
		return nil, &TransportError{Sent: !dialFailed(err), Err: err}
	}
	defer w.Body.Close()
	return read(w)
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func read(w *http.Response) (*leverapi.Answer, error) {
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return nil, &TransportError{Sent: true, Err: err}
	}
	if w.StatusCode != http.StatusOK {
		var p leverapi.Problem
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, &TransportError{Sent: true, Err: errors.New(w.Status)}
		}
		return nil, &p
	}
	var a leverapi.Answer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, &TransportError{Sent: true, Err: err}
	}
	return &a, nil
}
