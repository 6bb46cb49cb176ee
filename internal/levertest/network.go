// Package levertest provides test fakes: a network with delays and partitions,
// upstreams on that network, and systems of nodes and upstreams that it
// connects. The package is meant for virtual time (testing/synctest).
package levertest

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrRefused is returned by Dial if nothing listens at the address.
const ErrRefused = errors.ConstError("connection refused")

// Network simulates a network of stream connections. The zero value has no delay
// and no faults. It is safe for concurrent use.
type Network struct {
	// Delay returns the one-way delay between two hosts; nil means no delay.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]func(net.Conn)
	conns     map[*conn]bool
	// cuts holds the partitions as ordered pairs of hosts.
	cuts   map[[2]string]bool
	frozen map[string]chan struct{}
}

// Listen registers accept as the function that receives connections to host.
func (n *Network) Listen(host string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]func(net.Conn))
	}
	n.listeners[host] = accept
}

// Kill removes the listener of host and closes all its connections.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	delete(n.listeners, host)
	victims := n.selectConns(func(c *conn) bool { return c.local == host || c.remote == host })
	n.mu.Unlock()
	for _, c := range victims {
		_ = c.Close()
	}
}

// Partition drops all traffic between two hosts. Dials block until their context
// ends; open connections stay open, and both ends receive nothing.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[[2]string]bool)
	}
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
}

// Heal restores the traffic between two hosts. Connections that lost bytes
// meanwhile are closed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
	victims := n.selectConns(func(c *conn) bool {
		return c.lostBytes && (c.local == a && c.remote == b || c.local == b && c.remote == a)
	})
	n.mu.Unlock()
	for _, c := range victims {
		_ = c.Close()
	}
}

// Freeze stops the traffic of host. Dials and writes to and from it block until
// Unfreeze.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(map[string]chan struct{})
	}
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Unfreeze resumes the traffic of a frozen host.
func (n *Network) Unfreeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.frozen[host]; c != nil {
		close(c)
		delete(n.frozen, host)
	}
}

// Wait blocks while host is frozen, or until ctx ends.
func (n *Network) Wait(ctx context.Context, host string) error {
	n.mu.Lock()
	c := n.frozen[host]
	n.mu.Unlock()
	if c == nil {
		return nil
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) selectConns(want func(*conn) bool) []*conn {
	var out []*conn
	for c := range n.conns {
		if want(c) {
			out = append(out, c)
		}
	}
	return out
}

func (n *Network) delay(from, to string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

// Dial opens a connection from one host to another, which takes one round trip.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	t := time.NewTimer(2 * n.delay(from, to))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := n.Wait(ctx, from); err != nil {
		return nil, err
	}
	if err := n.Wait(ctx, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	accept := n.listeners[to]
	partitioned := n.cuts[[2]string{from, to}]
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if accept == nil {
		return nil, ErrRefused
	}
	a, b := n.newConnPair(from, to)
	accept(b)
	return a, nil
}

func (n *Network) newConnPair(from, to string) (a, b *conn) {
	up, down := newPipe(), newPipe()
	a = &conn{net: n, local: from, remote: to, in: down, out: up}
	b = &conn{net: n, local: to, remote: from, in: up, out: down}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[a] = true
	n.conns[b] = true
	return a, b
}

// chunk is the data of one write together with its time of arrival.
type chunk struct {
	at   time.Time
	data []byte
}

// pipe is one direction of a connection.
type pipe struct {
	mu     sync.Mutex
	queue  []chunk
	closed bool
	signal chan struct{}
}

func newPipe() *pipe { return &pipe{signal: make(chan struct{}, 1)} }

func (p *pipe) notify() {
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

func (p *pipe) push(c chunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.queue = append(p.queue, c)
	p.notify()
	return true
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.notify()
}

// conn implements net.Conn. It is one end of a connection.
type conn struct {
	net           *Network
	local, remote string
	in, out       *pipe
	lostBytes     bool

	mu       sync.Mutex
	deadline time.Time
}

// Read returns bytes that have arrived.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.in.mu.Lock()
		var wait time.Duration
		switch {
		case len(c.in.queue) > 0:
			first := &c.in.queue[0]
			wait = time.Until(first.at)
			if wait <= 0 {
				n := copy(b, first.data)
				first.data = first.data[n:]
				if len(first.data) == 0 {
					c.in.queue = c.in.queue[1:]
				}
				c.in.mu.Unlock()
				return n, nil
			}
		case c.in.closed:
			c.in.mu.Unlock()
			return 0, io.EOF
		}
		c.in.mu.Unlock()
		if err := c.await(wait); err != nil {
			return 0, err
		}
	}
}

// await returns when the pipe has changed, after wait if that is not 0, or at
// the read deadline.
func (c *conn) await(wait time.Duration) error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if !deadline.IsZero() {
		left := time.Until(deadline)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if wait == 0 {
		<-c.in.signal
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.in.signal:
	}
	return nil
}

// Write sends bytes, which arrive after the network's delay.
func (c *conn) Write(b []byte) (int, error) {
	ctx := context.Background()
	if err := c.net.Wait(ctx, c.local); err != nil {
		return 0, err
	}
	if err := c.net.Wait(ctx, c.remote); err != nil {
		return 0, err
	}
	c.net.mu.Lock()
	partitioned := c.net.cuts[[2]string{c.local, c.remote}]
	c.lostBytes = c.lostBytes || partitioned
	c.net.mu.Unlock()
	if partitioned {
		return len(b), nil
	}
	at := time.Now().Add(c.net.delay(c.local, c.remote))
	if !c.out.push(chunk{at, append([]byte(nil), b...)}) {
		return 0, io.ErrClosedPipe
	}
	return len(b), nil
}

// Close closes both directions.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

// LocalAddr returns the host at this end.
func (c *conn) LocalAddr() net.Addr { return hostAddr(c.local) }

// RemoteAddr returns the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return hostAddr(c.remote) }

// SetDeadline sets the read deadline. Writes never wait for the reader.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.notify()
	return nil
}

// SetWriteDeadline does nothing, as writes never wait for the reader.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

type hostAddr string

// Network returns "test".
func (hostAddr) Network() string { return "test" }

// String returns the host.
func (a hostAddr) String() string { return string(a) }
