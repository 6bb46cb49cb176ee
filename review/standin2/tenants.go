package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// twoTenants are a tenant with a limit, which sends far less, and one without.
var twoTenants = []standin.Tenant{
	{Name: limitedTenant, APIKeys: []string{"key-limited"}, RatePerS: 100, Burst: 100},
	{Name: "unlimited", APIKeys: []string{"key-unlimited"}},
}

const limitedTenant = "limited"

// quotaBounds are the bounds of the limits.
var quotaBounds = map[string]any{"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20, "strictRevoke": false, "revokeMs": 5000}

// tenantAnswers counts the answers to each tenant by status.
type tenantAnswers map[string]map[int]int

func (t tenantAnswers) share(tenants ...string) float64 {
	served, n := 0, 0
	for _, tenant := range tenants {
		for status, k := range t[tenant] {
			n += k
			if status == http.StatusOK {
				served += k
			}
		}
	}
	return float64(served) / float64(max(n, 1))
}

// starved reports whether the limited tenant is served less than a quarter as often as
// all.
func (t tenantAnswers) starved() bool {
	const quarter = 0.25
	return t.share(limitedTenant) < quarter*t.share(limitedTenant, "unlimited")
}

// String tells the answers by status.
func (t tenantAnswers) String() string {
	return fmt.Sprintf("%.3f of the limited tenant's requests served, %.3f of all; answers by tenant and status: %v",
		t.share(limitedTenant), t.share(limitedTenant, "unlimited"), map[string]map[int]int(t))
}

// runsByTenant returns the number of requests that upstreams have run, by tenant.
func runsByTenant(p *standin.Platform) map[string]int {
	seen, out := make(map[string]bool), make(map[string]int)
	for _, u := range p.Upstreams() {
		for _, a := range u.Runs() {
			if !seen[a.RequestID] {
				seen[a.RequestID] = true
				out[a.Tenant]++
			}
		}
	}
	return out
}

// sendAsTenants sends requests of both tenants to some VMs for a time.
func sendAsTenants(r *review, vms []*vm, length time.Duration) tenantAnswers {
	ids := &atomic.Int64{}
	ids.Store(time.Since(r.started).Milliseconds() * 10)
	until := time.Now().Add(length)
	var wg sync.WaitGroup
	loops := make(map[string][]*loop)
	for _, v := range vms {
		for _, t := range twoTenants {
			l := &loop{caller: newCaller(r, v, ids), pause: usualPause, until: until, call: func(n int) call {
				return call{http.MethodGet, fmt.Sprintf("%s%s-%d-%d", standin.PathAll, t.Name, v.n, n), "", standin.Timeout, t.APIKeys[0]}
			}}
			loops[t.Name] = append(loops[t.Name], l)
			wg.Add(1)
			go l.run(&wg)
		}
	}
	wg.Wait()
	out := make(tenantAnswers)
	for name, list := range loops {
		out[name] = make(map[int]int)
		for _, l := range list {
			for status, n := range l.statuses {
				out[name][status] += n
			}
		}
	}
	return out
}
