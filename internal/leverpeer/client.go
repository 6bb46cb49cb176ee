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
	watchPeriod = 50 * time.Millisecond
	// quietTime is how long such a connection may be silent before a ping,
	// and deadTime before it is given up, unless the client says otherwise.
	quietTime = 100 * time.Millisecond
	deadTime  = 400 * time.Millisecond
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
	// Quiet and Dead replace the times after which a silent connection with
	// calls in flight is asked, and given up.
	Quiet, Dead time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[leverid.VMID]*clientConn
	closed bool
	// watching says that runWatch is running; it ends with the last connection.
	watching bool
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
