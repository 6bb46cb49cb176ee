package leverpool_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// holdingServer answers each request after holding it. The first resets
// connections are closed without an answer.
type holdingServer struct {
	hold   time.Duration
	resets int

	mu sync.Mutex
	// arrivals are the times at which the requests arrived, since began.
	began    time.Time
	arrivals []time.Duration
}

func (s *holdingServer) accept(c net.Conn) { go s.run(c) }

func (s *holdingServer) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.mu.Lock()
		reset := s.resets > 0
		if reset {
			s.resets--
		} else {
			s.arrivals = append(s.arrivals, time.Since(s.began))
		}
		s.mu.Unlock()
		if reset {
			return
		}
		time.Sleep(s.hold)
		if _, err := c.Write([]byte(okResponse)); err != nil {
			return
		}
	}
}

// arrived returns the number of requests that have arrived.
func (s *holdingServer) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// holdingPool is a pool whose only upstream is a holdingServer.
type holdingPool struct {
	leverpool.Pool
	server  *holdingServer
	results chan error
}

func newHoldingPool(s *holdingServer) *holdingPool {
	n := &levertest.Network{}
	n.Listen("u:80", s.accept)
	s.began = time.Now()
	p := &holdingPool{server: s, results: make(chan error, 100)}
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "vm", address) }
	return p
}

// start starts a call that may use up to the given number of connections.
func (p *holdingPool) start(connections int) *leverpool.Exchange {
	target := leverpool.Target{Upstream: &leverdirectory.Upstream{ID: "u", Address: "u:80"}, MaxConnections: connections}
	call := leverpool.NewCall(http.MethodGet, "/a", "h.example", nil, nil)
	return p.Send(target, call, func() http.Header { return nil }, func(*http.Response) error { return nil }, func(_ *leverpool.Reply, err error) { p.results <- err })
}

// stop ends the test's goroutines.
func (p *holdingPool) stop() {
	time.Sleep(time.Minute)
	p.Close()
	synctest.Wait()
}

// TestOwnCancelIsNoConnectionLimit cancels a call on a new connection. That the
// connection closes must not count as the upstream's connection limit, which would
// make the next calls wait.
func TestOwnCancelIsNoConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHoldingPool(&holdingServer{hold: 900 * time.Millisecond})
		defer p.stop()
		first := p.start(4)
		p.start(4)
		synctest.Wait()
		first.Cancel()
		is.True(errors.Is(<-p.results, leverpool.ErrCanceled))
		for range 3 {
			p.start(4)
		}
		synctest.Wait()
		is.Equal(p.server.arrived(), 5)
		is.Equal(p.Stats().NewConnResets, int64(0))
	})
}

// TestWaitingCallsAreSentWhenTheLimitGrows has an upstream reset a new connection,
// which lowers the limit for a second. The calls that wait meanwhile must be sent
// when the second is over, though no call has ended.
func TestWaitingCallsAreSentWhenTheLimitGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHoldingPool(&holdingServer{hold: 10 * time.Second, resets: 1})
		defer p.stop()
		p.start(4)
		is.True(errors.Is(<-p.results, leverpool.ErrNewConnReset))
		for range 4 {
			p.start(4)
		}
		synctest.Wait()
		is.Equal(p.server.arrived(), 1) // the limit is 1
		time.Sleep(1100 * time.Millisecond)
		is.Equal(p.server.arrived(), 4)
	})
}

// TestWaitingCallsKeepTheLoweredLimit lowers the limit of an upstream while calls
// wait. Connections that close must not be replaced beyond it.
func TestWaitingCallsKeepTheLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHoldingPool(&holdingServer{hold: 300 * time.Millisecond})
		defer p.stop()
		var sent []*leverpool.Exchange
		for range 8 {
			sent = append(sent, p.start(4))
		}
		synctest.Wait()
		is.Equal(p.server.arrived(), 4)
		p.server.mu.Lock()
		p.server.resets = 1
		p.server.mu.Unlock()
		sent[0].Cancel()
		synctest.Wait()
		// The call that took the place of the first one was reset, which leaves three
		// connections in use and a limit of three.
		is.True(errors.Is(<-p.results, leverpool.ErrCanceled))
		is.True(errors.Is(<-p.results, leverpool.ErrNewConnReset))
		is.Equal(p.Stats().Open, int64(3))
	})
}

// TestNoWaitingCallIsSentAfterClose closes the pool, as a VM does that ends, while
// calls wait.
func TestNoWaitingCallIsSentAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHoldingPool(&holdingServer{hold: 300 * time.Millisecond})
		defer p.stop()
		for range 3 {
			p.start(1)
		}
		synctest.Wait()
		p.Close()
		is.NoErr(<-p.results)
		time.Sleep(time.Minute)
		is.Equal(p.server.arrived(), 1)
	})
}
