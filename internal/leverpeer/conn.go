package leverpeer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/juju/errors"
)

// clientConn is the connection to one peer.
type clientConn struct {
	client *Client
	vm     levermsg.VM
	ready  chan struct{}
	// link and err are set before ready is closed.
	link *link
	err  error

	mu     sync.Mutex
	next   CallID
	calls  map[CallID]*Call
	used   time.Time
	closed bool
	// idle says that this end closed the connection for want of use.
	idle bool
}

func (c *clientConn) run() {
	c.link, c.err = c.open()
	if c.err != nil {
		c.end(c.err)
		close(c.ready)
		return
	}
	close(c.ready)
	if c.client.isClosed() {
		c.end(ErrClosed)
		return
	}
	go c.link.runWriter()
	c.end(c.readAll())
}

func (c *clientConn) open() (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.client.dial(ctx, c.vm.Peer)
	if err != nil {
		return nil, errors.Annotate(ErrClosed, err.Error())
	}
	l := newLink(conn, c.client.Hooks, c.client.Timer, c.client.Counters)
	if err := c.shake(l); err != nil {
		l.close()
		return nil, errors.Annotate(ErrClosed, err.Error())
	}
	return l, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var d net.Dialer
	if c.TLS != nil {
		t := tls.Dialer{NetDialer: &d, Config: c.TLS}
		return t.DialContext(ctx, "tcp", address)
	}
	return d.DialContext(ctx, "tcp", address)
}

func (c *clientConn) shake(l *link) error {
	if err := l.conn.SetDeadline(l.timer.Now().Add(dialTimeout)); err != nil {
		return err
	}
	h := hello{Protocol: protocol, VM: c.client.Self, Key: c.client.Keys.Show()}
	if err := l.writeNow(opHello, h); err != nil {
		return err
	}
	var w welcome
	if err := l.readNow(opWelcome, &w); err != nil {
		return err
	}
	// A VM that is known by its address only may have any name.
	if w.VM.ID != c.vm.ID && string(c.vm.ID) != c.vm.Peer {
		return errors.Errorf("address of VM %q answered as %q", c.vm.ID, w.VM.ID)
	}
	l.peer = w.VM
	l.heard.Store(l.timer.Now().UnixNano())
	return l.conn.SetDeadline(time.Time{})
}

func (c *clientConn) readAll() error {
	for {
		f, err := c.link.read()
		if err != nil {
			return err
		}
		c.deliver(f)
	}
}

func (c *clientConn) deliver(f *Frame) {
	if f.Op == opPong {
		return
	}
	c.mu.Lock()
	call := c.calls[f.Call]
	if call != nil && f.Op != opReply {
		delete(c.calls, f.Call)
	}
	c.mu.Unlock()
	if call == nil {
		return
	}
	select {
	case call.replies <- f:
	case <-c.link.done:
	}
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *clientConn) close() {
	select {
	case <-c.ready:
		if c.link != nil {
			c.link.close()
		}
	default:
	}
}

// end fails all calls and reports the peer as down.
func (c *clientConn) end(err error) {
	c.mu.Lock()
	c.closed = true
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	if c.link != nil {
		c.link.close()
	}
	for _, call := range calls {
		close(call.replies)
	}
	c.client.forget(c)
	if !c.idle {
		c.client.Hooks.Down(c.vm.ID, err)
	}
}

// replyBuffer is how many replies of one call wait for a slow reader before
// the connection's reading waits too.
const replyBuffer = 64

func (c *clientConn) call(kind Kind, body []byte) (*Call, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	c.next++
	c.used = c.client.Timer.Now()
	call := &Call{conn: c, id: c.next, replies: make(chan *Frame, replyBuffer)}
	if c.calls == nil {
		c.calls = make(map[CallID]*Call)
	}
	c.calls[call.id] = call
	c.mu.Unlock()
	if err := c.link.send(&Frame{Op: opRequest, Kind: kind, Call: call.id, Body: body}); err != nil {
		c.drop(call.id)
		return nil, err
	}
	return call, nil
}

func (c *clientConn) drop(id CallID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.calls[id]
	delete(c.calls, id)
	return ok
}

// check gives the connection up when the peer is silent while calls wait: a
// peer that is stopped keeps its connections open and says nothing. It closes a
// connection that is not used.
func (c *clientConn) check() {
	select {
	case <-c.ready:
	default:
		return
	}
	if c.link == nil {
		return
	}
	now := c.client.Timer.Now()
	if c.closeUnused(now) {
		c.link.close()
		return
	}
	if c.waiting() == 0 {
		c.link.heard.Store(now.UnixNano())
		return
	}
	quiet := time.Duration(now.UnixNano() - c.link.heard.Load())
	if quiet > cmp.Or(c.client.Dead, deadTime) {
		c.link.close()
		return
	}
	if quiet > cmp.Or(c.client.Quiet, quietTime) {
		// A failed send has closed the link.
		_ = c.link.send(&Frame{Op: opPing})
	}
}

// closeUnused marks the connection as closed if it has had no calls lately.
func (c *clientConn) closeUnused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 0 || c.used.IsZero() || now.Sub(c.used) < unusedTime {
		return false
	}
	c.closed = true
	c.idle = true
	return true
}

func (c *clientConn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}
