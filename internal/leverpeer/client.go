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
	// dialTimeout bounds connecting and the handshake separately, so that a
	// connection is ready or has failed after at most 400 ms.
	dialTimeout = 200 * time.Millisecond
	// checkPeriod is how often a connection with calls in flight is checked.
	checkPeriod = 50 * time.Millisecond
	// A connection with calls in flight that has received nothing for
	// defaultPingAfter is pinged, and closed after defaultDeadAfter. A Client
	// can override them.
	defaultPingAfter = 100 * time.Millisecond
	defaultDeadAfter = 400 * time.Millisecond
	// A connection with no call in flight and none started within unusedTimeout
	// is closed.
	unusedTimeout = 30 * time.Second
)

// Client opens one connection to each peer on demand and reuses it. Its
// exported fields must be set before first use. It is safe for concurrent use.
type Client struct {
	Self  levermsg.VM
	Keys  *Keys
	Hooks Hooks
	Timer *levertimer.Service
	// Counters receives the number of bytes sent.
	Counters *leverevent.Counters
	// TLS enables TLS if it is not nil.
	TLS *tls.Config
	// A connection with calls in flight that has received nothing is pinged
	// after PingAfter, and closed after DeadAfter. Zero means the default.
	PingAfter, DeadAfter time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[leverid.VMID]*clientConn
	closed bool
	// checking is set while runChecks runs, which ends with the last
	// connection.
	checking bool
}

// Call sends a request to a VM. On error, no byte of the request was sent. The
// error is ErrClosed if there is no connection; otherwise msg could not be
// encoded or is too large.
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

// Invoke sends a request and decodes its only reply into answer, which may be
// nil.
func (c *Client) Invoke(ctx context.Context, vm levermsg.VM, kind Kind, msg, answer any) error {
	call, err := c.Call(ctx, vm, kind, msg)
	if err != nil {
		return err
	}
	defer call.Close()
	body, _, err := call.Next(ctx)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	return Decode(body, answer)
}

// Connected reports whether a call to a VM need not wait for a connection.
func (c *Client) Connected(id leverid.VMID) bool {
	c.mu.Lock()
	conn := c.conns[id]
	c.mu.Unlock()
	if conn == nil {
		return false
	}
	select {
	case <-conn.ready:
		return true
	default:
		return false
	}
}

// Connect begins to connect to a VM unless there is a connection.
func (c *Client) Connect(vm levermsg.VM) {
	// The context has ended, so that conn does not wait; the error is that of the
	// context or of a connection that failed and is retried by the next call.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = c.conn(ctx, vm)
}

// Close closes all connections. Calls in flight fail with ErrClosed.
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
		if !c.checking {
			c.checking = true
			go c.runChecks()
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

func (c *Client) removeConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.vm.ID] == conn {
		delete(c.conns, conn.vm.ID)
	}
}

// runChecks periodically checks all connections, as long as there are any.
func (c *Client) runChecks() {
	t := c.Timer.Every(checkPeriod)
	defer t.Stop()
	for range t.C {
		conns := c.openConns()
		if conns == nil {
			return
		}
		for _, conn := range conns {
			conn.checkLiveness()
		}
	}
}

// openConns returns the connections. If there are none, it clears checking,
// which ends runChecks.
func (c *Client) openConns() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) == 0 {
		c.checking = false
		return nil
	}
	return slices.Collect(maps.Values(c.conns))
}
