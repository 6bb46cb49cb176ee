// Package leverclient is a client for the query tier's HTTP API for callers.
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

// Client sends queries to entry VMs. Addresses must be set before use. A
// Client is safe for concurrent use.
type Client struct {
	// Addresses are the hosts and ports of entry VMs, or of one load balancer.
	// Queries go to them in rotation.
	Addresses []string
	// Resends is the maximum number of times a query is sent again. A query
	// that is not repeatable is sent again only if it is known not to have run.
	Resends int
	// HTTP is the HTTP client to use. If it is nil, a shared client is used
	// that keeps up to 64 idle connections to each VM.
	HTTP *http.Client

	next atomic.Uint64
}

// maxIdlePerVM is the maximum number of idle connections to each VM.
const maxIdlePerVM = 64

// defaultHTTP is shared by all Clients whose HTTP field is nil.
var defaultHTTP = &http.Client{Transport: &http.Transport{
	Proxy:               http.ProxyFromEnvironment,
	MaxIdleConnsPerHost: maxIdlePerVM,
	IdleConnTimeout:     time.Minute,
}}

// maxAnswerBytes is the maximum size of an answer's body.
const maxAnswerBytes = 256 << 20

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = errors.New("leverclient: no addresses")

// TransportError reports that no valid answer was received from an entry VM.
type TransportError struct {
	// Sent reports whether the query may have reached the VM.
	Sent bool
	Err  error
}

// Error returns the text of Err with a prefix.
func (e *TransportError) Error() string { return "leverclient: " + e.Err.Error() }

// Unwrap returns Err.
func (e *TransportError) Unwrap() error { return e.Err }

// Query sends a query and returns its answer. The error is a *leverapi.Problem
// if the query was refused and a *TransportError if no valid answer was
// received. Up to Resends times, the query is sent again: after the delay that
// its refusal proposes, unless ctx ends first, or immediately if no valid answer
// was received.
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
		delay, ok := resendDelay(err, q.NotRepeatable)
		if !ok || n >= c.Resends || !sleep(ctx, delay) {
			return nil, err
		}
	}
}

// resendDelay reports whether a query that failed with err may be sent again,
// and the delay before that.
func resendDelay(err error, notRepeatable bool) (time.Duration, bool) {
	var p *leverapi.Problem
	if errors.As(err, &p) {
		proposed := p.RetryAfterMS > 0
		return time.Duration(p.RetryAfterMS) * time.Millisecond, proposed && (!notRepeatable || p.RunState == leverapi.NotRun)
	}
	var t *TransportError
	if errors.As(err, &t) {
		return 0, !notRepeatable || !t.Sent
	}
	return 0, false
}

// sleep waits for d. It returns false if ctx ends first, and does not wait if
// the deadline of ctx is earlier.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = defaultHTTP
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &TransportError{Sent: !dialFailed(err), Err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readAnswer(resp *http.Response) (*leverapi.Answer, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, &TransportError{Sent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		var p leverapi.Problem
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, &TransportError{Sent: true, Err: errors.New(resp.Status)}
		}
		return nil, &p
	}
	var a leverapi.Answer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, &TransportError{Sent: true, Err: err}
	}
	return &a, nil
}
