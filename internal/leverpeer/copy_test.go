package leverpeer_test

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/matryer/is"
)

// copyingConn sends all that it has written before once more ahead of each write, and
// each write twice.
type copyingConn struct {
	net.Conn
	before bytes.Buffer
}

func (c *copyingConn) Write(b []byte) (int, error) {
	for _, data := range [][]byte{c.before.Bytes(), b, b} {
		if _, err := c.Conn.Write(data); err != nil {
			return 0, err
		}
	}
	return c.before.Write(b)
}

// TestCopiesOfReplies has a peer send copies of its replies, at once and ahead of each
// later one. Each call must get its own reply, also after a call that was given up.
func TestCopiesOfReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		late := func(r *leverpeer.Request) error {
			time.Sleep(10 * time.Millisecond)
			return echo(r)
		}
		client, server, n, _ := newPair(late, "new-key")
		n.Listen("b", func(c net.Conn) { server.Accept(&copyingConn{Conn: c}) })
		for i := range 20 {
			text := fmt.Sprint("call ", i)
			if i%4 == 3 {
				call, err := client.Call(t.Context(), peerB, leverpeer.KindStatus, text)
				is.NoErr(err)
				time.Sleep(time.Duration(i) * time.Millisecond)
				call.Close()
				continue
			}
			var answer string
			is.NoErr(client.Invoke(t.Context(), peerB, leverpeer.KindStatus, text, &answer))
			is.Equal(answer, text)
		}
		is.Equal(client.Connections(), 1)
		client.Close()
		server.Close()
		time.Sleep(time.Minute)
	})
}
