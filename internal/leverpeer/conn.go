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

// clientConn is the client's connection to one peer.
type clientConn struct {
	client *Client
	vm     levermsg.VM
	ready  chan struct{}
	// link and err are set before ready is closed.
	link *link
	err  error

	mu       sync.Mutex
	lastID   CallID
	calls    map[CallID]*Call
	lastUsed time.Time
	closed   bool
	// closedUnused is set when this end closed the connection because it was
	// unused for unusedTimeout.
	closedUnused bool
}

func (c *clientConn) run() {
	c.link, c.err = c.connect()
	if c.err != nil {
		c.terminate(c.err)
		close(c.ready)
		return
	}
	close(c.ready)
	if c.client.isClosed() {
		c.terminate(ErrClosed)
		return
	}
	go c.link.runWriter()
	c.terminate(c.readFrames())
}

func (c *clientConn) connect() (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.client.dial(ctx, c.vm.Peer)
	if err != nil {
		return nil, errors.Annotate(ErrClosed, err.Error())
	}
	l := newLink(conn, c.client.Hooks, c.client.Timer, c.client.Counters)
	if err := c.handshake(l); err != nil {
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

func (c *clientConn) handshake(l *link) error {
	if err := l.conn.SetDeadline(l.timer.Now().Add(dialTimeout)); err != nil {
		return err
	}
	h := hello{Protocol: protocolVersion, VM: c.client.Self, Key: c.client.Keys.Current()}
	if err := l.writeHandshake(opHello, h); err != nil {
		return err
	}
	var w welcome
	if err := l.readHandshake(opWelcome, &w); err != nil {
		return err
	}
	// A VM that is known only by its address has the address as id, and may
	// reply with any id.
	if w.VM.ID != c.vm.ID && string(c.vm.ID) != c.vm.Peer {
		return errors.Errorf("address of VM %q answered as %q", c.vm.ID, w.VM.ID)
	}
	l.peer = w.VM
	l.lastReceived.Store(l.timer.Now().UnixNano())
	return l.conn.SetDeadline(time.Time{})
}

func (c *clientConn) readFrames() error {
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
	if call == nil || call.add(f) {
		return
	}
	c.removeCall(f.Call)
	call.end(ErrOverflow)
	// send fails only if the link is closed, which ends the peer's request too.
	_ = c.link.send(&Frame{Op: opCancel, Call: f.Call})
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

// terminate fails all calls. It reports the peer as unreachable, also after a
// failed dial and after Client.Close, unless the connection was closed because
// it was unused.
func (c *clientConn) terminate(err error) {
	c.mu.Lock()
	c.closed = true
	calls := c.calls
	c.calls = nil
	unused := c.closedUnused
	c.mu.Unlock()
	if c.link != nil {
		c.link.close()
	}
	for _, call := range calls {
		call.end(ErrClosed)
	}
	c.client.removeConn(c)
	if !unused {
		c.client.Hooks.PeerUnreachable(c.vm.ID, err)
	}
}

func (c *clientConn) call(kind Kind, body []byte) (*Call, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	c.lastID++
	c.lastUsed = c.client.Timer.Now()
	call := newCall(c, c.lastID)
	if c.calls == nil {
		c.calls = make(map[CallID]*Call)
	}
	c.calls[call.id] = call
	c.mu.Unlock()
	if err := c.link.send(&Frame{Op: opRequest, Kind: kind, Call: call.id, Body: body}); err != nil {
		c.removeCall(call.id)
		return nil, err
	}
	return call, nil
}

func (c *clientConn) removeCall(id CallID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.calls[id]
	delete(c.calls, id)
	return ok
}

// checkLiveness closes the connection if the peer has sent nothing for too long
// while calls are in flight: a stopped process keeps its connections open
// without responding. It also closes a connection that is not used.
func (c *clientConn) checkLiveness() {
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
	if c.callsInFlight() == 0 {
		c.link.lastReceived.Store(now.UnixNano())
		return
	}
	silence := time.Duration(now.UnixNano() - c.link.lastReceived.Load())
	if silence > cmp.Or(c.client.DeadAfter, defaultDeadAfter) {
		c.link.close()
		return
	}
	if silence > cmp.Or(c.client.PingAfter, defaultPingAfter) {
		// send fails only if the link is closed.
		_ = c.link.send(&Frame{Op: opPing})
	}
}

// closeUnused marks the connection as closed if it has no call in flight and
// none was started within unusedTimeout. A connection that never had a call
// stays open.
func (c *clientConn) closeUnused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 0 || c.lastUsed.IsZero() || now.Sub(c.lastUsed) < unusedTimeout {
		return false
	}
	c.closed = true
	c.closedUnused = true
	return true
}

func (c *clientConn) callsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}
