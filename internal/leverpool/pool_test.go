package leverpool_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// upstream starts an upstream that gives every request the same response.
func upstream(t testing.TB, response string) *leverdirectory.Upstream {
	server := &levertest.CannedServer{Response: []byte(response)}
	ln, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &leverdirectory.Upstream{ID: "u", Address: ln.Addr().String()}
}

type outcome struct {
	reply *leverpool.Reply
	err   error
}

// send sends a request and waits for its outcome.
func send(p *leverpool.Pool, target leverpool.Target) outcome {
	ended := make(chan outcome, 1)
	call := leverpool.NewCall(http.MethodGet, "/a/b?c=%2f", "h.example", nil, nil)
	p.Send(target, call, func() http.Header { return nil }, func(*http.Response) error { return nil }, func(r *leverpool.Reply, err error) { ended <- outcome{r, err} })
	return <-ended
}

func TestReuse(t *testing.T) {
	is := is.New(t)
	var p leverpool.Pool
	target := leverpool.Target{Upstream: upstream(t, okResponse), MaxConnections: 1}
	for range 3 {
		o := send(&p, target)
		is.NoErr(o.err)
		is.Equal(string(o.reply.Body), "ok")
	}
	is.Equal(p.Stats().Dialed, int64(1))
}

// TestOnceSkipsStaleConnection: a request that must not run twice does not use
// a connection that has been idle for too long. If no further connection is
// allowed, the idle one is closed and a new one is opened.
func TestOnceSkipsStaleConnection(t *testing.T) {
	is := is.New(t)
	var p leverpool.Pool
	target := leverpool.Target{Upstream: upstream(t, okResponse), MaxConnections: 1, Once: true}
	is.NoErr(send(&p, target).err)
	time.Sleep(200 * time.Millisecond) // longer than onceIdleLimit
	is.NoErr(send(&p, target).err)
	is.Equal(p.Stats().Dialed, int64(2))
}

// TestHeaderWhenSent: the headers of a call that waits for a connection are
// computed when the call is sent, not when it is queued.
func TestHeaderWhenSent(t *testing.T) {
	is := is.New(t)
	var p leverpool.Pool
	target := leverpool.Target{Upstream: upstream(t, okResponse), MaxConnections: 1}
	call := leverpool.NewCall(http.MethodGet, "/a", "h.example", nil, nil)
	checkHead := func(*http.Response) error { return nil }
	ended := make(chan error, 2)
	done := func(_ *leverpool.Reply, err error) { ended <- err }
	var headerCalls atomic.Int64
	releaseFirst := make(chan struct{})
	first := func() http.Header {
		<-releaseFirst
		headerCalls.Add(1)
		return nil
	}
	second := func() http.Header {
		is.Equal(headerCalls.Load(), int64(1)) // the first call's
		headerCalls.Add(1)
		return nil
	}
	p.Send(target, call, first, checkHead, done)
	p.Send(target, call, second, checkHead, done)
	is.Equal(headerCalls.Load(), int64(0))
	close(releaseFirst)
	is.NoErr(<-ended)
	is.NoErr(<-ended)
	is.Equal(headerCalls.Load(), int64(2))
}

// endlessServer writes head once to each connection and then chunk until the
// connection is closed. It counts the bytes.
type endlessServer struct {
	head, chunk string
	written     atomic.Int64
	closed      atomic.Int64
}

func (s *endlessServer) start(t *testing.T) *leverdirectory.Upstream {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go s.run(ln)
	return &leverdirectory.Upstream{ID: "u", Address: ln.Addr().String()}
}

func (s *endlessServer) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.runConn(c)
	}
}

