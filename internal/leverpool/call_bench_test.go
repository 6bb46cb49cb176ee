package leverpool_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
)

// echo answers each request on its connections with the same bytes.
type echo struct{ answer []byte }

func (e *echo) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go e.runConn(c)
	}
}

func (e *echo) runConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := c.Write(e.answer); err != nil {
			return
		}
	}
}

func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	e := &echo{answer: []byte("HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Request-Id: 9c41d07be2a35f68\r\nContent-Length: 16\r\nKeep-Alive: timeout=5\r\n\r\n0123456789abcdef")}
	go e.run(ln)
	var p leverpool.Pool
	u := &leverdirectory.Upstream{ID: "u", Address: ln.Addr().String()}
	call := leverpool.NewCall(http.MethodGet, "/a/b", "h.example", http.Header{}, nil)
	accept := func(*http.Response) error { return nil }
	ended := make(chan error)
	done := func(_ *leverpool.Reply, err error) { ended <- err }
	b.ReportAllocs()
	for b.Loop() {
		p.Send(leverpool.Target{Upstream: u, MaxConnections: 2}, call, http.Header{"Left": {"100"}}, accept, done)
		if err := <-ended; err != nil {
			b.Fatal(err)
		}
	}
}
