package leverpeer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// Handler serves the requests of peers.
type Handler interface {
	// Serve handles one request. It runs on its own goroutine. The request
	// ends when Serve returns; an error is sent to the peer unless the last
	// reply has been sent.
	Serve(r *Request) error
}

// Request is a request received from a peer.
type Request struct {
	// Ctx is canceled when the peer cancels the request or its connection ends.
	Ctx  context.Context
	From levermsg.VM
	Kind Kind
	// Signals delivers the messages that the peer sends after the request.
	Signals <-chan []byte

	conn    *serverConn
	id      CallID
	body    []byte
	cancel  context.CancelFunc
	signals chan []byte
	last    bool
}

// Decode decodes the request's message.
func (r *Request) Decode(v any) error { return Decode(r.body, v) }

// Reply sends one reply. No reply may follow the last one.
func (r *Request) Reply(msg any, last bool) error {
	body, err := encode(msg)
	if err != nil {
		return err
	}
	op := opReply
	if last {
		op = opLastReply
		r.last = true
	}
	return r.conn.link.send(&Frame{Op: op, Call: r.id, Body: body})
}

const (
	// helloTimeout bounds the handshake, including the TLS handshake.
	helloTimeout = 2 * time.Second
	// maxRequests is the maximum number of requests in flight on a connection.
	maxRequests = 8192
	// signalQueue is how many unread signals are buffered per request; further
	// ones are dropped.
	signalQueue = 256
	// A connection that receives nothing for idleTimeout is closed.
	idleTimeout = 5 * time.Minute
)

// Server serves requests of peers. Its exported fields must be set before Run.
type Server struct {
	Self     levermsg.VM
	Keys     *Keys
	Hooks    Hooks
	Timer    *levertimer.Service
	Handler  Handler
	Counters *leverevent.Counters

	mu    sync.Mutex
	conns map[*serverConn]bool
	wg    sync.WaitGroup
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.Accept(c)
	}
}

// Accept serves one connection.
func (s *Server) Accept(c net.Conn) {
	conn := &serverConn{server: s, link: newLink(c, s.Hooks, s.Timer, s.Counters), requests: make(map[CallID]*Request)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*serverConn]bool)
	}
	s.conns[conn] = true
	s.wg.Add(1)
	go conn.run()
}

// Close closes all connections and waits for their requests to end.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.link.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.inFlight()
	}
	return n
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serverConn is the server's connection from one peer.
type serverConn struct {
	server *Server
	link   *link

	mu       sync.Mutex
	requests map[CallID]*Request
	wg       sync.WaitGroup
}

func (c *serverConn) run() {
	defer c.server.wg.Done()
	defer c.server.removeConn(c)
	defer c.link.close()
	if err := c.handshake(); err != nil {
		c.server.Counters.Add("peer-refused", 1)
		return
	}
	go c.link.runWriter()
	for {
		if err := c.link.conn.SetReadDeadline(c.server.Timer.Now().Add(idleTimeout)); err != nil {
			break
		}
		f, err := c.link.read()
		if err != nil {
			c.countError(err)
			break
		}
		c.dispatch(f)
	}
	c.link.close()
	c.cancelAll()
	c.wg.Wait()
}

func (c *serverConn) countError(err error) {
	if errors.Is(err, ErrFrame) {
		c.server.Counters.Add("peer-bad-frames", 1)
	}
}

func (c *serverConn) handshake() error {
	if err := c.link.conn.SetDeadline(c.server.Timer.Now().Add(helloTimeout)); err != nil {
		return err
	}
	var h hello
	if err := c.link.readHandshake(opHello, &h); err != nil {
		c.countError(err)
		return err
	}
	if h.Protocol != protocolVersion {
		return errors.Errorf("unsupported protocol version %d", h.Protocol)
	}
	if !c.server.Keys.Matches(h.Key) {
		c.server.Counters.Add("peer-bad-keys", 1)
		return errors.Unauthorizedf("key of peer %q is not accepted", h.VM.ID)
	}
	c.link.peer = h.VM
	if err := c.link.writeHandshake(opWelcome, welcome{VM: c.server.Self}); err != nil {
		return err
	}
	return c.link.conn.SetDeadline(time.Time{})
}

func (c *serverConn) dispatch(f *Frame) {
	switch f.Op {
	case opPing:
		// send fails only if the link is closed, which also ends run.
		_ = c.link.send(&Frame{Op: opPong})
	case opRequest:
		c.startRequest(f)
	case opSignal:
		c.signal(f)
	case opCancel:
		c.cancel(f.Call)
	}
}

func (c *serverConn) startRequest(f *Frame) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan []byte, signalQueue)
	r := &Request{
		Ctx: ctx, From: c.link.peer, Kind: f.Kind, Signals: signals,
		conn: c, id: f.Call, body: f.Body, cancel: cancel, signals: signals,
	}
	if reason := c.addRequest(r); reason != "" {
		cancel()
		_ = c.link.send(&Frame{Op: opError, Call: f.Call, Body: []byte(reason)})
		return
	}
	go r.run()
}

// addRequest returns why the request is rejected, or "".
func (c *serverConn) addRequest(r *Request) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.requests[r.id] != nil:
		return fmt.Sprintf("call id %d is in use", r.id)
	case len(c.requests) >= maxRequests:
		return fmt.Sprintf("too many requests in flight on the connection: %d", len(c.requests))
	}
	c.requests[r.id] = r
	c.wg.Add(1)
	return ""
}

func (c *serverConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

func (c *serverConn) signal(f *Frame) {
	c.mu.Lock()
	r := c.requests[f.Call]
	c.mu.Unlock()
	if r == nil {
		return
	}
	select {
	case r.signals <- f.Body:
	default:
		c.server.Counters.Add("peer-signals-dropped", 1)
	}
}

func (c *serverConn) cancel(id CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.cancel()
	}
}

func (c *serverConn) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.cancel()
	}
}

func (c *serverConn) removeRequest(id CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, id)
}

func (r *Request) run() {
	defer r.conn.wg.Done()
	defer r.conn.removeRequest(r.id)
	defer r.cancel()
	if err := r.serve(); err != nil && !r.last {
		_ = r.conn.link.send(&Frame{Op: opError, Call: r.id, Body: []byte(err.Error())})
	}
}

// serve turns a panic of the handler into an error, so that one request cannot
// end the process.
func (r *Request) serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.conn.server.Counters.Add("panics", 1)
			err = errors.Errorf("internal error: %v", p)
		}
	}()
	return r.conn.server.Handler.Serve(r)
}
