package leverkernel_test

import (
	"encoding/json"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/matryer/is"
)

// TestEarlyAnswer slows down both replicas of one shard. By default, the answer
// is complete but late; a service with early answers gets four of five shards.
func TestEarlyAnswer(t *testing.T) {
	cases := map[string]struct {
		merge    string
		complete bool
		refused  bool
		maxTime  time.Duration
	}{
		"wait":                         {`{}`, true, false, time.Second},
		"answer early":                 {`{"on-short": "answer", "answer-after-ms": 100, "least-coverage": 0.8}`, false, false, 110 * time.Millisecond},
		"answer early, all are needed": {`{"on-short": "answer", "answer-after-ms": 100, "least-coverage": 1}`, true, false, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				merge := json.RawMessage(`{"services": {"certificate": ` + c.merge + `}}`)
				is.Equal(submit(s.Nodes()[0], &leverconfig.Patch{ID: "op", Merge: merge}).Verdict, leverconfig.Accepted)
				for _, u := range s.Index(certificate).Newest().Shards[1].Replicas {
					s.UpstreamSet.Model(u).Set(func(b *levermodel.Behaviour) { b.Straggle = 40 })
				}
				x := s.Send(s.Nodes()[0], levertest.CallerRequest{Service: certificate, ID: "q", Deadline: time.Second})
				is.True(x.Answer != nil)
				is.Equal(x.Answer.Coverage.Whole(), c.complete)
				is.True(x.Took <= c.maxTime)
			})
		})
	}
}

// TestDeadlineTooNear checks that a request that cannot be answered in time is
// refused before it is sent to an upstream.
func TestDeadlineTooNear(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Run(load(certificate, "q", 12))
		time.Sleep(time.Second) // requests in flight finish
		runs := len(s.History.Runs())
		for _, n := range s.Nodes() {
			x := s.Send(n, levertest.CallerRequest{
				Service: certificate, ID: leverid.RequestID("near-" + n.Self().ID), Deadline: 3 * time.Millisecond,
			})
			is.True(x.Problem != nil)
			is.Equal(x.Problem.RunState, leverapi.NotRun)
			is.Equal(x.Problem.Reason(), "deadline-too-near")
		}
		is.Equal(len(s.History.Runs()), runs)
	})
}

// TestServiceRemovedAndRestored deletes a service's index and publishes it
// again.
func TestServiceRemovedAndRestored(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		x := s.Index("portal")
		s.Unpublish("portal")
		time.Sleep(maxPropagation)
		for _, n := range s.Nodes() {
			e := s.Send(n, levertest.CallerRequest{Service: "portal", ID: leverid.RequestID("gone-" + n.Self().ID), Deadline: time.Second})
			is.True(e.Problem != nil)
			is.Equal(e.Problem.Reason(), "unknown-service")
		}
		s.Publish(x)
		time.Sleep(maxPropagation)
		for _, n := range s.Nodes() {
			e := s.Send(n, levertest.CallerRequest{Service: "portal", ID: leverid.RequestID("back-" + n.Self().ID), Deadline: time.Second})
			is.True(e.Answer != nil && e.Answer.Coverage.Whole())
		}
	})
}

// TestStaleVMList checks that answers stay complete while the platform's list
// of VMs still contains a VM that was killed.
func TestStaleVMList(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Kill("vm-2")
		time.Sleep(time.Second)
		s.Run(load(certificate, "first", 2)) // homes are reassigned
		before := len(s.History.Exchanges())
		s.Run(load(certificate, "q", 5), load("portal", "p", 5))
		xs := s.History.Exchanges()[before:]
		is.Equal(countComplete(xs), len(xs))
	})
}
