package leverpool_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// copyingServer answers each request with the status that it asks for and with its ID
// and the number of its send. After an answer, it may send late copies of answers that
// it gave on the same connection before.
type copyingServer struct {
	// pick returns the index of the answer to send again before the next one, or -1.
	pick func(answers int) int
	hold func() time.Duration

	mu sync.Mutex
}

func (s *copyingServer) accept(c net.Conn) { go s.run(c) }

func (s *copyingServer) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var answers [][]byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		i, hold := s.pick(len(answers)), s.hold()
		s.mu.Unlock()
		var out bytes.Buffer
		if i >= 0 {
			out.Write(answers[i])
		}
		answer := fmt.Appendf(nil, "HTTP/1.1 %s Status\r\nId: %s\r\nSend: %s\r\nContent-Length: 0\r\n\r\n",
			req.Header.Get("Want"), req.Header.Get("Id"), req.Header.Get("Send"))
		answers = append(answers, answer)
		if out.Len() > 0 {
			if _, err := c.Write(out.Bytes()); err != nil {
				return
			}
		}
		time.Sleep(hold)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// copyingPool is a pool whose only upstream is a copyingServer.
type copyingPool struct {
	leverpool.Pool
	sends int
}

func newCopyingPool(s *copyingServer) *copyingPool {
	n := &levertest.Network{Delay: func(string, string) time.Duration { return time.Millisecond }}
	n.Listen("u:80", s.accept)
	p := &copyingPool{}
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "vm", address) }
	return p
}

// copyOutcome is the outcome of one send. sent is its number, as in the answer.
type copyOutcome struct {
	outcome
	id   leverid.RequestID
	sent string
}

// start sends a request that must not run twice and wants an answer with the status.
func (p *copyingPool) start(id leverid.RequestID, status, connections int, ended chan<- copyOutcome) {
	p.sends++
	sent := fmt.Sprint(p.sends)
	header := http.Header{"Id": {string(id)}, "Send": {sent}, "Want": {fmt.Sprint(status)}}
	target := leverpool.Target{
		Upstream: &leverdirectory.Upstream{ID: "u", Address: "u:80"}, MaxConnections: connections, Once: true, Request: id,
	}
	checkHead := func(r *http.Response) error {
		if got := r.Header.Get("Id"); got != string(id) {
			return errors.Errorf("response belongs to request %q", got)
		}
		return nil
	}
	p.Send(target, leverpool.NewCall(http.MethodPost, "/a", "h.example", header, nil), func() http.Header { return nil }, checkHead,
		func(r *leverpool.Reply, err error) { ended <- copyOutcome{outcome{r, err}, id, sent} })
}

func (p *copyingPool) stop() {
	time.Sleep(time.Minute)
	p.Close()
	synctest.Wait()
}

// TestLateCopyIsNoAnswer sends requests again after answers that are no success, while
// copies of all earlier answers of a connection arrive late. No copy may be taken for
// the answer to a later send of its request.
func TestLateCopyIsNoAnswer(t *testing.T) {
	last := func(n int) int { return n - 1 }
	first := func(n int) int { return min(n, 1) - 1 }
	cases := map[string]struct {
		pick        func(answers int) int
		connections int
		// ids are the requests that are sent one after the other, with status.
		ids    []leverid.RequestID
		status int
	}{
		"refusal, same connection":            {last, 1, []leverid.RequestID{"a", "a"}, http.StatusServiceUnavailable},
		"refusal, more connections allowed":   {last, 4, []leverid.RequestID{"a", "a", "a"}, http.StatusServiceUnavailable},
		"wrong upstream":                      {last, 1, []leverid.RequestID{"a", "a"}, http.StatusMisdirectedRequest},
		"failure":                             {last, 1, []leverid.RequestID{"a", "a"}, http.StatusInternalServerError},
		"redirect":                            {last, 1, []leverid.RequestID{"a", "a"}, http.StatusFound},
		"after another request, closed by it": {first, 1, []leverid.RequestID{"a", "b", "a"}, http.StatusTooManyRequests},
		"after a quiet exchange of another": {func(n int) int {
			if n == 2 {
				return 0
			}
			return -1
		}, 1, []leverid.RequestID{"a", "b", "a"}, http.StatusTooManyRequests},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCopyingPool(&copyingServer{pick: c.pick, hold: func() time.Duration { return time.Millisecond }})
				defer p.stop()
				ended := make(chan copyOutcome, 1)
				for _, id := range c.ids {
					p.start(id, c.status, c.connections, ended)
					checkOwnAnswer(t, <-ended)
				}
			})
		})
	}
}

// TestLateCopiesOfAnySeries draws the series: requests that are sent again up to six
// times, several at once, and the copies.
func TestLateCopiesOfAnySeries(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCopySeries(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func runCopySeries(t *testing.T, r *rand.Rand) {
	s := &copyingServer{hold: func() time.Duration { return time.Duration(r.IntN(5)) * time.Millisecond }}
	s.pick = func(answers int) int {
		if answers == 0 || r.IntN(4) > 0 {
			return -1
		}
		return r.IntN(answers)
	}
	p := newCopyingPool(s)
	defer p.stop()
	const requests, sendsEach = 30, 6
	connections, atOnce := 1+r.IntN(4), 1+r.IntN(6)
	ended := make(chan copyOutcome, requests)
	var ids []leverid.RequestID
	for i := range requests {
		for range sendsEach {
			ids = append(ids, leverid.RequestID(fmt.Sprint("r", i/3)))
		}
	}
	// Requests that are close in the list are sent close to each other.
	for i := range ids {
		k := min(i+r.IntN(2*sendsEach), len(ids)-1)
		ids[i], ids[k] = ids[k], ids[i]
	}
	inFlight := map[leverid.RequestID]bool{}
	end := func() {
		o := <-ended
		delete(inFlight, o.id)
		checkOwnAnswer(t, o)
	}
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusMisdirectedRequest}
	for _, id := range ids {
		for len(inFlight) >= atOnce || inFlight[id] {
			end()
		}
		inFlight[id] = true
		s.mu.Lock()
		status := statuses[r.IntN(len(statuses))]
		s.mu.Unlock()
		p.start(id, status, connections, ended)
	}
	for len(inFlight) > 0 {
		end()
	}
}

// checkOwnAnswer fails the test if a send has ended with the answer to another one.
func checkOwnAnswer(t *testing.T, o copyOutcome) {
	t.Helper()
	if o.err == nil && o.reply.Header.Get("Send") != o.sent {
		t.Errorf("send %s of request %q was answered with the copy for send %s", o.sent, o.id, o.reply.Header.Get("Send"))
	}
}

// TestFailuresOfManyRequests has one connection carry refusals of more requests than it
// remembers. It must be closed instead of forgetting one, and successes must not count.
func TestFailuresOfManyRequests(t *testing.T) {
	cases := map[string]struct {
		statuses []int
		dialed   int64
	}{
		"refusals":                {[]int{503}, 3},
		"one refusal in ten":      {slices.Concat([]int{503}, slices.Repeat([]int{200}, 9)), 1},
		"successes":               {[]int{200}, 1},
		"more successes than 503": {[]int{503, 200, 200}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newCopyingPool(&copyingServer{pick: func(int) int { return -1 }, hold: func() time.Duration { return 0 }})
				defer p.stop()
				ended := make(chan copyOutcome, 1)
				for i := range 300 {
					p.start(leverid.RequestID(fmt.Sprint(i)), c.statuses[i%len(c.statuses)], 1, ended)
					is.NoErr((<-ended).err)
				}
				is.Equal(p.Stats().Dialed, c.dialed)
			})
		})
	}
}
