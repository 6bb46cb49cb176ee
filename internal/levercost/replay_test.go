package levercost_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
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
)

var (
	replayLength = flag.Duration("length", 15*time.Second, "length of each replay")
	attempts     = flag.Int("attempts", 2, "maximum number of attempts of each part")
	replayRate   = flag.Float64("rate", 48, "requests per second of all VMs and routes")
	replaySeed   = flag.Uint64("seed", 1, "seed of the replays")
)

// vmCount is the number of VMs that run fan-outs.
const vmCount = 6

type protocol struct{}

func (protocol) StripHeaders(http.Header) {}

func (protocol) AttemptHeaders(time.Duration, *leverdirectory.Upstream) http.Header { return nil }

func (protocol) ParseHead(_ int, h http.Header) leverengine.ResponseMeta {
	m := leverengine.ResponseMeta{Request: leverid.RequestID(h.Get("X-Request-Id")), Signature: h.Get("Signature")}
	if v := h.Get("Load"); v != "" {
		_, _ = fmt.Sscan(v, &m.Load.Running, &m.Load.Waiting, &m.Load.Slots, &m.Load.Pace)
	}
	return m
}

func routes() []leverdirectory.Route {
	quick := leverdirectory.Route{
		Name: "quick", Host: "h", Prefix: "/quick", Repeatable: true, Limit: 20, RecordBytes: 16, LeastCoverage: 0.85,
		MaxAttempts: *attempts, Timeout: time.Second, Objective: 40 * time.Millisecond,
	}
	wide := quick
	wide.Name, wide.Prefix, wide.LeastCoverage, wide.Objective = "wide", "/wide", 0.95, 120*time.Millisecond
	single := leverdirectory.Route{
		Name: "single", Host: "h", Prefix: "/single", Repeatable: true, MaxAttempts: *attempts, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond,
	}
	for i := range shardCount {
		quick.Shards = append(quick.Shards, service(i))
		single.Targets = append(single.Targets, leverdirectory.Target{Service: service(i), Weight: 1})
	}
	wide.Shards = quick.Shards
	return []leverdirectory.Route{quick, wide, single}
}

// shares are the fractions of the requests that go to each route.
var shares = []float64{0.5, 0.2, 0.3}

// result is what a route's callers saw.
type result struct {
	times                           []time.Duration
	requests, failed, late          int
	parts, missing, hedged, retried int
	value                           float64
}

func (r *result) add(out *leverengine.Outcome, took time.Duration, route *leverdirectory.Route) {
	r.requests++
	r.hedged += out.Hedged
	r.retried += out.Retried
	n := max(len(route.Shards), 1)
	r.parts += n
	if out.Verdict != leverengine.Merged && (out.Verdict != leverengine.Passed || out.Reply.Status != http.StatusOK) {
		r.failed++
		r.missing += n
		return
	}
	r.times = append(r.times, took)
	r.missing += out.Missing
	v := float64(n-out.Missing) / float64(n)
	v *= v
	if took > route.Objective {
		r.late++
		v /= 4
	}
	r.value += v
}

func (r *result) quantile(q float64) float64 {
	slices.Sort(r.times)
	return float64(r.times[int(q*float64(len(r.times)-1))]) / float64(time.Millisecond)
}

type replay struct {
	mu      sync.Mutex
	results map[string]*result
	group   sync.WaitGroup
}

