package leverpool_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// TestUnendedResponsesShareMemory guards against many upstreams that send bytes without an
// end at once, each fewer than one response may have: together they must not hold more
// than the pool's memory, and what has ended must be free again.
func TestUnendedResponsesShareMemory(t *testing.T) {
	const (
		memory = 1 << 20
		calls  = 256
		// free is what each response may hold without being counted.
		free = 16 << 10
	)
	line := strings.Repeat("x", 1000)
	cases := map[string]string{
		"heads":                strings.Repeat("A: "+line+"\r\n", 60),
		"one field of a head":  "A: " + strings.Repeat(line, 60),
		"small bodies":         "Content-Length: 65000\r\n\r\n" + strings.Repeat(line, 64),
		"bodies without end":   "\r\n" + strings.Repeat(line, 60),
		"chunks":               "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+line+"\r\n", 60),
		"trailers":             "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: "+line+"\r\n", 60),
		"informational heads":  "\r\nHTTP/1.1 103 Early Hints\r\n" + strings.Repeat("A: "+line+"\r\n", 60),
		"large bodies":         "Content-Length: 7000000\r\n\r\n" + strings.Repeat(line, 200),
		"large bodies, chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+line+"\r\n", 200),
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				status := "200 OK"
				if name == "informational heads" {
					status = "103 Early Hints"
				}
				p := leverpool.Pool{MaxBodyBytes: memory, Dial: func(context.Context, string) (net.Conn, error) {
					return newScriptedConn(4096, false, "HTTP/1.1 "+status+"\r\n"+rest, ""), nil
				}}
				var failed atomic.Int64
				var exchanges []*leverpool.Exchange
				for i := range calls {
					target := leverpool.Target{Upstream: &leverdirectory.Upstream{ID: "u", Address: "u:" + strconv.Itoa(i)}, MaxConnections: 1}
					call := leverpool.NewCall(http.MethodGet, "/", "h", nil, nil)
					exchanges = append(exchanges, p.Send(target, call, func() http.Header { return nil }, func(*http.Response) error { return nil }, func(_ *leverpool.Reply, err error) {
						if errors.Is(err, leverpool.ErrBadResponse) {
							failed.Add(1)
						}
					}))
				}
				synctest.Wait()
				held := int64(calls - failed.Load())
				is.True(held*(int64(len(rest))-free) <= memory) // the rest has been given up
				is.True(held > 0 || name == "trailers")         // net/http rejects long trailers at once
				is.True(p.Held() <= memory)
				for _, x := range exchanges {
					x.Cancel()
				}
				synctest.Wait()
				is.Equal(p.Held(), int64(0))
			})
		})
	}
}
