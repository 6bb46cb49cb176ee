package leverpool

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// readBufferSize, in bytes, fits the head of a response and a small body.
const readBufferSize = 4 << 10

// conn is a connection to an upstream. Its read loop never pauses, so that a
// closed connection and unexpected bytes are detected at once.
type conn struct {
	net.Conn
	pool *Pool
	host *host
	// r reads from source. Only the read loop uses them.
	r      *bufio.Reader
	source *source
	// idleSince, idleLimit and retired are guarded by the pool's mutex. retired says
	// that the connection no longer counts as open.
	idleSince time.Time
	idleLimit time.Duration
	retired   bool
	// failures holds the hashes of the requests that must not run twice to which the
	// connection has carried another answer than a success. The pool's mutex guards it.
	failures []uint64

	// responded says that the connection has carried a response. Only the read
	// loop uses it.
	responded bool

	mu sync.Mutex
	// pending is the exchange that awaits its response.
	pending  *Exchange
	closed   bool
	writing  bool
	writeErr error
}

func newConn(p *Pool, h *host, raw net.Conn) *conn {
	p.mu.Lock()
	p.stats.Dialed++
	p.mu.Unlock()
	s := &source{Reader: raw, pool: p}
	return &conn{Conn: raw, pool: p, host: h, r: bufio.NewReaderSize(s, readBufferSize), source: s, idleLimit: defaultIdleLimit}
}

// close closes the connection. It returns false if this VM has closed it before.
func (c *conn) close() bool {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	// Reads and writes in progress return an error.
	_ = c.Conn.Close()
	return first
}

// setPending makes x the exchange that awaits its response. async says that the
// request may still be being written when the response arrives. setPending
// returns false if the connection has closed.
func (c *conn) setPending(x *Exchange, async bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = x
	c.writing = async
	return true
}

// write sends a complete request. It returns no error: the read loop detects
// the failure and still accepts a response that arrived before it.
func (c *conn) write(data []byte) {
	_, err := c.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.writeErr = err
}

// run reads responses until the connection closes.
func (c *conn) run() {
	for c.readOne() {
	}
	c.source.release()
	c.close()
	c.pool.discard(c.host, c, false)
	if x := c.takePending(); x != nil {
		x.finish(nil, errors.Annotate(ErrReset, "read loop ended"))
	}
}

// readOne reads one response and delivers it. It returns false if the
// connection can't be used any more.
func (c *conn) readOne() bool {
	c.source.beginHead()
	_, err := c.r.Peek(1)
	if err != nil {
		// From here on setPending returns false.
		closedByUpstream := c.close()
		x := c.takePending()
		if x == nil {
			return false
		}
		if !c.responded && closedByUpstream {
			c.pool.recordNewConnReset(c.host)
			x.finish(nil, errors.Annotate(ErrNewConnReset, err.Error()))
			return false
		}
		x.finish(nil, errors.Annotate(ErrReset, err.Error()))
		return false
	}
	x := c.peekPending()
	if x == nil {
		return false
	}
	reply, reusable, err := c.readResponse(x)
	if err != nil || !reusable {
		c.close()
		c.takePending()
		x.finish(reply, err)
		return false
	}
	c.responded = true
	if !c.recordAnswer(x, reply) {
		c.close()
		c.takePending()
		x.finish(reply, nil)
		return false
	}
	c.takePending()
	// From here on Cancel does not close the connection.
	x.markEnded()
	c.pool.park(c)
	x.done(reply, nil)
	// A waiting call chooses with what done has told of the upstream.
	c.pool.offer(c.host)
	return true
}

// maxFailures is how many requests a connection remembers. It is closed instead of
// forgetting one.
const maxFailures = 128

var hashSeed = maphash.MakeSeed()

// recordAnswer remembers a request that may be sent again after its answer. It returns
// false if the connection must not carry further requests.
func (c *conn) recordAnswer(x *Exchange, r *Reply) bool {
	if !x.target.Once || r.Status < http.StatusMultipleChoices {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.failures) >= maxFailures {
		return false
	}
	c.failures = append(c.failures, hashOf(x.target.Request))
	return true
}

// mayRepeat reports whether a copy of an earlier answer to the request may arrive late
// on the connection, where it could not be told from the answer to the next send. The
// caller holds the pool's mutex.
func (c *conn) mayRepeat(id leverid.RequestID) bool {
	return len(c.failures) > 0 && slices.Contains(c.failures, hashOf(id))
}

func hashOf(id leverid.RequestID) uint64 { return maphash.String(hashSeed, string(id)) }

func (c *conn) peekPending() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *conn) takePending() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.pending
	c.pending = nil
	return x
}

// written reports whether the complete request has been sent.
func (c *conn) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.writeErr == nil
}

func (c *conn) readResponse(x *Exchange) (*Reply, bool, error) {
	resp, err := c.readHead(x.call.Method)
	if err != nil {
		return nil, false, err
	}
	c.source.endHead()
	// The body is not closed after an error: Close would read the rest, which may
	// have no end. The caller closes the connection instead.
	if err := x.checkHead(resp); err != nil {
		return nil, false, errors.Annotate(ErrBadResponse, err.Error())
	}
	reply := &Reply{Status: resp.StatusCode, Header: resp.Header}
	if reply.Body, err = readBody(resp); err != nil {
		return nil, false, errors.Annotate(ErrBadResponse, err.Error())
	}
	// A complete body has no rest.
	_ = resp.Body.Close()
	limit := idleLimit(resp.Header)
	c.pool.mu.Lock()
	c.idleLimit = limit
	c.pool.mu.Unlock()
	// An upstream may respond before it has read the complete request. No other
	// request may follow the unread rest.
	return reply, !resp.Close && limit > 0 && c.written() && c.r.Buffered() == 0, nil
}

// readHead reads the head of a response and skips informational (1xx) ones. Its error
// distinguishes an invalid or truncated head from a connection that closed before one
// began.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Annotate(ErrBadResponse, err.Error())
		}
		if err := checkProtocol(resp); err != nil {
			return nil, errors.Annotate(ErrBadResponse, err.Error())
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if _, err := c.r.Peek(1); errors.Is(err, errHeadTooLong) {
			return nil, errors.Annotate(ErrBadResponse, err.Error())
		} else if err != nil {
			return nil, errors.Annotatef(ErrReset, "after status %d: %v", resp.StatusCode, err)
		}
	}
}

const (
	// minStatus and maxStatus bound the statuses that HTTP has.
	minStatus = 100
	maxStatus = 599
)

// checkProtocol returns an error for a head whose framing can't be relied on: of
// another protocol version, with a status that HTTP does not have, such as 000, which
// http.ReadResponse accepts, or with a field that net/http does not take for the one
// it resembles, such as "Content-Length ".
func checkProtocol(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errors.Errorf("response in protocol %.20q", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Errorf("response with the status %03d (%d to %d)", resp.StatusCode, minStatus, maxStatus)
	}
	for name := range resp.Header {
		for _, c := range []byte(name) {
			if c <= ' ' || c > '~' {
				return errors.Errorf("response with the header field %.40q", name)
			}
		}
	}
	return nil
}

// idleLimit returns how long a connection may stay idle, from the Keep-Alive
// header of a response.
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
	return defaultIdleLimit
}
