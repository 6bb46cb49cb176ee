package leverengine_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/matryer/is"
)

// slowWriter takes the time that a busy VM takes to handle a result.
type slowWriter struct{}

func (slowWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(b), nil
}

// resettingSender resets the first call to s0 after a time, and never answers the first
// call to s1. All other calls are answered at once.
type resettingSender struct {
	goodSender
	resetAfter time.Duration

	mu   sync.Mutex
	seen map[leverid.ServiceID]bool
}

func (s *resettingSender) isFirst(id leverid.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.seen[id]
	s.seen[id] = true
	return first
}

func (s *resettingSender) Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	switch id := t.Upstream.Service; {
	case id == "s0" && s.isFirst(id):
		header()
		time.AfterFunc(s.resetAfter, func() { done(nil, leverpool.ErrReset) })
		return endedExchange{}
	case id == "s1" && s.isFirst(id):
		header()
		return endedExchange{}
	}
	return s.goodSender.Send(t, call, header, checkHead, done)
}

// TestHedgeDueWhileBusy lets the time of a hedge pass while the result of another part is
// handled. The hedge must be made right after that: it used to wait for the next event,
// often until the answer was due without the part.
func TestHedgeDueWhileBusy(t *testing.T) {
	const hedgeDelay = 45 * time.Millisecond // 0.45 of the objective
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &resettingSender{
			goodSender: goodSender{calls: make(map[leverid.ServiceID]int)}, resetAfter: hedgeDelay - 100*time.Microsecond,
			seen: make(map[leverid.ServiceID]bool),
		}
		e := branchEngine(&s.goodSender, nil)
		e.Brancher, e.Sender, e.Log = nil, s, leverlog.New(slowWriter{}, "info", "vm")
		started := time.Now()
		out := e.Run(t.Context(), request(0, nil))
		is.Equal(out.Missing, 0)
		is.True(time.Since(started) < hedgeDelay+10*time.Millisecond)
		time.Sleep(time.Second)
	})
}
