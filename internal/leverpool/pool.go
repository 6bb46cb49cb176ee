// Package leverpool calls upstreams over HTTP/1.1 connections that it manages
// itself, so that the outcome of a request is always known: not sent, ended by
// a complete response, or sent without one.
package leverpool

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/levertcp"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrWithdrawn means that the call was canceled before it was sent. It says
	// nothing about the upstream.
	ErrWithdrawn = errors.ConstError("call was withdrawn")
	// ErrQueueRejected means that a queue in front of the upstream rejected
	// the call, which has not run.
	ErrQueueRejected = errors.ConstError("upstream queue rejected the call")
	// ErrReset means that the connection closed after the request had been sent
	// and before a response began.
	ErrReset = errors.ConstError("connection closed without a response")
	// ErrNewConnReset means the same for a new connection: the upstream may be
	// at its connection limit, or may have run the request.
	ErrNewConnReset = errors.ConstError("new connection closed without a response")
	// ErrBadResponse means that the response was incomplete or invalid, or
	// belonged to another call.
	ErrBadResponse = errors.ConstError("response is incomplete or invalid")
	// ErrVMLost means that contact was lost with the VM that made the call, which
	// may have run. It says nothing about the upstream.
	ErrVMLost = errors.ConstError("lost contact with the VM that made the call")
	// ErrCanceled means that the call was canceled after the request had been
	// sent.
	ErrCanceled = errors.ConstError("canceled before the response arrived")
)

const (
	// dialTimeout is about a hundred times the usual time to set up a
	// connection.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long a peer may leave sent data unacknowledged before
	// the connection is closed.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval time the keep-alive probes; three
	// unanswered probes close the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// defaultIdleLimit is how long an idle connection is kept if the upstream
	// states no idle timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout.
	idleMargin = 700 * time.Millisecond
	// onceIdleLimit is the longest idle time of a connection that carries a
	// request which must not run twice: the upstream may have closed an older
	// one.
	onceIdleLimit = 150 * time.Millisecond
)

// Pool manages the connections to all upstreams. The zero value is ready to
// use. It is safe for concurrent use.
type Pool struct {
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxBodyBytes bounds the memory of large responses that are being received, in
	// bytes; 0 means 64 MiB. A call whose response would exceed it fails.
	MaxBodyBytes int64

	bodyBytes atomic.Int64

	mu    sync.Mutex
	hosts map[leverdirectory.Key]*host
	// waiting holds the calls that wait for a connection, in the order in which they are
	// sent, which orders decides. offering says that runOffers runs, closed that they are not sent any more.
	waiting          map[leverid.ServiceID][]*Exchange
	orders           map[leverid.ServiceID]*leverrank.Order
	offering, closed bool
	stats            Stats
}

// Stats counts the activity of a pool since the start.
type Stats struct {
	// Dialed and Failed count the successful and failed dials, Reused the calls
	// that were sent on an idle connection.
	Dialed, Failed, Reused int64
	// NewConnResets counts the new connections that closed without a response.
	NewConnResets int64
	// Open is the number of connections, including those being dialed; Waiting
	// is the number of calls that wait for one.
	Open, Waiting int64
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	for _, h := range p.hosts {
		s.Open += int64(h.open)
	}
	for _, list := range p.waiting {
		s.Waiting += int64(len(list))
	}
	return s
}

// host holds the connections to one instance of an upstream. The pool's mutex
// guards it.
type host struct {
	service leverid.ServiceID
	idle    []*conn
	open    int
	removed bool
	// maxOpen bounds the connections until maxOpenUntil: the upstream has
	// closed a new one without a response, as it is at its connection limit.
	maxOpen      int
	maxOpenUntil time.Time
}

// maxOpenTTL is how long maxOpen applies.
const maxOpenTTL = time.Second

// limit returns how many connections may be open.
func (h *host) limit(configured int, now time.Time) int {
	if now.Before(h.maxOpenUntil) {
		configured = min(configured, h.maxOpen)
	}
	return max(configured, 1)
}

// Retain closes the idle connections to upstreams for which known returns
// false, and offers the room of the others to the calls that wait.
func (p *Pool) Retain(known func(leverdirectory.Key) bool) {
	p.mu.Lock()
	var closing []*conn
	for k, h := range p.hosts {
		if known(k) {
			continue
		}
		h.removed = true
		closing = append(closing, h.idle...)
		h.idle = nil
		// Calls in flight keep their own reference to the host.
		delete(p.hosts, k)
	}
	grants := p.offerAll()
	p.mu.Unlock()
	useAll(grants)
	for _, c := range closing {
		c.close()
	}
}

// Close closes the idle connections. Connections in use are closed when their
// calls end. Calls that wait are not sent any more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(func(leverdirectory.Key) bool { return false })
}

func (p *Pool) host(u *leverdirectory.Upstream) *host {
	k := u.Key()
	if p.hosts == nil {
		p.hosts = make(map[leverdirectory.Key]*host)
	}
	h := p.hosts[k]
	if h == nil {
		h = &host{service: u.Service}
		p.hosts[k] = h
	}
	return h
}

// takeIdle returns the most recently used idle connection that may carry a call to t,
// or nil. It closes those that are past their idle limit.
func (p *Pool) takeIdle(h *host, t *Target, now time.Time) *conn {
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		idle := now.Sub(c.idleSince)
		if idle >= c.idleLimit {
			h.idle = slices.Delete(h.idle, i, i+1)
			retire(c)
			continue
		}
		if t.Once && idle >= onceIdleLimit {
			// The others have been idle for longer.
			return nil
		}
		if t.Once && c.mayRepeat(t.Request) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		p.stats.Reused++
		return c
	}
	return nil
}

// retire closes a connection that was idle. It no longer counts as open.
func retire(c *conn) {
	c.retired = true
	c.host.open--
	c.close()
}

// release passes a connection that was not used to a call that waits, or adds it to
// the idle ones.
func (p *Pool) release(c *conn) {
	p.park(c)
	p.offer(c.host)
}

// park adds a connection to the idle ones. The caller calls offer next.
func (p *Pool) park(c *conn) {
	p.mu.Lock()
	h := c.host
	if h.removed {
		p.mu.Unlock()
		c.close()
		return
	}
	c.idleSince = time.Now()
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// recordNewConnReset records that an upstream closed a connection that had
// carried no response, and lowers the number of connections that may be open.
func (p *Pool) recordNewConnReset(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.NewConnResets++
	h.maxOpen = max(h.open-1, 1)
	h.maxOpenUntil = time.Now().Add(maxOpenTTL)
}

// discard records that a connection has closed, or could not be made. Its place may
// go to a call that waits.
func (p *Pool) discard(h *host, c *conn, failed bool) {
	p.mu.Lock()
	if failed {
		p.stats.Failed++
	}
	for i, idle := range h.idle {
		if idle == c {
			h.idle = append(h.idle[:i:i], h.idle[i+1:]...)
			break
		}
	}
	if c == nil || !c.retired {
		h.open--
	}
	p.mu.Unlock()
	p.offer(h)
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3},
	ControlContext:  levertcp.UserTimeout(ackTimeout),
}
