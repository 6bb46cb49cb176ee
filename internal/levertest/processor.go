package levertest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Processors simulates the processor time that hosts take to write to their
// connections: a host writes to one connection at a time. The zero value takes no
// time. It is safe for concurrent use.
type Processors struct {
	// writeTime is a time.Duration.
	writeTime atomic.Int64

	mu    sync.Mutex
	hosts map[string]chan struct{}
}

// SetWriteTime sets how long one write takes.
func (p *Processors) SetWriteTime(d time.Duration) { p.writeTime.Store(int64(d)) }

// Conn returns a connection of a host whose writes take processor time.
func (p *Processors) Conn(host string, c net.Conn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]chan struct{})
	}
	if p.hosts[host] == nil {
		p.hosts[host] = make(chan struct{}, 1)
	}
	return &processedConn{Conn: c, processors: p, busy: p.hosts[host]}
}

type processedConn struct {
	net.Conn
	processors *Processors
	// busy holds a value while the processor is taken. Virtual time does not pass
	// while a goroutine waits for a mutex.
	busy chan struct{}
}

// Write takes the host's processor for the write time and writes.
func (c *processedConn) Write(b []byte) (int, error) {
	c.busy <- struct{}{}
	time.Sleep(time.Duration(c.processors.writeTime.Load()))
	<-c.busy
	return c.Conn.Write(b)
}
