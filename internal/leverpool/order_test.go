package leverpool_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"
)

// TestWaitingOrder lets calls wait for one connection. It guards against a call of one
// organisation that waits for all calls of another, and against another order than that
// of arrival without organisations.
func TestWaitingOrder(t *testing.T) {
	cases := map[string]struct{ arrive, want string }{
		"a flood":            {"aaaaaaaabb", "aababaaaaa"},
		"no organisations":   {"------", "------"},
		"without one beside": {"aaaa--", "aa-a-a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newHoldingPool(&holdingServer{hold: 20 * time.Millisecond})
				defer p.stop()
				sent := make(chan string, len(c.arrive))
				for _, r := range c.arrive {
					organisation := strings.Trim(string(r), "-")
					target := leverpool.Target{
						Upstream: &leverdirectory.Upstream{ID: "u", Address: "u:80"}, MaxConnections: 1,
						Flow: leverrank.Flow{Organisation: leverid.OrganisationID(organisation), Work: 0.02},
					}
					call := leverpool.NewCall(http.MethodGet, "/a", "h.example", nil, nil)
					p.Send(target, call, func() http.Header { sent <- string(r); return nil }, func(*http.Response) error { return nil }, func(_ *leverpool.Reply, err error) { p.results <- err })
				}
				got := ""
				for range c.arrive {
					got += <-sent
				}
				if got != c.want {
					t.Errorf("sent in the order %s, want %s", got, c.want)
				}
			})
		})
	}
}

// TestWithdrawnCalls withdraws calls of a flood while others wait. It guards against an
// organisation whose next calls wait as if the withdrawn ones had been sent, and against
// calls of one organisation in another order than that of arrival.
func TestWithdrawnCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHoldingPool(&holdingServer{hold: 20 * time.Millisecond})
		defer p.stop()
		sent := make(chan string, 20)
		start := func(name string) *leverpool.Exchange {
			target := leverpool.Target{
				Upstream: &leverdirectory.Upstream{ID: "u", Address: "u:80"}, MaxConnections: 1,
				Flow: leverrank.Flow{Organisation: leverid.OrganisationID(name[:1]), Work: 0.02},
			}
			call := leverpool.NewCall(http.MethodGet, "/a", "h.example", nil, nil)
			return p.Send(target, call, func() http.Header { sent <- name; return nil }, func(*http.Response) error { return nil }, func(_ *leverpool.Reply, err error) { p.results <- err })
		}
		start("c0")
		var flood []*leverpool.Exchange
		for i := range 10 {
			flood = append(flood, start(fmt.Sprint("a", i)))
		}
		start("b0")
		for i, x := range flood {
			if i != 3 && i != 7 && !x.Withdraw() {
				t.Errorf("a%d was not withdrawn", i)
			}
		}
		for _, name := range []string{"b1", "b2", "b3", "a10", "a11"} {
			start(name)
		}
		var got []string
		for range 9 {
			got = append(got, <-sent)
		}
		if s, want := strings.Join(got, " "), "c0 a3 b0 a7 b1 b2 a10 b3 a11"; s != want {
			t.Errorf("sent in the order %s, want %s", s, want)
		}
	})
}
