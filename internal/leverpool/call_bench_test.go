package leverpool_test

import (
	"net/http"
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"
)

func BenchmarkSend(b *testing.B) {
	e := &levertest.CannedServer{Response: []byte("HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Request-Id: 9c41d07be2a35f68\r\nContent-Length: 16\r\nKeep-Alive: timeout=5\r\n\r\n0123456789abcdef")}
	ln, err := e.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	var p leverpool.Pool
	u := &leverdirectory.Upstream{ID: "u", Address: ln.Addr().String()}
	call := leverpool.NewCall(http.MethodGet, "/a/b", "h.example", http.Header{}, nil)
	checkHead := func(*http.Response) error { return nil }
	ended := make(chan error)
	done := func(_ *leverpool.Reply, err error) { ended <- err }
	b.ReportAllocs()
	for b.Loop() {
		p.Send(leverpool.Target{Upstream: u, MaxConnections: 2}, call, func() http.Header { return http.Header{"Left": {"100"}} }, checkHead, done)
		if err := <-ended; err != nil {
			b.Fatal(err)
		}
	}
}
