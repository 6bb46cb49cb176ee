package leverpool

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

// Target is the upstream to call and how to call it.
type Target struct {
	// Upstream is the upstream to call. With a Placement, it is the preferred one:
	// the call goes to another one instead of waiting.
	Upstream  *leverdirectory.Upstream
	Placement Placement
	// MaxConnections is this VM's share of the upstream's connections.
	MaxConnections int
	// Once marks a request that must not run twice.
	Once bool
	// Request lets the upstream's home VM check the response. With Once, it keeps the
	// call off the connections that have carried a failed answer to the request. Rank,
	// Floors and Deadline determine how a queue in front of the upstream treats the call.
	Request  leverid.RequestID
	Rank     leverid.Rank
	Floors   leverrank.Floors
	Deadline time.Time
	// Flow determines the order of calls that wait for a connection.
	Flow leverrank.Flow
}

// Call is an encoded request that can be sent to several upstreams. NewCall
// makes one.
type Call struct {
	Method string `msgpack:"m"`
	// Head is the encoded head without the headers of a single attempt.
	Head []byte `msgpack:"h"`
	Body []byte `msgpack:"b"`
}

// NewCall encodes what all attempts of a request share. The URI is the path
// with its query; it is sent byte for byte.
func NewCall(method, uri, host string, header http.Header, body []byte) *Call {
	var b bytes.Buffer
	b.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = header.Write(&b)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Call{Method: method, Head: b.Bytes(), Body: body}
}

// encode returns the complete request with the headers of one attempt.
func (c *Call) encode(extra http.Header) []byte {
	var b bytes.Buffer
	b.Grow(len(c.Head) + attemptHeaderSize + len(c.Body))
	b.Write(c.Head)
	for name, values := range extra {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// attemptHeaderSize is the space reserved for the headers of one attempt, in
// bytes.
const attemptHeaderSize = 128

// Reply is a complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange is a call in progress.
type Exchange struct {
	pool      *Pool
	target    Target
	call      *Call
	header    func() http.Header
	checkHead func(*http.Response) error
	done      func(*Reply, error)
	host      *host
	// position is the call's place among those that wait. The pool's mutex guards it.
	position float64

	mu       sync.Mutex
	conn     *conn
	canceled bool
	ended    bool
}

// Send starts a call. header returns the headers of the attempt; it is called
// when the request is sent, which may be later, as the call may wait for a
// connection. checkHead returns an error if the response's head shows that it
// does not belong to the call. done is called once, from any goroutine and
// possibly before Send returns, with the complete response or with one of this
// package's errors except ErrQueueRejected.
func (p *Pool) Send(t Target, call *Call, header func() http.Header, checkHead func(*http.Response) error, done func(*Reply, error)) *Exchange {
	x := &Exchange{pool: p, target: t, call: call, header: header, checkHead: checkHead, done: done}
	x.acquire()
	return x
}

func (x *Exchange) acquire() {
	if g, ok := x.pool.acquire(x); ok {
		g.use()
	}
}

// Cancel cancels the call. Its connection is closed, so that the upstream drops
// the request.
func (x *Exchange) Cancel() {
	if x.abort() && x.pool.removeWaiter(x) {
		x.finish(nil, errWithdrawn())
	}
}

// Withdraw cancels the call if it has not been sent, so that it never runs. It
// reports whether the call has ended or will end unsent.
func (x *Exchange) Withdraw() bool {
	x.mu.Lock()
	if x.ended || x.conn != nil {
		ended := x.ended
		x.mu.Unlock()
		return ended
	}
	x.canceled = true
	x.mu.Unlock()
	if x.pool.removeWaiter(x) {
		x.finish(nil, errWithdrawn())
	}
	return true
}

// abort closes the connection, if there is one. It holds the mutex, so that the
// connection is not released to another exchange meanwhile. It reports whether
// the call may still wait for a connection.
func (x *Exchange) abort() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return false
	}
	x.canceled = true
	if x.conn != nil {
		x.conn.close()
		return false
	}
	return true
}

// runDial opens a connection for the exchange.
func (x *Exchange) runDial() {
	if x.isCanceled() {
		x.pool.discard(x.host, nil, false)
		x.finish(nil, errors.Annotate(ErrWithdrawn, "not connected yet"))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := x.pool.dial(ctx, x.target.Upstream.Address)
	if err != nil {
		// The caller learns of the failure first, so that its other calls don't get the
		// place.
		h := x.host
		x.finish(nil, errors.Annotate(ErrNotSent, err.Error()))
		x.pool.discard(h, nil, true)
		return
	}
	c := newConn(x.pool, x.host, raw)
	go c.run()
	if x.isCanceled() {
		x.pool.release(c)
		x.finish(nil, errors.Annotate(ErrWithdrawn, "not connected yet"))
		return
	}
	x.send(c)
}

func (x *Exchange) isCanceled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.canceled
}

// maxInlineWrite is the largest request, in bytes, that is written without a
// goroutine of its own: writing it to an idle connection can't block, as the
// socket's buffer has space for it.
const maxInlineWrite = 4 << 10

// send sends the request on a connection, or acquires another one if that has
// closed.
func (x *Exchange) send(c *conn) {
	x.mu.Lock()
	canceled := x.canceled
	if !canceled {
		x.conn = c
	}
	x.mu.Unlock()
	if canceled {
		x.pool.release(c)
		x.finish(nil, errors.Annotate(ErrWithdrawn, "not connected yet"))
		return
	}
	data := x.call.encode(x.header())
	async := len(data) > maxInlineWrite
	if !c.setPending(x, async) {
		// The connection has just closed.
		x.mu.Lock()
		x.conn = nil
		x.mu.Unlock()
		x.acquire()
		return
	}
	if async {
		go x.runWrite(c, data)
		return
	}
	c.write(data)
}

func (x *Exchange) runWrite(c *conn, data []byte) { c.write(data) }

// markEnded marks the exchange as ended by a complete response.
func (x *Exchange) markEnded() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
}

// finish reports the outcome, unless the exchange has ended before.
func (x *Exchange) finish(r *Reply, err error) {
	x.mu.Lock()
	first := !x.ended
	x.ended = true
	if err != nil && x.canceled && x.conn != nil {
		err = errors.Annotate(ErrCanceled, err.Error())
	}
	x.mu.Unlock()
	if first {
		x.done(r, err)
	}
}
