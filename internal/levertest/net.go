// Package levertest holds small fakes for the interfaces of the parts: a
// network with delays and cuts, upstreams on it, and whole nodes
// joined by them. It is made for virtual time (testing/synctest).
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

// ErrRefused means that nobody listens at an address.
const ErrRefused = errors.ConstError("connection refused")

// Net is a network of stream connections. The zero value has no delay and no
// faults. It is safe for concurrent use.
type Net struct {
	// Delay gives the one-way delay between two hosts; nil for none.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]func(net.Conn)
	conns     map[*conn]bool
	cuts      map[[2]string]bool
	held      map[string]chan struct{}
}

// Listen gives the connections to host to accept.
func (n *Net) Listen(host string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]func(net.Conn))
	}
	n.listeners[host] = accept
}

// Kill ends host's listening and all its connections.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	delete(n.listeners, host)
	victims := n.pick(func(c *conn) bool { return c.local == host || c.remote == host })
	n.mu.Unlock()
	for _, c := range victims {
		_ = c.Close()
	}
}

// Cut stops all bytes between two hosts and refuses new connections, until
// Mend. Connections are not closed: both ends just hear nothing.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[[2]string]bool)
	}
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
}

// Mend ends a cut. The connections that it silenced are closed, as they have
// lost bytes.
func (n *Net) Mend(a, b string) {
	n.mu.Lock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
	victims := n.pick(func(c *conn) bool {
		return c.lost && (c.local == a && c.remote == b || c.local == b && c.remote == a)
	})
	n.mu.Unlock()
	for _, c := range victims {
		_ = c.Close()
	}
}

// Hold makes host stand still for the network: bytes to and from it wait until
// Release.
func (n *Net) Hold(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held == nil {
		n.held = make(map[string]chan struct{})
	}
	if n.held[host] == nil {
		n.held[host] = make(chan struct{})
	}
}

// Release ends a Hold.
func (n *Net) Release(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.held[host]; c != nil {
		close(c)
		delete(n.held, host)
	}
}

// Wait returns when host is not held, or when ctx ends.
func (n *Net) Wait(ctx context.Context, host string) error {
	n.mu.Lock()
	c := n.held[host]
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

func (n *Net) pick(want func(*conn) bool) []*conn {
	var out []*conn
	for c := range n.conns {
		if want(c) {
			out = append(out, c)
		}
	}
	return out
}

func (n *Net) delay(from, to string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

// Dial opens a connection from one host to another.
func (n *Net) Dial(ctx context.Context, from, to string) (net.Conn, error) {
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
	cut := n.cuts[[2]string{from, to}]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if accept == nil {
		return nil, ErrRefused
	}
	a, b := n.pair(from, to)
	accept(b)
	return a, nil
}

func (n *Net) pair(from, to string) (a, b *conn) {
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

// chunk is bytes under way.
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

func (p *pipe) ring() {
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
	p.ring()
	return true
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.ring()
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	net           *Net
	local, remote string
	in, out       *pipe
	lost          bool

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

// await waits for a signal, for a chunk's time or for the read deadline.
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

// Write sends bytes; they arrive after the network's delay.
func (c *conn) Write(b []byte) (int, error) {
	ctx := context.Background()
	if err := c.net.Wait(ctx, c.local); err != nil {
		return 0, err
	}
	if err := c.net.Wait(ctx, c.remote); err != nil {
		return 0, err
	}
	c.net.mu.Lock()
	cut := c.net.cuts[[2]string{c.local, c.remote}]
	c.lost = c.lost || cut
	c.net.mu.Unlock()
	if cut {
		return len(b), nil
	}
	at := time.Now().Add(c.net.delay(c.local, c.remote))
	if !c.out.push(chunk{at, append([]byte(nil), b...)}) {
		return 0, io.ErrClosedPipe
	}
	return len(b), nil
}

// Close ends both directions.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

// LocalAddr returns the own host.
func (c *conn) LocalAddr() net.Addr { return hostAddr(c.local) }

// RemoteAddr returns the other host.
func (c *conn) RemoteAddr() net.Addr { return hostAddr(c.remote) }

// SetDeadline sets the read deadline; writes never wait for the reader.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.ring()
	return nil
}

// SetWriteDeadline does nothing.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

type hostAddr string

// Network returns "test".
func (hostAddr) Network() string { return "test" }

// String returns the host.
func (a hostAddr) String() string { return string(a) }
