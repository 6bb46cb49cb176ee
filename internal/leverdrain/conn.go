package leverdrain

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// conn is a connection of a Tracker.
type conn struct {
	net.Conn
	tracker *Tracker

	mu sync.Mutex
	// carried is set once the connection has carried a request, busy while it
	// carries one.
	carried, busy bool
	// readSinceWrite is set if the last data on the connection was read from it.
	readSinceWrite bool
	// expired is set while closeIfIdle has replaced the read deadline.
	expired      bool
	readDeadline time.Time
	closeOnce    sync.Once
	closeErr     error
}

// Read marks the connection as busy if it returns data.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSinceWrite = true
	if restoreErr := c.setBusy(); err == nil {
		err = restoreErr
	}
	return n, err
}

// Write sends data.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.readSinceWrite = false
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// setBusy marks the connection as busy and restores the read deadline that the
// server has set. The caller holds the mutex.
func (c *conn) setBusy() error {
	c.carried, c.busy = true, true
	if !c.expired {
		return nil
	}
	c.expired = false
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline sets the deadline of reads unless closeIfIdle has ended them.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// closeIfIdle makes the server close the connection unless it carries a request.
// It lets the server's pending read time out instead of closing the connection
// itself: a read either times out or returns data, so that no data is lost that
// the server has read.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.expired = true
	// An error means that the connection has closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// markActive marks the connection as busy: the server has read a request, maybe
// together with the one before.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An error means that the connection has closed.
	_ = c.setBusy()
}

// markIdle marks the connection as idle after an answer, unless the server has
// read the beginning of the next request since it wrote the answer.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.readSinceWrite
}

func (c *conn) state() (isNew, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.carried, c.busy
}

// Close closes the connection. If the server drains and the connection has carried
// a request, it waits until the caller's host has received the answer.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		if isNew, _ := c.state(); !isNew && c.tracker.isDraining() {
			c.linger()
		}
		c.closeErr = c.Conn.Close()
		c.tracker.remove(c)
	})
	return c.closeErr
}

// linger does not read, because a request that crosses the close must stay unread.
func (c *conn) linger() {
	if err := c.CloseWrite(); err != nil {
		return
	}
	for until := time.Now().Add(lingerTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if delivered, err := c.tracker.delivered(c); delivered || err != nil {
			return
		}
	}
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.NotSupportedf("closing a %T for writing", c.Conn)
	}
	return w.CloseWrite()
}

// SyscallConn returns the raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("socket options of a %T", c.Conn)
	}
	return sc.SyscallConn()
}
