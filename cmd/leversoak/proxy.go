package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and injects network faults on
// request. It is safe for concurrent use.
type proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	delay  time.Duration
	// dropUp discards bytes to the target, dropDown bytes from the target.
	dropUp, dropDown bool
	// refuse closes new connections immediately.
	refuse bool
	conns  map[net.Conn]bool
}

func newProxy(address string) (*proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// impair sets the network faults for later bytes and new connections. Zero
// values remove them.
func (p *proxy) impair(delay time.Duration, dropUp, dropDown, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropUp, p.dropDown, p.refuse = delay, dropUp, dropDown, refuse
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger time of zero, Close sends a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		l := &stream{proxy: p, src: c}
		go l.run()
	}
}

// stream is one direction of a proxied connection; up marks the direction to
// the target.
type stream struct {
	proxy *proxy
	src   net.Conn
	dst   net.Conn
	up    bool
}

func (l *stream) run() {
	p := l.proxy
	p.mu.Lock()
	target, refuse := p.target, p.refuse
	p.mu.Unlock()
	var err error
	if refuse {
		_ = l.src.Close()
		return
	}
	if l.dst, err = net.DialTimeout("tcp4", target, time.Second); err != nil {
		_ = l.src.Close()
		return
	}
	p.mu.Lock()
	p.conns[l.src], p.conns[l.dst] = true, true
	p.mu.Unlock()
	reverse := &stream{proxy: p, src: l.dst, dst: l.src}
	l.up = true
	go reverse.runCopy()
	l.runCopy()
}

func (l *stream) runCopy() {
	defer l.close()
	buf := make([]byte, 16<<10)
	for {
		n, err := l.src.Read(buf)
		if err != nil {
			return
		}
		l.proxy.mu.Lock()
		delay := l.proxy.delay
		drop := l.proxy.dropDown
		if l.up {
			drop = l.proxy.dropUp
		}
		l.proxy.mu.Unlock()
		time.Sleep(delay)
		if drop {
			// A byte stream can't continue after a gap, so that the rest of the
			// connection is discarded too.
			_, _ = io.Copy(io.Discard, l.src)
			return
		}
		if _, err := l.dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *stream) close() {
	_ = l.src.Close()
	_ = l.dst.Close()
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	delete(l.proxy.conns, l.src)
	delete(l.proxy.conns, l.dst)
}
