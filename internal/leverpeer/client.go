package leverpeer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

const (
	dialTimeout = 200 * time.Millisecond
	// watchPeriod is how often a connection with calls in flight is checked.
	watchPeriod = 100 * time.Millisecond
	// quietTime is how long such a connection may be silent before a ping,
	// and deadTime before it is given up.
	quietTime = 200 * time.Millisecond
	deadTime  = 800 * time.Millisecond
	// unusedTime is after how long without calls a connection is closed.
	unusedTime = 30 * time.Second
)

// Client opens one connection to each peer on demand and keeps it. Its
// exported fields must be set before its first use. It is safe for concurrent
// use.
type Client struct {
	Self  levermsg.VM
	Keys  *Keys
	Hooks Hooks
	Timer *levertimer.Service
	// Counters counts the bytes that are sent.
	Counters *leverevent.Counters
	// TLS is used for connections if it is not nil.
	TLS *tls.Config
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[leverid.VMID]*clientConn
	closed bool
	// watching says that runWatch is running; it ends with the last connection.
	watching bool
}

// Call is one request in flight and its replies.
type Call struct {
	conn    *clientConn
	id      CallID
	replies chan *Frame
	once    sync.Once
}

// Call sends a request to a VM. The error is ErrClosed or of the dialer, and
// means that no byte of the request left.
func (c *Client) Call(ctx context.Context, vm levermsg.VM, kind Kind, msg any) (*Call, error) {
	body, err := encode(msg)
	if err != nil {
		return nil, err
	}
	conn, err := c.conn(ctx, vm)
	if err != nil {
		return nil, err
	}
	return conn.call(kind, body)
}

// Ask sends a request and reads its one reply into answer, which may be nil.
func (c *Client) Ask(ctx context.Context, vm levermsg.VM, kind Kind, msg, answer any) error {
	l, err := c.Call(ctx, vm, kind, msg)
	if err != nil {
		return err
	}
	defer l.Close()
	body, _, err := l.Next(ctx)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	return Decode(body, answer)
}

// Close ends all connections. Calls in flight fail with ErrClosed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		conn.close()
	}
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *Client) conn(ctx context.Context, vm levermsg.VM) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if c.conns == nil {
		c.conns = make(map[leverid.VMID]*clientConn)
	}
	conn := c.conns[vm.ID]
	if conn == nil || conn.isClosed() {
		conn = &clientConn{client: c, vm: vm, ready: make(chan struct{})}
		c.conns[vm.ID] = conn
		go conn.run()
		if !c.watching {
			c.watching = true
			go c.runWatch()
		}
	}
	c.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.err
	case <-ctx.Done():
		return nil, errors.Annotate(ErrClosed, ctx.Err().Error())
	}
}

func (c *Client) forget(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.vm.ID] == conn {
		delete(c.conns, conn.vm.ID)
	}
}

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
	if w.VM.ID != c.vm.ID {
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

// runWatch looks at all connections now and then, as long as there are any.
func (c *Client) runWatch() {
	t := c.Timer.Every(watchPeriod)
	defer t.Stop()
	for range t.C {
		conns := c.open()
		if conns == nil {
			return
		}
		for _, conn := range conns {
			conn.check()
		}
	}
}

// open returns the connections; without any it ends the watching.
func (c *Client) open() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) == 0 {
		c.watching = false
		return nil
	}
	return slices.Collect(maps.Values(c.conns))
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
	if quiet > deadTime {
		c.link.close()
		return
	}
	if quiet > quietTime {
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

// Next returns the body of the next reply and whether it is the last.
func (l *Call) Next(ctx context.Context) (body []byte, last bool, err error) {
	select {
	case f, ok := <-l.replies:
		return openReply(f, ok)
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func openReply(f *Frame, ok bool) ([]byte, bool, error) {
	if !ok {
		return nil, false, ErrClosed
	}
	if f.Op == opError {
		return nil, true, errors.New(string(f.Body))
	}
	return f.Body, f.Op == opLastReply, nil
}

// Signal sends a message that belongs to the call.
func (l *Call) Signal(msg any) error {
	body, err := encode(msg)
	if err != nil {
		return err
	}
	return l.conn.link.send(&Frame{Op: opSignal, Call: l.id, Body: body})
}

// Close ends the call; if its last reply has not come, the peer cancels it.
func (l *Call) Close() {
	l.once.Do(func() {
		if l.conn.drop(l.id) {
			_ = l.conn.link.send(&Frame{Op: opCancel, Call: l.id})
		}
	})
}
