package leverengine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/internal/levertimer"
)

type testProtocol struct{}

func (testProtocol) StripHeaders(http.Header) {}

func (testProtocol) AttemptHeaders(left time.Duration, u *leverdirectory.Upstream) http.Header {
	return http.Header{"Left": {left.String()}, "Expect-Upstream": {string(u.ID)}}
}

func (testProtocol) ParseHead(_ int, h http.Header) leverengine.ResponseMeta {
	return leverengine.ResponseMeta{Request: leverid.RequestID(h.Get("X-Request-Id")), Signature: h.Get("Signature")}
}

// BenchmarkFanout measures fan-outs over shards with 3 upstreams each.
func BenchmarkFanout(b *testing.B) {
	for _, shards := range []int{10, 90, 1200} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) { benchFanout(b, shards) })
	}
}

func benchFanout(b *testing.B, shards int) {
	records := strings.Repeat("0123456789abcdef", 25)
	server := &levertest.CannedServer{Response: []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Request-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(records), records))}
	ln, err := server.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	route := leverdirectory.Route{
		Name: "r", Host: "h.example", Prefix: "/a/", Repeatable: true, Limit: 20, RecordBytes: 16, LeastCoverage: 0.9,
		MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond,
	}
	var list []leverdirectory.Upstream
	services := make(map[leverid.ServiceID]leverdirectory.Service)
	for i := range shards {
		s := leverid.ServiceID(fmt.Sprintf("s%d", i))
		route.Shards = append(route.Shards, s)
		services[s] = leverdirectory.Service{MaxConnections: 50}
		for k := range 3 {
			list = append(list, leverdirectory.Upstream{ID: leverid.UpstreamID(fmt.Sprintf("%s-%d", s, k)), Service: s, Address: ln.Addr().String(), Slots: 2})
		}
	}
	var d leverdirectory.Directory
	d.SetConfig(&leverdirectory.Config{Version: 1, Routes: []leverdirectory.Route{route}, Services: services})
	d.SetUpstreams(list)
	engine := &leverengine.Engine{
		Timer: &levertimer.Service{}, Directory: &d, Health: &leverhealth.Tracker{}, Pool: &leverpool.Pool{}, Protocol: testProtocol{}, Crashes: &levercrash.Guard{},
		Budget:           &leverbudget.Budget{Terms: leverbudget.Terms{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}},
		ConnectionShares: func() (float64, float64) { return 0.5, 0.5 },
		Current:          func() bool { return true },
	}
	b.ReportAllocs()
	for b.Loop() {
		out := engine.Run(context.Background(), &leverengine.Request{
			ID: "1", Method: http.MethodGet, Host: "h.example", URI: "/a/b", Path: "/a/b", Received: time.Now(),
			Header: http.Header{"X-Request-Id": {"1"}, "User-Agent": {"x"}, "Accept": {"*/*"}},
		})
		if out.Verdict != leverengine.Merged || out.Missing > 0 {
			b.Fatalf("%v, %d missing", out.Verdict, out.Missing)
		}
	}
}
