package leverpool_test

import (
	"net/http"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/matryer/is"
)

const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// upstream starts an upstream that answers all requests alike.
func upstream(t testing.TB, answer string) *leverdirectory.Upstream {
	e := &levertest.Echo{Answer: []byte(answer)}
	ln, err := e.Start()
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

// send sends a request and waits for its end.
func send(p *leverpool.Pool, target leverpool.Target) outcome {
	ended := make(chan outcome, 1)
	call := leverpool.NewCall(http.MethodGet, "/a/b?c=%2f", "h.example", nil, nil)
	p.Send(target, call, nil, func(*http.Response) error { return nil }, func(r *leverpool.Reply, err error) { ended <- outcome{r, err} })
	return <-ended
}

func TestReuse(t *testing.T) {
	is := is.New(t)
	var p leverpool.Pool
	target := leverpool.Target{Upstream: upstream(t, plain), MaxConnections: 1}
	for range 3 {
		o := send(&p, target)
		is.NoErr(o.err)
		is.Equal(string(o.reply.Body), "ok")
	}
	is.Equal(p.Stats().Dialed, int64(1))
}

// TestOnceBesideOldConnections: a request that must not run twice does not
// take an old connection, and does not wait for it either if it holds the last
// place.
func TestOnceBesideOldConnections(t *testing.T) {
	is := is.New(t)
	var p leverpool.Pool
	target := leverpool.Target{Upstream: upstream(t, plain), MaxConnections: 1, Once: true}
	is.NoErr(send(&p, target).err)
	time.Sleep(200 * time.Millisecond)
	is.NoErr(send(&p, target).err)
	is.Equal(p.Stats().Dialed, int64(2))
}
