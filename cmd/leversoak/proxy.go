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
		s := &stream{proxy: p, src: c}
		go s.run()
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

func (s *stream) run() {
	p := s.proxy
	p.mu.Lock()
	target, refuse := p.target, p.refuse
	p.mu.Unlock()
	var err error
	if refuse {
		_ = s.src.Close()
		return
	}
	if s.dst, err = net.DialTimeout("tcp4", target, time.Second); err != nil {
		_ = s.src.Close()
		return
	}
	p.mu.Lock()
	p.conns[s.src], p.conns[s.dst] = true, true
	p.mu.Unlock()
	reverse := &stream{proxy: p, src: s.dst, dst: s.src}
	s.up = true
	go reverse.runCopy()
	s.runCopy()
}

func (s *stream) runCopy() {
	defer s.close()
	buf := make([]byte, 16<<10)
	for {
		n, err := s.src.Read(buf)
		if err != nil {
			return
		}
		s.proxy.mu.Lock()
		delay := s.proxy.delay
		drop := s.proxy.dropDown
		if s.up {
			drop = s.proxy.dropUp
		}
		s.proxy.mu.Unlock()
		time.Sleep(delay)
		if drop {
			// A byte stream can't continue after a gap, so the rest of the
			// connection is discarded too.
			_, _ = io.Copy(io.Discard, s.src)
			return
		}
		if _, err := s.dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (s *stream) close() {
	_ = s.src.Close()
	_ = s.dst.Close()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	delete(s.proxy.conns, s.src)
	delete(s.proxy.conns, s.dst)
}
