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

// maxBody bounds an answer. It allows for a list of several objects of the
// largest size.
const maxBody = 64 << 20

// watchGrace is how much longer than its wait a watch may take to answer.
const watchGrace = 2 * time.Second

// Client is a Store over HTTP. Its fields must be set before its first use.
type Client struct {
	// Base is the address of the API, like "http://127.0.0.1:7000".
	Base string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Timeout bounds one call; a watch's wait comes on top.
	Timeout time.Duration
	// HTTP is the client to use, http.DefaultClient if nil.
	HTTP *http.Client
	// Counters counts the calls by kind.
	Counters *leverevent.Counters
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, key leverid.ObjectKey) (Object, error) {
	a, err := c.do(ctx, call{kind: "get", method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	if a.status == http.StatusNotFound {
		return Object{}, errors.NotFoundf("object %q", key)
	}
	if a.status != http.StatusOK {
		return Object{}, a.unexpected()
	}
	rev, err := a.revision()
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Revision: rev, Value: a.body}, nil
}

// Put writes an object under a condition.
func (c *Client) Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error) {
	a, err := c.do(ctx, call{
		kind: "put", method: http.MethodPut, path: objectPath(key),
		body: value, match: match, conditional: true, writes: true,
	})
	if err != nil {
		return 0, err
	}
	if a.status == http.StatusPreconditionFailed {
		return 0, errors.Annotatef(ErrConflict, "object %q at revision %d", key, match)
	}
	if a.status != http.StatusOK {
		return 0, a.unexpected()
	}
	return a.revision()
}

// Delete removes an object under a condition.
func (c *Client) Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error {
	a, err := c.do(ctx, call{
		kind: "delete", method: http.MethodDelete, path: objectPath(key),
		match: match, conditional: true, writes: true,
	})
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Annotatef(ErrConflict, "object %q at revision %d", key, match)
	}
	return a.unexpected()
}

// List returns the objects below a prefix.
func (c *Client) List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error) {
	q := url.Values{"prefix": {string(prefix)}}
	return c.changes(ctx, call{kind: "list", method: http.MethodGet, path: "/v1/objects?" + q.Encode()})
}

// Watch waits for a change below a prefix.
func (c *Client) Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error) {
	q := waitQuery(since, wait)
	q.Set("prefix", string(prefix))
	return c.changes(ctx, call{kind: "watch", method: http.MethodGet, path: "/v1/watch?" + q.Encode(), wait: wait})
}

// VMs waits for a newer list of VMs.
func (c *Client) VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error) {
	q := waitQuery(since, wait)
	a, err := c.do(ctx, call{kind: "vms", method: http.MethodGet, path: "/v1/vms?" + q.Encode(), wait: wait})
	if err != nil {
		return VMList{}, err
	}
	if a.status != http.StatusOK {
		return VMList{}, a.unexpected()
	}
	var w WireVMs
	if err := json.Unmarshal(a.body, &w); err != nil {
		return VMList{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	return VMList(w), nil
}

func (c *Client) changes(ctx context.Context, l call) (Changes, error) {
	a, err := c.do(ctx, l)
	if err != nil {
		return Changes{}, err
	}
	if a.status != http.StatusOK {
		return Changes{}, a.unexpected()
	}
	var w WireChanges
	if err := json.Unmarshal(a.body, &w); err != nil {
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

type call struct {
	kind, method, path string
	body               []byte
	match              Revision
	conditional        bool
	writes             bool
	wait               time.Duration
}

type answer struct {
	status int
	etag   string
	body   []byte
}

// revision reads the ETag.
func (a answer) revision() (Revision, error) {
	n, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Annotatef(ErrUnknown, "etag %q", a.etag)
	}
	return Revision(n), nil
}

// unexpected turns a status into an error. A server error of an update may
// come after its effect.
func (a answer) unexpected() error {
	if a.status >= http.StatusInternalServerError && a.status != http.StatusServiceUnavailable {
		return errors.Annotatef(ErrUnknown, "status %d", a.status)
	}
	return errors.Annotatef(ErrUnavailable, "status %d", a.status)
}

func (c *Client) do(ctx context.Context, l call) (answer, error) {
	if c.Counters != nil {
		c.Counters.Add("store-calls-"+l.kind, 1)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+l.wait+graceFor(l))
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	r, err := c.request(ctx, l)
	if err != nil {
		return answer{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	a, err := c.exchange(r)
	if err == nil {
		return a, nil
	}
	if c.Counters != nil {
		c.Counters.Add("store-failures-"+l.kind, 1)
	}
	if l.writes && sent.Load() {
		return answer{}, errors.Annotate(ErrUnknown, err.Error())
	}
	return answer{}, errors.Annotate(ErrUnavailable, err.Error())
}

func graceFor(l call) time.Duration {
	if l.wait > 0 {
		return watchGrace
	}
	return 0
}

func (c *Client) request(ctx context.Context, l call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, l.method, c.Base+l.path, bytes.NewReader(l.body))
	if err != nil {
		return nil, err
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if !l.conditional {
		return r, nil
	}
	if l.match == 0 {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", `"`+strconv.FormatUint(uint64(l.match), 10)+`"`)
	}
	return r, nil
}

func (c *Client) exchange(r *http.Request) (answer, error) {
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	w, err := h.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxBody))
	if err != nil {
		return answer{}, err
	}
	return answer{status: w.StatusCode, etag: w.Header.Get("ETag"), body: b}, nil
}
