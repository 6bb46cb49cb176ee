package leverengine_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// refusingEngine returns an engine whose only route has two shards without
// upstreams, so that each request ends without an attempt.
func refusingEngine() *leverengine.Engine {
	d := &leverdirectory.Directory{}
	d.SetConfig(&leverdirectory.Config{Version: 1, Routes: []leverdirectory.Route{{
		Name: "r", Host: "h.example", Prefix: "/a/", Repeatable: true, Limit: 20, RecordBytes: 16, LeastCoverage: 0.9,
		MaxAttempts: 2, Timeout: 200 * time.Millisecond, Objective: 50 * time.Millisecond, Shards: []leverid.ServiceID{"s0", "s1"},
	}}})
	d.SetUpstreams(nil)
	return &leverengine.Engine{
		Timer: &levertimer.Service{}, Directory: d, Health: &leverhealth.Tracker{}, Pool: &leverpool.Pool{},
		Protocol: testProtocol{}, Crashes: &levercrash.Guard{},
		Budget:           &leverbudget.Budget{Terms: leverbudget.Terms{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}},
		ConnectionShares: func() (float64, float64) { return 0.5, 0.5 },
		Current:          func() bool { return true },
	}
}

// TestRefusalAfterAnotherVM refuses requests. One that another VM may have begun
// must not be reported as not run.
func TestRefusalAfterAnotherVM(t *testing.T) {
	cases := map[string]struct {
		prior int
		limit int
		want  bool
	}{
		"begun here":                       {0, 0, false},
		"begun on another VM":              {1, 0, true},
		"refused here":                     {0, 1, false},
		"begun on another VM and refused":  {1, 1, true},
		"begun twice on other VMs, no end": {2, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := refusingEngine()
				e.MaxInFlight = c.limit
				if c.limit > 0 {
					go e.Run(t.Context(), request(0, nil))
					go e.Run(t.Context(), request(0, nil))
				}
				out := e.Run(t.Context(), request(c.prior, nil))
				is.Equal(out.MaybeRan, c.want)
				if c.want {
					is.True(out.Verdict != leverengine.NotRun)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestOverrideOfMissingShard sends a request that must run once to a shard that
// the route does not have. It must be refused instead of running on all shards.
func TestOverrideOfMissingShard(t *testing.T) {
	for name, shard := range map[string]leverid.ShardID{"beyond the last": 2, "negative": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				out := refusingEngine().Run(t.Context(), request(0, &leverengine.Overrides{Once: true, Shard: shard}))
				is.Equal(out.Verdict, leverengine.NotRun)
				is.Equal(out.Attempts, 0)
				is.True(!out.MaybeRan)
			})
		})
	}
}

func request(prior int, o *leverengine.Overrides) *leverengine.Request {
	return &leverengine.Request{
		ID: "1", Method: http.MethodGet, Host: "h.example", URI: "/a/b", Path: "/a/b", Received: time.Now(),
		Header: http.Header{}, PriorAttempts: prior, Overrides: o,
	}
}

// lossySender ends every call with err.
type lossySender struct{ err error }

func (s lossySender) Send(_ leverpool.Target, _ *leverpool.Call, _ func() http.Header, _ func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	done(nil, s.err)
	return endedExchange{}
}

type endedExchange struct{}

func (endedExchange) Withdraw() bool { return true }
func (endedExchange) Cancel()        {}

// TestLostHomeIsNotTheUpstreamsFault loses the VM that makes a call. The request
// may have run, and the upstream must not count as failing.
func TestLostHomeIsNotTheUpstreamsFault(t *testing.T) {
	cases := map[string]struct {
		err     error
		failing bool
	}{
		"home lost":      {leverpool.ErrVMLost, false},
		"upstream reset": {leverpool.ErrBadResponse, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := refusingEngine()
				e.Sender = lossySender{c.err}
				e.Directory.SetUpstreams([]leverdirectory.Upstream{{ID: "u", Service: "s0", Slots: 2}, {ID: "v", Service: "s1", Slots: 2}})
				u := e.Directory.View().Upstreams("s0")[0]
				before := e.Health.Estimate(u, "r", time.Now())
				out := e.Run(t.Context(), request(0, nil))
				is.True(out.MaybeRan)
				is.Equal(e.Health.Estimate(u, "r", time.Now()) > before, c.failing)
				time.Sleep(time.Second)
			})
		})
	}
}
