package leverstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// maxResponseBytes bounds a response body. It leaves room for a list of several
// objects of the maximum size.
const maxResponseBytes = 64 << 20

// watchGrace is added to the timeout of a call that waits, in addition to its
// wait.
const watchGrace = 2 * time.Second

// Client implements Store over HTTP. Its fields must be set before its first
// use.
type Client struct {
	// Base is the base URL of the API, such as "http://127.0.0.1:7000".
	Base string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Timeout bounds one call. For Watch and VMs, the wait and watchGrace are
	// added to it.
	Timeout time.Duration
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// Counters, if set, counts the calls by kind, and those without a complete
	// response as failures.
	Counters *leverevent.Counters
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, key leverid.ObjectKey) (Object, error) {
	resp, err := c.do(ctx, operation{kind: "get", method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	if resp.status == http.StatusNotFound {
		return Object{}, errors.NotFoundf("object %q", key)
	}
	if resp.status != http.StatusOK {
		return Object{}, resp.statusError()
	}
	rev, err := resp.revision()
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Revision: rev, Value: resp.body}, nil
}

// Put writes an object if its revision is match.
func (c *Client) Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error) {
	resp, err := c.do(ctx, operation{
		kind: "put", method: http.MethodPut, path: objectPath(key),
		body: value, match: match, conditional: true, writes: true,
	})
	if err != nil {
		return 0, err
	}
	if resp.status == http.StatusPreconditionFailed {
		return 0, errors.Annotatef(ErrConflict, "object %q at revision %d", key, match)
	}
	if resp.status != http.StatusOK {
		return 0, resp.statusError()
	}
	return resp.revision()
}

// Delete removes an object if its revision is match. It succeeds if there is no
// such object.
func (c *Client) Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error {
	resp, err := c.do(ctx, operation{
		kind: "delete", method: http.MethodDelete, path: objectPath(key),
		match: match, conditional: true, writes: true,
	})
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Annotatef(ErrConflict, "object %q at revision %d", key, match)
	}
	return resp.statusError()
}

// List returns the objects whose key begins with prefix.
func (c *Client) List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error) {
	q := url.Values{"prefix": {string(prefix)}}
	return c.changes(ctx, operation{kind: "list", method: http.MethodGet, path: "/v1/objects?" + q.Encode()})
}

// Watch waits up to wait for a change after since to the objects whose key
// begins with prefix.
func (c *Client) Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error) {
	q := waitQuery(since, wait)
	q.Set("prefix", string(prefix))
	return c.changes(ctx, operation{kind: "watch", method: http.MethodGet, path: "/v1/watch?" + q.Encode(), wait: wait})
}

// VMs waits up to wait for a list of VMs newer than since.
func (c *Client) VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error) {
	q := waitQuery(since, wait)
	resp, err := c.do(ctx, operation{kind: "vms", method: http.MethodGet, path: "/v1/vms?" + q.Encode(), wait: wait})
	if err != nil {
		return VMList{}, err
	}
	if resp.status != http.StatusOK {
		return VMList{}, resp.statusError()
	}
	var w WireVMs
	if err := json.Unmarshal(resp.body, &w); err != nil {
		return VMList{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	return VMList(w), nil
}

func (c *Client) changes(ctx context.Context, op operation) (Changes, error) {
	resp, err := c.do(ctx, op)
	if err != nil {
		return Changes{}, err
	}
	if resp.status != http.StatusOK {
		return Changes{}, resp.statusError()
	}
	var w WireChanges
	if err := json.Unmarshal(resp.body, &w); err != nil {
		return Changes{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	return w.changes(), nil
}

func waitQuery(since Revision, wait time.Duration) url.Values {
	return url.Values{
		"since":   {strconv.FormatUint(uint64(since), 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

func objectPath(key leverid.ObjectKey) string {
	parts := strings.Split(string(key), "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// operation describes one API call.
type operation struct {
	// kind names the operation in the counters.
	kind, method, path string
	body               []byte
	// match is the revision that a conditional operation requires; 0 requires
	// that the object does not exist.
	match       Revision
	conditional bool
	writes      bool
	wait        time.Duration
}

type response struct {
	status int
	etag   string
	body   []byte
}

// revision returns the object's revision, which the ETag carries.
func (r response) revision() (Revision, error) {
	n, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Annotatef(ErrOutcomeUnknown, "etag %q", r.etag)
	}
	return Revision(n), nil
}

// statusError returns the error for an unexpected status. After a server error
// other than 503 an update may have taken effect.
func (r response) statusError() error {
	if r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable {
		return errors.Annotatef(ErrOutcomeUnknown, "status %d", r.status)
	}
	return errors.Annotatef(ErrUnavailable, "status %d", r.status)
}

// do sends an operation. A write that fails once its headers have been sent may
// have taken effect, so its error is [ErrOutcomeUnknown].
func (c *Client) do(ctx context.Context, op operation) (response, error) {
	if c.Counters != nil {
		c.Counters.Add("store-calls-"+op.kind, 1)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+op.wait+graceFor(op))
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	r, err := c.request(ctx, op)
	if err != nil {
		return response{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	resp, err := c.roundTrip(r)
	if err == nil {
		return resp, nil
	}
	if c.Counters != nil {
		c.Counters.Add("store-failures-"+op.kind, 1)
	}
	if op.writes && sent.Load() {
		return response{}, errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	return response{}, errors.Annotate(ErrUnavailable, err.Error())
}

// graceFor returns watchGrace for an operation that waits, otherwise 0.
func graceFor(op operation) time.Duration {
	if op.wait > 0 {
		return watchGrace
	}
	return 0
}

func (c *Client) request(ctx context.Context, op operation) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, op.method, c.Base+op.path, bytes.NewReader(op.body))
	if err != nil {
		return nil, err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if !op.conditional {
		return r, nil
	}
	if op.match == 0 {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", `"`+strconv.FormatUint(uint64(op.match), 10)+`"`)
	}
	return r, nil
}

func (c *Client) roundTrip(r *http.Request) (response, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: b}, nil
}
