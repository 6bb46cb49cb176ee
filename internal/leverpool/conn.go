package leverpool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxReply bounds the body of an answer in bytes.
	maxReply = 8 << 20
	// readBuffer holds the head of an answer and a small body.
	readBuffer = 4 << 10
)

// conn is one connection to an upstream. Its loop reads all the time, so that
// the end of the connection and bytes that nobody asked for are seen at once.
type conn struct {
	net.Conn
	pool *Pool
	host *host
	r    *bufio.Reader
	// idleSince and idleLimit are guarded by the pool's lock.
	idleSince time.Time
	idleLimit time.Duration

	// answered says that the connection has carried an answer. Only its loop
	// uses it.
	answered bool

	mu sync.Mutex
	// pending is the exchange whose answer is due.
	pending  *Exchange
	closed   bool
	writing  bool
	writeErr error
}

func newConn(p *Pool, h *host, raw net.Conn) *conn {
	p.mu.Lock()
	p.stats.Dialed++
	p.mu.Unlock()
	return &conn{Conn: raw, pool: p, host: h, r: bufio.NewReaderSize(raw, readBuffer), idleLimit: idleUnstated}
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	// What is read or written on it ends with an error.
	_ = c.Conn.Close()
}

// expect makes x the exchange whose answer is due. A long request may still be
// on its way out when its answer comes. expect returns false if the connection
// has ended.
func (c *conn) expect(x *Exchange, long bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = x
	c.writing = long
	return true
}

// write sends a whole request. Its failure shows in the reading, where an
// answer that came before is still taken.
func (c *conn) write(data []byte) {
	_, err := c.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.writeErr = err
}

// run reads answers until the connection ends.
func (c *conn) run() {
	for c.readOne() {
	}
	c.close()
	c.pool.drop(c.host, c, false)
	if x := c.take(); x != nil {
		x.end(nil, errors.Annotate(ErrReset, "connection closed"))
	}
}

// readOne reads one answer and hands it on. It returns false if the connection
// can't be used any more.
func (c *conn) readOne() bool {
	_, err := c.r.Peek(1)
	if err != nil {
		// An exchange that begins now finds the connection closed.
		c.close()
		x := c.take()
		if x == nil {
			return false
		}
		if !c.answered {
			c.pool.turnedAway(c.host)
			x.end(nil, errors.Annotate(ErrTurnedAway, err.Error()))
			return false
		}
		x.end(nil, errors.Annotate(ErrReset, err.Error()))
		return false
	}
	x := c.present()
	if x == nil {
		return false
	}
	reply, reusable, err := c.answer(x)
	if err != nil || !reusable {
		c.close()
		c.take()
		x.end(reply, err)
		return false
	}
	c.answered = true
	c.take()
	// From here on Cancel leaves the connection alone.
	x.settle()
	c.pool.give(c)
	x.done(reply, nil)
	return true
}

func (c *conn) present() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *conn) take() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.pending
	c.pending = nil
	return x
}

// written reports whether the whole request is out.
func (c *conn) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.writeErr == nil
}

func (c *conn) answer(x *Exchange) (*Reply, bool, error) {
	w, err := c.head(x.call.Method)
	if err != nil {
		return nil, false, failure(err)
	}
	defer w.Body.Close()
	if err := x.accept(w); err != nil {
		return nil, false, errors.Annotate(ErrBroken, err.Error())
	}
	reply := &Reply{Status: w.StatusCode, Header: w.Header}
	if reply.Body, err = readBody(w); err != nil {
		return nil, false, errors.Annotate(ErrBroken, err.Error())
	}
	limit := idleLimit(w.Header)
	c.pool.mu.Lock()
	c.idleLimit = limit
	c.pool.mu.Unlock()
	// An upstream may answer before it has read the whole request. The rest of
	// it must not be followed by another request.
	return reply, !w.Close && limit > 0 && c.written() && c.r.Buffered() == 0, nil
}

func readBody(w *http.Response) ([]byte, error) {
	if w.Body == http.NoBody {
		// The length may be that of a body which a HEAD request does not get.
		return nil, nil
	}
	if w.ContentLength >= 0 && w.ContentLength <= maxReply {
		b := make([]byte, w.ContentLength)
		_, err := io.ReadFull(w.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(w.Body, maxReply+1))
	if err == nil && len(b) > maxReply {
		err = errors.Errorf("over %d bytes", maxReply)
	}
	return b, err
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

// failure tells bytes that are no answer from a connection that ended in the
// middle of one.
func failure(err error) error {
	if strings.Contains(err.Error(), "malformed") || errors.Is(err, io.ErrUnexpectedEOF) {
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
