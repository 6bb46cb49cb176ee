package leverpool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"

	"github.com/juju/errors"
)

// maxReply bounds the body of an answer in bytes.
const maxReply = 8 << 20

// Target says which upstream to call and how.
type Target struct {
	Upstream *leverdirectory.Upstream
	// MaxConnections is this VM's part of the upstream's connections.
	MaxConnections int
	// Once marks a request that must not run twice.
	Once bool
}

// Call is a request as it goes to an upstream.
type Call struct {
	Method string
	// URI is the path with its query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// First is when the answer's head was read.
	First time.Time
}

// Do sends a call and waits for its whole answer until ctx ends; the
// connection is then closed. accept decides by the head whether the answer
// belongs to this call. The error is ErrNotSent, ErrReset, ErrBroken or
// ErrTimeout.
func (p *Pool) Do(ctx context.Context, t Target, call *Call, accept func(*http.Response) error) (*Reply, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends what waits on the connection.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	reply, reusable, err := c.exchange(call, accept)
	if !stop() {
		reusable = false
		if err != nil {
			err = errors.Annotate(ErrTimeout, err.Error())
		}
	}
	p.put(c, reusable)
	return reply, err
}

func (c *conn) exchange(call *Call, accept func(*http.Response) error) (*Reply, bool, error) {
	_, writeErr := c.Write(call.encode())
	// An upstream may answer and close before it has read all of the request:
	// the answer is read even if the write failed.
	w, err := c.head(call.Method)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return nil, false, failure(err)
	}
	defer w.Body.Close()
	if err := accept(w); err != nil {
		return nil, false, errors.Annotate(ErrBroken, err.Error())
	}
	reply := &Reply{Status: w.StatusCode, Header: w.Header, First: time.Now()}
	if reply.Body, err = io.ReadAll(io.LimitReader(w.Body, maxReply+1)); err != nil {
		return nil, false, errors.Annotate(ErrBroken, err.Error())
	}
	if len(reply.Body) > maxReply {
		return nil, false, errors.Annotatef(ErrBroken, "over %d bytes", maxReply)
	}
	c.idleLimit = idleLimit(w.Header)
	return reply, writeErr == nil && !w.Close && c.idleLimit > 0, nil
}

// head reads the head of the answer, after any informational ones.
func (c *conn) head(method string) (*http.Response, error) {
	for {
		w, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil || w.StatusCode >= http.StatusOK {
			return w, err
		}
	}
}

// failure tells a connection that ended from bytes that are no answer.
func failure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Annotate(ErrTimeout, err.Error())
	}
	if strings.HasPrefix(err.Error(), "malformed") {
		return errors.Annotate(ErrBroken, err.Error())
	}
	return errors.Annotate(ErrReset, err.Error())
}

// idleLimit reads how long the upstream keeps an idle connection.
func idleLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(k, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return idleUnstated
}

// encode writes the request. The URI goes out byte for byte, which
// http.Request.Write does not promise.
func (c *Call) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Body))
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = c.Header.Write(&b)
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}