func (r *replay) runRequest(e *leverengine.Engine, route *leverdirectory.Route, id leverid.RequestID) {
	defer r.group.Done()
	at := time.Now()
	out := e.Run(context.Background(), &leverengine.Request{
		ID: id, Method: http.MethodGet, Host: "h", URI: route.Prefix, Path: route.Prefix, Header: http.Header{}, Received: at,
	})
	took := time.Since(at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[route.Name].add(out, took, route)
}

// newVM returns the engine of one VM.
func newVM(w *world, list []leverdirectory.Route, n int, p policy) (*leverengine.Engine, *sender) {
	s := &sender{world: w, domain: leverid.Domain(fmt.Sprint("d", n%replicaCount)), last: make(map[leverid.UpstreamID]int), inFlight: make(map[leverid.UpstreamID]int)}
	d := &leverdirectory.Directory{}
	d.SetConfig(&leverdirectory.Config{Version: 1, Routes: list})
	d.SetUpstreams(w.list)
	budget := &leverbudget.Budget{Terms: leverbudget.Terms{Ratio: 0.2, Slack: 186, Window: 10 * time.Second}}
	budget.SetStart(time.Now().Add(-time.Minute))
	budget.SetShare(1.0/vmCount, time.Now().Add(-time.Minute))
	e := &leverengine.Engine{
		Domain: s.domain, Timer: &levertimer.Service{}, Directory: d, Health: &leverhealth.Tracker{}, Pool: &leverpool.Pool{}, Sender: s,
		Protocol: protocol{}, Crashes: &levercrash.Guard{}, Budget: budget,
		ConnectionShares: func() (float64, float64) { return 1, 1 },
		Current:          func() bool { return true },
	}
	p.apply(e, s)
	return e, s
}

// policy is a way to choose upstreams and to hedge.
type policy struct {
	name  string
	apply func(e *leverengine.Engine, s *sender)
	// states is set if the upstreams state their load.
	states bool
}

func (r *replay) run(p policy, seed uint64, length time.Duration, faulty bool) string {
	w := newWorld(seed, length, faulty)
	w.states = p.states
	list := routes()
	r.results = make(map[string]*result)
	for i := range list {
		r.results[list[i].Name] = &result{}
	}
	engines, senders := make([]*leverengine.Engine, vmCount), make([]*sender, vmCount)
	for i := range engines {
		engines[i], senders[i] = newVM(w, list, i, p)
	}
	random := rand.New(rand.NewPCG(seed, 1000))
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		x, k := random.Float64(), 0
		for x >= shares[k] && k < len(shares)-1 {
			x -= shares[k]
			k++
		}
		r.group.Add(1)
		go r.runRequest(engines[random.IntN(vmCount)], &list[k], leverid.RequestID(fmt.Sprint(n)))
		time.Sleep(time.Duration(random.ExpFloat64() / *replayRate * float64(time.Second)))
	}
	r.group.Wait()
	time.Sleep(10 * time.Second)
	sent, remote := 0, 0
	for _, s := range senders {
		sent, remote = sent+s.sent, remote+s.remote
	}
	out := ""
	for i := range list {
		x := r.results[list[i].Name]
		out += fmt.Sprintf("%-10s %-7s n %5d  p50 %6.1f  p90 %6.1f  p99 %6.1f  late %4d failed %3d  missing %6d of %7d (%.3f%%)  hedged %6d retried %5d (%.1f%%)  value %.4f  remote %.1f%%\n",
			p.name, list[i].Name, x.requests, x.quantile(0.5), x.quantile(0.9), x.quantile(0.99), x.late, x.failed, x.missing, x.parts, 100*float64(x.missing)/float64(x.parts),
			x.hedged, x.retried, 100*float64(x.hedged+x.retried)/float64(x.parts), x.value/float64(x.requests), 100*float64(remote)/float64(sent))
	}
	return out
}

// TestReplay compares policies on the load of a customer with uneven upstreams, and
// prints what callers see. Compared with the tracker as it was, which hedged all parts at
// fixed times, half of the parts of quick searches may be missing. CI runs it without the
// race detector.
func TestReplay(t *testing.T) {
	if testing.Short() {
		t.Skip("replays many requests")
	}
	for _, faulty := range []bool{false, true} {
		missing := make(map[string]int)
		for _, p := range policies {
			t.Run(fmt.Sprintf("%s faulty %t", p.name, faulty), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var r replay
					t.Log("\n" + r.run(p, *replaySeed, *replayLength, faulty))
					missing[p.name] = r.results["quick"].missing
				})
			})
		}
		t.Run(fmt.Sprintf("halved faulty %t", faulty), func(t *testing.T) {
			const most = 0.5
			if before, ok := missing["tracker"]; ok && float64(missing["cost"]) > most*float64(before) {
				t.Errorf("%d parts missing, at most %.0f%% of %d", missing["cost"], 100*most, before)
			}
		})
	}
}
