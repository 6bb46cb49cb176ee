package leverengine_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/matryer/is"
)

// slowSender answers the first call of each request late. All other calls wait
// without being sent.
type slowSender struct {
	goodSender
	waiting int
	first   bool
}

func (s *slowSender) Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	if s.first {
		s.first = false
		time.AfterFunc(300*time.Millisecond, func() { s.goodSender.Send(t, call, header, checkHead, done) })
		return endedExchange{}
	}
	s.waiting++
	t.Placement.Place(nil)
	return &waitingExchange{done}
}

// waitingExchange is a call that waits.
type waitingExchange struct {
	done func(*leverpool.Reply, error)
}

func (x *waitingExchange) Withdraw() bool {
	x.done(nil, leverpool.ErrWithdrawn)
	return true
}

func (x *waitingExchange) Cancel() {}

// TestUnsentHedgeIsNoExtra has hedges wait until their requests have ended. The
// budget, which allows one extra attempt, must allow the hedge of each request.
func TestUnsentHedgeIsNoExtra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowSender{goodSender: goodSender{calls: make(map[leverid.ServiceID]int)}}
		e := branchEngine(&s.goodSender, nil)
		e.Brancher, e.Sender = nil, s
		c := *e.Directory.View().Config
		route := c.Routes[0]
		route.Shards, route.Targets = nil, []leverdirectory.Target{{Service: "s0", Weight: 1}}
		route.Objective, route.RecordBytes = 500*time.Millisecond, 0
		c.Version, c.Routes = 2, []leverdirectory.Route{route}
		e.Directory.SetConfig(&c)
		e.Budget.SetTerms(leverbudget.Terms{Slack: 2, Window: 10 * time.Second})
		for i := range 3 {
			s.first = true
			is.Equal(e.Run(t.Context(), request(0, nil)).Verdict, leverengine.Passed)
			is.Equal(s.waiting, i+1)
		}
		time.Sleep(time.Second)
	})
}
