package leverupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

// Client makes one attempt at an upstream.
type Client interface {
	// Do sends the attempt and returns how it ended. It never returns later
	// than shortly after the end of ctx. Ending ctx cancels the attempt at the
	// upstream.
	Do(ctx context.Context, u leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) levermsg.Result
}

const (
	// idleTimeout is below the time for which docs/UPSTREAM.md asks upstreams
	// to keep idle connections, so that a request never meets a connection
	// that the upstream is closing.
	idleTimeout = 20 * time.Second
	dialTimeout = time.Second
	// maxReply bounds a reply's body.
	maxReply = 8 << 20
)

// HTTPClient is a Client over HTTP/1.1 with pooled connections. Use
// NewHTTPClient.
type HTTPClient struct {
	transport *http.Transport
}

// NewHTTPClient returns a client that opens at most connections connections to
// each upstream.
func NewHTTPClient(connections int) *HTTPClient {
	d := &net.Dialer{Timeout: dialTimeout}
	return &HTTPClient{transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close ends idle connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

// Do sends the attempt.
func (c *HTTPClient) Do(ctx context.Context, u leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) levermsg.Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), u, q, it)
	if err != nil {
		return levermsg.Result{Attempt: it.Attempt, Outcome: levermsg.Failed, Detail: err.Error()}
	}
	w, err := c.transport.RoundTrip(r)
	if err != nil {
		return broken(ctx, it, sent.Load(), err)
	}
	defer w.Body.Close()
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(w.Body, maxReply)).Decode(&reply); err != nil {
		return broken(ctx, it, true, err)
	}
	out := reply.Result(q, it)
	if out.Outcome == levermsg.Mismatch {
		// The connection carries replies of other attempts: it is closed
		// because its body is not read to the end.
		return out
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(w.Body, maxReply))
	return out
}

func newRequest(ctx context.Context, u leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) (*http.Request, error) {
	body, err := json.Marshal(Request{
		Attempt: it.Attempt, Service: q.Service, Version: q.Version, Rank: q.Rank, Request: q.Request,
		DeadlineMS: q.Deadline.UnixMilli(), Repeatable: !q.Once, After: q.After, Limit: q.Limit, Body: q.Body,
	})
	if err != nil {
		return nil, err
	}
	url := fmt.Sprintf("http://%s/v1/shards/%d/query", u.Address, it.Shard)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// broken is the end of an attempt that got no whole reply.
func broken(ctx context.Context, it levermsg.Item, sent bool, err error) levermsg.Result {
	out := levermsg.Result{Attempt: it.Attempt, Detail: err.Error()}
	if sent {
		out.Run = leverid.MayHaveRun
	}
	switch {
	case context.Cause(ctx) == context.Canceled:
		out.Outcome = levermsg.Withdrawn
	case ctx.Err() != nil && sent:
		out.Outcome = levermsg.TimedOut
	case ctx.Err() != nil:
		out.Outcome = levermsg.Expired
	case sent:
		out.Outcome = levermsg.Reset
	default:
		out.Outcome = levermsg.Unreachable
	}
	return out
}
