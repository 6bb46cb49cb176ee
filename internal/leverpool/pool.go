// Package leverpool calls upstreams over HTTP/1.1 connections that it keeps
// itself, so that what happened to a request is always known: not sent, ended
// by a whole answer, or sent without one.
package leverpool

import (
	"bufio"
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
	// ErrReset means that the connection ended after the request had been sent
	// and before an answer began.
	ErrReset = errors.ConstError("connection ended without an answer")
	// ErrBroken means that the answer was not whole or not an answer.
	ErrBroken = errors.ConstError("answer is not whole")
	// ErrTimeout means that the request was sent and given up.
	ErrTimeout = errors.ConstError("no answer in time")
)

const (
	// dialTimeout is about a hundred times a connection's usual set-up.
	dialTimeout = 500 * time.Millisecond
	// silence ends a connection whose peer acknowledges nothing.
	silence = 1500 * time.Millisecond
	// probeIdle and probeGap are the keep-alive probes' times; three unanswered
	// probes end the connection.
	probeIdle = time.Second
	probeGap  = 500 * time.Millisecond
	// idleUnstated is how long a connection is kept if the upstream states no
	// idle timeout.
	idleUnstated = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout.
	idleMargin = 700 * time.Millisecond
	bufferSize = 4 << 10
)

// Pool keeps the connections to all upstreams. The zero value is ready to use.
// It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	hosts map[leverdirectory.Key]*host
	stats Stats
}

// Stats count what the pool did.
type Stats struct {
	Dialed, Reused, Failed int64
}

// Stats returns the counts since the start.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// host is the connections to one start of an upstream.
type host struct {
	idle    []*conn
	open    int
	waiters []chan *conn
	gone    bool
}

type conn struct {
	net.Conn
	r         *bufio.Reader
	host      *host
	idleSince time.Time
	idleLimit time.Duration
	used      int
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
		h.open -= len(h.idle)
		h.idle = nil
		delete(p.hosts, k)
	}
	p.mu.Unlock()
	for _, c := range closing {
		// The connection is idle; an error of the close changes nothing.
		_ = c.Close()
	}
}

// get returns an idle connection, a new one, or the next that is given back.
// fresh asks for one that was not idle for longer than freshIdle.
func (p *Pool) get(ctx context.Context, t Target) (*conn, error) {
	h, c, wait := p.reserve(t)
	if c != nil {
		return c, nil
	}
	if wait != nil {
		select {
		case c := <-wait:
			if c != nil {
				return c, nil
			}
		case <-ctx.Done():
			p.abandon(h, wait)
			return nil, errors.Annotate(ErrNotSent, "all connections are busy")
		}
	}
	return p.dial(ctx, h, t.Upstream.Address)
}

// reserve finds an idle connection, or makes room for a new one, or queues.
func (p *Pool) reserve(t Target) (*host, *conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[leverdirectory.Key]*host)
	}
	k := t.Upstream.Key()
	h := p.hosts[k]
	if h == nil {
		h = &host{}
		p.hosts[k] = h
	}
	now := time.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		limit := c.idleLimit
		if t.Once {
			limit = min(limit, onceIdle)
		}
		if now.Sub(c.idleSince) < limit && levertcp.Quiet(c.Conn) {
			p.stats.Reused++
			return h, c, nil
		}
		h.open--
		_ = c.Close()
	}
	if h.open < max(t.MaxConnections, 1) {
		h.open++
		return h, nil, nil
	}
	wait := make(chan *conn, 1)
	h.waiters = append(h.waiters, wait)
	return h, nil, wait
}

// onceIdle is the longest idle time of a connection that carries a request
// which can't be repeated: the upstream may have dropped an older one.
const onceIdle = time.Second

func (p *Pool) dial(ctx context.Context, h *host, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: 3},
		ControlContext:  levertcp.BoundSilence(silence),
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.stats.Failed++
		p.release(h)
		return nil, errors.Annotate(ErrNotSent, err.Error())
	}
	p.stats.Dialed++
	return &conn{Conn: c, r: bufio.NewReaderSize(c, bufferSize), host: h, idleLimit: idleUnstated}, nil
}

// release gives a connection's place to the next that waits.
func (p *Pool) release(h *host) {
	if len(h.waiters) == 0 {
		h.open--
		return
	}
	next := h.waiters[0]
	h.waiters = h.waiters[1:]
	next <- nil
}

func (p *Pool) abandon(h *host, wait chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range h.waiters {
		if w == wait {
			h.waiters = append(h.waiters[:i:i], h.waiters[i+1:]...)
			return
		}
	}
	// The place was given in the meantime.
	if c := <-wait; c != nil {
		p.give(c)
		return
	}
	p.release(h)
}

// put takes a connection back. A connection that can't be used again is closed.
func (p *Pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.used++
	if reusable && !c.host.gone && c.r.Buffered() == 0 {
		p.give(c)
		return
	}
	_ = c.Close()
	p.release(c.host)
}

// give hands a connection to the next that waits, or keeps it.
func (p *Pool) give(c *conn) {
	c.idleSince = time.Now()
	h := c.host
	if len(h.waiters) == 0 {
		h.idle = append(h.idle, c)
		return
	}
	next := h.waiters[0]
	h.waiters = h.waiters[1:]
	next <- c
}
