package leverdrain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdrain"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/matryer/is"
)

const (
	// work is the time that the server takes for a request.
	work = 30 * time.Millisecond
	// delay is the one-way delay between the caller and the server.
	delay = time.Millisecond
)

// readCounter counts the bytes that the server reads from a connection.
type readCounter struct {
	net.Conn
	n atomic.Int64
}

func (c *readCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// countingListener counts the bytes read from its last connection.
type countingListener struct {
	net.Listener
	last atomic.Pointer[readCounter]
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r := &readCounter{Conn: c}
	l.last.Store(r)
	return r, nil
}

// server is an HTTP server on a simulated network.
type server struct {
	net *levertest.Network
	// listener serves the connections of counting, which counts what is read.
	listener net.Listener
	counting *countingListener
	http     *http.Server
	conns    leverdrain.Tracker
}

func newServer() *server {
	s := &server{net: &levertest.Network{Delay: func(string, string) time.Duration { return delay }}}
	s.counting = &countingListener{Listener: s.net.Listener("server")}
	s.listener = s.counting
	s.http = &http.Server{ConnState: s.conns.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	})}
	return s
}

func (s *server) run() { _ = s.http.Serve(s.conns.Listener(s.listener)) }

// exchange sends a request and returns the status of its answer, or 0.
func exchange(c net.Conn) int {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestCloseCutsNoRequest sends a request at various times around Close, on a new
// connection. If the server has read any of it, it must be answered.
func TestCloseCutsNoRequest(t *testing.T) {
	for at := 90 * time.Millisecond; at < 700*time.Millisecond; at += 7 * time.Millisecond / 10 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newServer()
			go s.run()
			c, err := s.net.Dial(context.Background(), "caller", "server")
			is.NoErr(err)
			status := 0
			var wg sync.WaitGroup
			wg.Go(func() {
				time.Sleep(at)
				status = exchange(c)
			})
			time.Sleep(100 * time.Millisecond)
			is.NoErr(s.listener.Close())
			is.Equal(s.conns.Close(time.Now().Add(time.Second)), 0)
			wg.Wait()
			read := s.counting.last.Load().n.Load()
			is.Equal(status != 0, read > 0)
			if at < 500*time.Millisecond {
				is.Equal(status, http.StatusNoContent) // in time for the first request
			}
			is.NoErr(s.http.Close())
			is.NoErr(c.Close())
		})
	}
}

// TestCloseReturnsAtItsLimit keeps a request in flight beyond the limit of Close.
func TestCloseReturnsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		s.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		go s.run()
		c, err := s.net.Dial(context.Background(), "caller", "server")
		is.NoErr(err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		is.NoErr(s.listener.Close())
		is.Equal(s.conns.Stats(), leverdrain.Stats{Busy: 1})
		started := time.Now()
		is.Equal(s.conns.Close(started.Add(2*time.Second)), 1)
		is.Equal(time.Since(started), 2*time.Second)
		is.NoErr(s.http.Close())
		is.NoErr(c.Close())
		time.Sleep(2 * time.Minute)
	})
}

// slowCaller is a connection whose caller's host receives the answer a while after
// the server has stopped writing.
type slowCaller struct {
	net.Conn
	delivered atomic.Bool
	lost      *atomic.Bool
}

// deliveryTime is the time until a slowCaller's answer is delivered.
const deliveryTime = 300 * time.Millisecond

func (c *slowCaller) CloseWrite() error {
	time.AfterFunc(deliveryTime, func() { c.delivered.Store(true) })
	return nil
}

func (c *slowCaller) Close() error {
	c.lost.Store(!c.delivered.Load())
	return c.Conn.Close()
}

// slowListener makes callers slow.
type slowListener struct {
	net.Listener
	last atomic.Pointer[slowCaller]
	lost atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &slowCaller{Conn: c, lost: &l.lost}
	l.last.Store(s)
	return s, nil
}

// newSlowServer returns a server whose callers are slow.
func newSlowServer() (*server, *slowListener) {
	s := newServer()
	l := &slowListener{Listener: s.listener}
	s.listener = l
	s.conns.Delivered = func(net.Conn) (bool, error) { return l.last.Load().delivered.Load(), nil }
	return s, l
}

// TestCloseWaitsForDelivery checks that Close returns only when the last answer
// has reached a slow caller.
func TestCloseWaitsForDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, slow := newSlowServer()
		go s.run()
		c, err := s.net.Dial(context.Background(), "caller", "server")
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(exchange(c), http.StatusNoContent) })
		time.Sleep(10 * time.Millisecond)
		is.NoErr(s.listener.Close())
		is.Equal(s.conns.Close(time.Now().Add(time.Second)), 0)
		is.True(!slow.lost.Load())
		wg.Wait()
		is.NoErr(s.http.Close())
		is.NoErr(c.Close())
	})
}

// TestServerCloseAfterTheLimit closes the server when Close has returned at its
// limit. That must not wait for each slow caller in turn, with the server's lock
// held.
func TestServerCloseAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newSlowServer()
		s.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		go s.run()
		const callers = 4
		var conns []net.Conn
		for range callers {
			c, err := s.net.Dial(context.Background(), "caller", "server")
			is.NoErr(err)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			conns = append(conns, c)
		}
		time.Sleep(10 * time.Millisecond)
		is.NoErr(s.listener.Close())
		is.Equal(s.conns.Close(time.Now().Add(time.Second)), callers)
		started := time.Now()
		is.NoErr(s.http.Close())
		is.Equal(time.Since(started), time.Duration(0))
		for _, c := range conns {
			is.NoErr(c.Close())
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestCloseAfterAPause stops the process's work across the limit, as a frozen VM
// does. The answers that became due meanwhile must still be written.
func TestCloseAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		go s.run()
		c, err := s.net.Dial(context.Background(), "caller", "server")
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(exchange(c), http.StatusNoContent) })
		time.Sleep(10 * time.Millisecond)
		is.NoErr(s.listener.Close())
		is.Equal(s.conns.Close(time.Now().Add(-time.Second)), 0)
		wg.Wait()
		is.NoErr(s.http.Close())
		is.NoErr(c.Close())
	})
}
