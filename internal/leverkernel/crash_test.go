package leverkernel_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/matryer/is"
)

// crashes returns the number of crashes of a service's upstreams.
func crashes(s *levertest.System, id leverid.ServiceID) (n int) {
	for _, u := range s.Index(id).Upstreams {
		n += s.UpstreamSet.Model(u.ID).Crashes()
	}
	return n
}

const poison = `{"poison": true}`

// TestCrashingRequest sends a request that crashes upstreams and resends it 20
// times through all VMs, including one that is started later. Only the first
// fan-out and two more upstreams may crash.
func TestCrashingRequest(t *testing.T) {
	cases := map[string]struct {
		service leverid.ServiceID
		first   int
		gap     time.Duration
		retry   bool
	}{
		"five shards, quick resends": {certificate, 5, 0, false},
		"five shards, slow resends":  {certificate, 5, 3 * time.Second, false},
		"two shards":                 {"portal", 2, 100 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				for i := range 21 {
					n := s.Nodes()[i%len(s.Nodes())]
					if i == 10 {
						n = s.AddVM()
						time.Sleep(2 * time.Second)
					}
					id := leverid.RequestID(fmt.Sprint("poison-", i))
					x := s.Send(n, levertest.CallerRequest{Service: c.service, ID: id, Deadline: time.Second, Body: poison})
					is.True(x.Answer == nil)
					time.Sleep(c.gap)
				}
				is.True(crashes(s, c.service) <= c.first+2) // the target: two more than the first fan-out
			})
		})
	}
}

// TestInnocentRequests crashes upstreams under load although no request causes
// it. No request may be refused as a suspected cause.
func TestInnocentRequests(t *testing.T) {
	cases := map[string]func(s *levertest.System){
		"one upstream crashes": func(s *levertest.System) { s.UpstreamSet.Model(s.Index(certificate).Upstreams[0].ID).Crash() },
		"one replica of each shard crashes": func(s *levertest.System) {
			for _, sh := range s.Index(certificate).Newest().Shards {
				s.UpstreamSet.Model(sh.Replicas[0]).Crash()
			}
		},
		"crashes one after another": func(s *levertest.System) {
			for _, u := range s.Index(certificate).Upstreams {
				s.UpstreamSet.Model(u.ID).Crash()
				time.Sleep(300 * time.Millisecond)
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				popular := load(certificate, "popular", 6)
				popular.Body = `{"query": "the same"}`
				during(s, func() { time.Sleep(2 * time.Second); fault(s) }, load(certificate, "q", 6), popular)
				refused := make(map[string]int)
				for _, x := range s.History.Exchanges() {
					if x.Problem != nil && x.Problem.Reason() != "incomplete" {
						refused[x.Problem.Reason()]++
					}
				}
				is.Equal(refused, map[string]int{})
			})
		})
	}
}
