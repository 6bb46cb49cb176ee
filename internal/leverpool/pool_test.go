package leverpool_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"

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
