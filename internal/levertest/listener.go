package levertest

import (
	"net"
	"sync"
)

// Listener is a net.Listener on a simulated network. It is safe for concurrent
// use.
type Listener struct {
	net   *Network
	host  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// backlog is the maximum number of connections that wait to be accepted.
const backlog = 1024

// Listener starts to listen at host.
func (n *Network) Listener(host string) *Listener {
	l := &Listener{net: n, host: host, conns: make(chan net.Conn, backlog), done: make(chan struct{})}
	n.Listen(host, func(c net.Conn) {
		select {
		case <-l.done:
			_ = c.Close()
		default:
			l.conns <- c
		}
	})
	return l
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening. Later connections to the host are refused.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.host)
	})
	return nil
}

// Addr returns the host.
func (l *Listener) Addr() net.Addr { return hostAddr(l.host) }
