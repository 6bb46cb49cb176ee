package leverdrain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdrain"

	"github.com/matryer/is"
)

// keptRequest is a request on a connection that stays open.
const keptRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// patience limits a test that hangs. No verdict depends on it.
const patience = time.Minute

// tcpServer is an HTTP server on loopback. Unlike the simulated network, TCP
// returns no data once the read deadline has passed, and can close one direction.
type tcpServer struct {
	http     *http.Server
	conns    leverdrain.Tracker
	listener net.Listener
	counting *countingListener
}

func newTCPServer(t *testing.T, h http.HandlerFunc) *tcpServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &tcpServer{listener: ln, counting: &countingListener{Listener: ln}}
	s.http = &http.Server{Handler: h, ConnState: s.conns.ConnState}
	return s
}

func (s *tcpServer) run() { _ = s.http.Serve(s.conns.Listener(s.counting)) }

func (s *tcpServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// CloseWrite lets the tracker close one direction of a counted connection.
func (c *readCounter) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return net.ErrClosed
}

func send(t *testing.T, c net.Conn, text string) {
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestCloseReadsNothingOfALaterRequest closes a kept connection while its next
// request is on its way. The server must answer that request or leave it unread,
// because callers repeat only requests that were not read.
func TestCloseReadsNothingOfALaterRequest(t *testing.T) {
	is := is.New(t)
	s := newTCPServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	go s.run()
	c, r := s.dial(t)
	defer c.Close()
	send(t, c, keptRequest)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNoContent)
	before := s.counting.last.Load().n.Load()
	is.NoErr(s.listener.Close())
	left := make(chan int, 1)
	go func() { left <- s.conns.Close(time.Now().Add(patience)) }()
	// The server has closed its direction when the caller reads its end.
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	send(t, c, keptRequest)
	is.Equal(<-left, 0)
	is.Equal(s.counting.last.Load().n.Load()-before, int64(0)) // read of the request that is not answered
}

// TestCloseAfterTheFirstByte sends the next request as soon as the answer has
// come, while the handler still runs, so that the server reads its first byte
// there. Close then must not take the connection for idle.
func TestCloseAfterTheFirstByte(t *testing.T) {
	is := is.New(t)
	idle := make(chan struct{})
	proceed := make(chan struct{})
	s := newTCPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
	})
	first := true
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		s.conns.ConnState(c, state)
		if state == http.StateIdle && first {
			// The thread loses the processor here.
			first = false
			close(idle)
			<-proceed
		}
	}
	go s.run()
	c, r := s.dial(t)
	defer c.Close()
	send(t, c, keptRequest)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	before := s.counting.last.Load().n.Load()
	send(t, c, keptRequest)
	<-idle
	is.NoErr(s.listener.Close())
	left := make(chan int, 1)
	go func() { left <- s.conns.Close(time.Now().Add(patience)) }()
	time.Sleep(100 * time.Millisecond)
	close(proceed)
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	_, err = http.ReadResponse(r, nil)
	read := s.counting.last.Load().n.Load() - before
	is.Equal(err == nil, read > 0)
	<-left
}

// TestCloseDuringAPipelinedRequest sends two requests at once and closes while
// the second one is handled. It must not be canceled.
func TestCloseDuringAPipelinedRequest(t *testing.T) {
	is := is.New(t)
	n := 0
	second := make(chan struct{})
	var ended error
	s := newTCPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if n++; n == 2 {
			close(second)
			select {
			case <-r.Context().Done():
			case <-time.After(300 * time.Millisecond):
			}
			ended = r.Context().Err()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	go s.run()
	c, r := s.dial(t)
	defer c.Close()
	send(t, c, keptRequest+keptRequest)
	_, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	<-second
	is.NoErr(s.listener.Close())
	left := make(chan int, 1)
	go func() { left <- s.conns.Close(time.Now().Add(patience)) }()
	_, err = http.ReadResponse(r, nil)
	is.NoErr(err)
	is.NoErr(ended) // canceled although its caller waits for the answer
	is.NoErr(c.Close())
	is.Equal(<-left, 0)
}
