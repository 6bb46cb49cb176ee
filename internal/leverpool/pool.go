// Package leverpool calls upstreams over HTTP/1.1 connections that it keeps
// itself, so that what happened to a request is always known: not sent, ended
// by a whole answer, or sent without one.
package leverpool

import (
	"context"
	"net"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/levertcp"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrWithdrawn is an ErrNotSent of a call that was given up: it tells
	// nothing about the upstream.
	ErrWithdrawn = errors.ConstError("call was withdrawn")
	// ErrNoRoom means that a queue before the upstream refused the call, which
	// has not run.
	ErrNoRoom = errors.ConstError("no room at the upstream")
	// ErrReset means that the connection ended after the request had been sent
	// and before an answer began.
	ErrReset = errors.ConstError("connection ended without an answer")
	// ErrTurnedAway is an ErrReset of a new connection: the upstream may hold
	// as many as it takes, or may have run the request.
	ErrTurnedAway = errors.ConstError("new connection ended without an answer")
	// ErrBroken means that the answer was not whole or not an answer.
	ErrBroken = errors.ConstError("answer is not whole")
	// ErrCanceled means that the request was sent and given up.
	ErrCanceled = errors.ConstError("given up before an answer came")
)

const (
	// dialTimeout is about a hundred times a connection's usual set-up.
	dialTimeout = 500 * time.Millisecond
	// silence ends a connection whose peer acknowledges nothing.
	silence = 1500 * time.Millisecond
	// probeIdle and probeGap are the keep-alive probes' times; three unanswered
	// probes end the connection.
	probeIdle = time.Second
	probeGap  = time.Second
	// idleUnstated is how long a connection is kept if the upstream states no
	// idle timeout.
	idleUnstated = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout.
	idleMargin = 700 * time.Millisecond
	// onceIdle is the longest idle time of a connection that carries a request
	// which can't be repeated: the upstream may have dropped an older one.
	onceIdle = 150 * time.Millisecond
)

// Pool keeps the connections to all upstreams. The zero value is ready to use.
// It is safe for concurrent use.
type Pool struct {
	// Dial replaces the TCP dialer, in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[leverdirectory.Key]*host
	stats Stats
}

// Stats count what the pool did since the start.
type Stats struct {
	// Dialed and Failed count the connections that were made and that could
	// not be made, Reused the calls on kept ones.
	Dialed, Failed, Reused int64
	// TurnedAway counts the new connections that ended without an answer.
	TurnedAway int64
	// Open and Waiting are the present connections and the calls that wait for
	// one.
	Open, Waiting int64
}

// Stats returns the counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	for _, h := range p.hosts {
		s.Open += int64(h.open)
		s.Waiting += int64(len(h.waiters))
	}
	return s
}

// host is the connections to one start of an upstream. The pool's lock guards
// it.
type host struct {
	idle    []*conn
	open    int
	waiters []*Exchange
	gone    bool
	// cap bounds the connections until capUntil: the upstream has turned a new
	// one away, as it holds as many as it takes.
	cap      int
	capUntil time.Time
}

// capTime is how long a connection that was turned away bounds the others.
const capTime = time.Second

// limit returns how many connections may be open.
func (h *host) limit(most int, now time.Time) int {
	if now.Before(h.capUntil) {
		most = min(most, h.cap)
	}
	return max(most, 1)
}

// Retain closes the idle connections to upstreams that known refuses.
func (p *Pool) Retain(known func(leverdirectory.Key) bool) {
	p.mu.Lock()
	var closing []*conn
	for k, h := range p.hosts {
		if known(k) {
			continue
		}
		h.gone = true
		closing = append(closing, h.idle...)
		h.idle = nil
		// Calls that are still open hold the host themselves.
		delete(p.hosts, k)
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// Close closes the idle connections. Connections in use are closed when their
// calls end.
func (p *Pool) Close() { p.Retain(func(leverdirectory.Key) bool { return false }) }

// place finds a connection for an exchange. Without one it makes room for a new
// connection, or lets the exchange wait.
func (p *Pool) place(x *Exchange) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(x.target.Upstream.Key())
	x.host = h
	if c := p.reuse(h, x.target.Once); c != nil {
		return c, false
	}
	if h.open < h.limit(x.target.MaxConnections, time.Now()) {
		h.open++
		return nil, true
	}
	h.waiters = append(h.waiters, x)
	if len(h.idle) > 0 {
		// The idle ones are too old for a request that must not run twice. The
		// end of one gives its place to the request.
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		oldest.close()
	}
	return nil, false
}

func (p *Pool) host(k leverdirectory.Key) *host {
	if p.hosts == nil {
		p.hosts = make(map[leverdirectory.Key]*host)
	}
	h := p.hosts[k]
	if h == nil {
		h = &host{}
		p.hosts[k] = h
	}
	return h
}

// reuse returns the connection that was used last, if it is not too old.
func (p *Pool) reuse(h *host, once bool) *conn {
	now := time.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		limit := c.idleLimit
		if once {
			limit = min(limit, onceIdle)
		}
		if now.Sub(c.idleSince) < limit {
			h.idle = h.idle[:len(h.idle)-1]
			p.stats.Reused++
			return c
		}
		if once && now.Sub(c.idleSince) < c.idleLimit {
			return nil
		}
		h.idle = h.idle[:len(h.idle)-1]
		// Its reading ends with it and gives its place back.
		c.close()
	}
	return nil
}

// give takes a connection back after a whole answer, for the next that waits.
func (p *Pool) give(c *conn) {
	p.mu.Lock()
	h := c.host
	if h.gone {
		p.mu.Unlock()
		c.close()
		return
	}
	next := h.nextWaiter()
	if next == nil {
		c.idleSince = time.Now()
		h.idle = append(h.idle, c)
	}
	p.mu.Unlock()
	if next != nil {
		next.begin(c)
	}
}

// turnedAway takes in that an upstream ended a connection that had carried no
// answer.
func (p *Pool) turnedAway(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.TurnedAway++
	h.cap = max(h.open-1, 1)
	h.capUntil = time.Now().Add(capTime)
}

// drop takes in that a connection has ended, or could not be made.
func (p *Pool) drop(h *host, c *conn, failed bool) {
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
	next := h.nextWaiter()
	if next == nil {
		h.open--
	}
	p.mu.Unlock()
	if next != nil {
		go next.runDial()
	}
}

func (h *host) nextWaiter() *Exchange {
	if len(h.waiters) == 0 {
		return nil
	}
	next := h.waiters[0]
	h.waiters = h.waiters[1:]
	return next
}

// leave takes an exchange out of those that wait. It returns false if it does
// not wait any more.
func (p *Pool) leave(x *Exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range x.host.waiters {
		if w == x {
			x.host.waiters = append(x.host.waiters[:i:i], x.host.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: 3},
	ControlContext:  levertcp.BoundSilence(silence),
}
