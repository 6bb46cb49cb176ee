package leverpool_test

import (
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