func (s *endlessServer) runConn(c net.Conn) {
	defer c.Close()
	defer s.closed.Add(1)
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := c.Write([]byte(s.head)); err != nil {
		return
	}
	for {
		n, err := c.Write([]byte(s.chunk))
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessResponses receives bytes without end. Each call must fail, its
// connection must be closed, and only a bounded number of bytes may be held.
func TestEndlessResponses(t *testing.T) {
	line := strings.Repeat("x", 1000)
	cases := map[string]struct {
		head, chunk string
		// most bounds the bytes of one response, in addition to those in the buffers
		// of the connection.
		most int64
	}{
		"header fields":         {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n", 64 << 10},
		"one header field":      {"HTTP/1.1 200 OK\r\nA: ", line, 64 << 10},
		"a status line":         {"HTTP/1.1 200 ", line, 64 << 10},
		"informational":         {"", "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n", 64 << 10},
		"no protocol":           {"", line, 64 << 10},
		"a body without length": {"HTTP/1.1 200 OK\r\n\r\n", line, 8 << 20},
		"a chunked body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", 9 << 20},
		"one chunk":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", line, 8 << 20},
		"a false length":        {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", line, 0},
		"trailers":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n", 64 << 10},
	}
	const socketBuffers = 8 << 20
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &endlessServer{head: c.head, chunk: c.chunk}
			var p leverpool.Pool
			o := send(&p, leverpool.Target{Upstream: s.start(t), MaxConnections: 1})
			is.True(errors.Is(o.err, leverpool.ErrBadResponse))
			// The connection ends at both sides; otherwise the test does not end.
			for s.closed.Load() == 0 || p.Stats().Open > 0 {
				time.Sleep(time.Millisecond)
			}
			is.True(s.written.Load() <= c.most+socketBuffers)
		})
	}
}

// TestLargeBodiesShareMemory receives more large bodies at once than there is
// memory for. The calls beyond it fail, and the memory is free again afterwards.
func TestLargeBodiesShareMemory(t *testing.T) {
	is := is.New(t)
	p := leverpool.Pool{MaxBodyBytes: 1 << 20}
	s := &endlessServer{head: "HTTP/1.1 200 OK\r\n\r\n", chunk: strings.Repeat("x", 1000)}
	target := leverpool.Target{Upstream: s.start(t), MaxConnections: 8}
	ended := make(chan outcome, 8)
	for range 8 {
		call := leverpool.NewCall(http.MethodGet, "/a", "h.example", nil, nil)
		p.Send(target, call, func() http.Header { return nil }, func(*http.Response) error { return nil }, func(r *leverpool.Reply, err error) { ended <- outcome{r, err} })
	}
	for range 8 {
		is.True(errors.Is((<-ended).err, leverpool.ErrBadResponse))
	}
	body := strings.Repeat("y", 900<<10)
	large := leverpool.Target{Upstream: upstream(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), MaxConnections: 1}
	o := send(&p, large)
	is.NoErr(o.err)
	is.Equal(len(o.reply.Body), len(body))
}

// TestLateCopyOfAnswer sends the answer to a first request once more, after the
// second request has arrived on the same connection. The second call must not get
// it.
func TestLateCopyOfAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	copies := &copyServer{listener: ln}
	go copies.run()
	var p leverpool.Pool
	target := leverpool.Target{Upstream: &leverdirectory.Upstream{ID: "u", Address: ln.Addr().String()}, MaxConnections: 1}
	for id, want := range []string{"answer to 0", ""} {
		call := leverpool.NewCall(http.MethodGet, "/a", "h.example", http.Header{"Id": {strconv.Itoa(id)}}, nil)
		ended := make(chan outcome, 1)
		checkHead := func(r *http.Response) error {
			if got := r.Header.Get("Id"); got != strconv.Itoa(id) {
				return errors.Errorf("response to request %s", got)
			}
			return nil
		}
		p.Send(target, call, func() http.Header { return nil }, checkHead, func(r *leverpool.Reply, err error) { ended <- outcome{r, err} })
		o := <-ended
		if want == "" {
			is.True(errors.Is(o.err, leverpool.ErrBadResponse))
			continue
		}
		is.NoErr(o.err)
		is.Equal(string(o.reply.Body), want)
	}
	// The connection is not used again; otherwise the test does not end.
	for p.Stats().Open > 0 {
		time.Sleep(time.Millisecond)
	}
}

// copyServer answers each request with the answer to the first one.
type copyServer struct{ listener net.Listener }

func (s *copyServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	for {
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 11\r\n\r\nanswer to 0")); err != nil {
			return
		}
	}
}
