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

// Target says which upstream to call and how.
type Target struct {
	Upstream *leverdirectory.Upstream
	// MaxConnections is this VM's part of the upstream's connections.
	MaxConnections int
	// Once marks a request that must not run twice.
	Once bool
	// Request, Rank, Floors and Due say how a queue before the upstream treats
	// the call.
	Request leverid.RequestID
	Rank    leverid.Rank
	Floors  leverrank.Floors
	Due     time.Time
}

// Call is a request as it goes to several upstreams. NewCall makes one.
type Call struct {
	Method string `msgpack:"m"`
	// Head is the encoded head without the headers of one attempt.
	Head []byte `msgpack:"h"`
	Body []byte `msgpack:"b"`
}

// NewCall encodes what all attempts of a request share. The URI is the path
// with its query; it goes out byte for byte.
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

// encode returns the whole request with the headers of one attempt.
func (c *Call) encode(extra http.Header) []byte {
	var b bytes.Buffer
	b.Grow(len(c.Head) + extraSize + len(c.Body))
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

// extraSize is room for the headers of one attempt, in bytes.
const extraSize = 128

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange is one call on its way.
type Exchange struct {
	pool   *Pool
	target Target
	call   *Call
	stamp  func() http.Header
	accept func(*http.Response) error
	done   func(*Reply, error)
	host   *host

	mu       sync.Mutex
	conn     *conn
	canceled bool
	ended    bool
}

// Send sends a call. stamp returns the headers of the attempt when it is sent,
// which may be later, as the call may wait for a connection. accept decides by
// the head whether the answer belongs to the call. done is called once, from any
// goroutine and perhaps before Send returns, with the whole answer or an error:
// ErrNotSent, ErrWithdrawn, ErrReset, ErrTurnedAway, ErrBroken or ErrCanceled.
func (p *Pool) Send(t Target, call *Call, stamp func() http.Header, accept func(*http.Response) error, done func(*Reply, error)) *Exchange {
	x := &Exchange{pool: p, target: t, call: call, stamp: stamp, accept: accept, done: done}
	x.place()
	return x
}

func (x *Exchange) place() {
	c, dial := x.pool.place(x)
	if c != nil {
		x.begin(c)
	}
	if dial {
		go x.runDial()
	}
}

// Cancel gives the call up. Its connection is closed, so that the upstream
// drops the request.
func (x *Exchange) Cancel() {
	if x.cut() && x.pool.leave(x) {
		x.end(nil, errors.Annotate(ErrWithdrawn, "all connections were busy"))
	}
}

// Withdraw gives the call up if it has not been sent, so that it never runs. It
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
	if x.pool.leave(x) {
		x.end(nil, errors.Annotate(ErrWithdrawn, "all connections were busy"))
	}
	return true
}

// cut closes the connection, if there is one. The lock keeps the connection
// from being given to another exchange meanwhile. cut reports whether the call
// may still wait for a connection.
func (x *Exchange) cut() bool {
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
		x.pool.drop(x.host, nil, false)
		x.end(nil, errors.Annotate(ErrWithdrawn, "no connection yet"))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := x.pool.dial(ctx, x.target.Upstream.Address)
	if err != nil {
		x.pool.drop(x.host, nil, true)
		x.end(nil, errors.Annotate(ErrNotSent, err.Error()))
		return
	}
	c := newConn(x.pool, x.host, raw)
	go c.run()
	if x.isCanceled() {
		x.pool.give(c)
		x.end(nil, errors.Annotate(ErrWithdrawn, "no connection yet"))
		return
	}
	x.begin(c)
}

func (x *Exchange) isCanceled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.canceled
}

// smallRequest is the size in bytes up to which writing a request to an idle
// connection can't block: the socket's buffer has room.
const smallRequest = 4 << 10

// begin sends the request on a connection.
func (x *Exchange) begin(c *conn) {
	x.mu.Lock()
	canceled := x.canceled
	if !canceled {
		x.conn = c
	}
	x.mu.Unlock()
	if canceled {
		x.pool.give(c)
		x.end(nil, errors.Annotate(ErrWithdrawn, "no connection yet"))
		return
	}
	data := x.call.encode(x.stamp())
	long := len(data) > smallRequest
	if !c.expect(x, long) {
		// The connection has just ended.
		x.mu.Lock()
		x.conn = nil
		x.mu.Unlock()
		x.place()
		return
	}
	if long {
		go x.runWrite(c, data)
		return
	}
	c.write(data)
}

func (x *Exchange) runWrite(c *conn, data []byte) { c.write(data) }

// settle marks the exchange as ended by a whole answer.
func (x *Exchange) settle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
}

// end reports the outcome, once.
func (x *Exchange) end(r *Reply, err error) {
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
