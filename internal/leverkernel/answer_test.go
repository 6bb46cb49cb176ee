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

// TestWaitOrAnswer slows both replicas of one shard down: a service that waits
// gets the whole answer late, one that answers early gets four of five shards.
func TestWaitOrAnswer(t *testing.T) {
	cases := map[string]struct {
		merge   string
		whole   bool
		refused bool
		most    time.Duration
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
					s.Fleet.Model(u).Set(func(b *levermodel.Behaviour) { b.Straggle = 40 })
				}
				x := s.Send(s.Nodes()[0], levertest.Ask{Service: certificate, ID: "q", Deadline: time.Second})
				is.True(x.Answer != nil)
				is.Equal(x.Answer.Coverage.Whole(), c.whole)
				is.True(x.Took <= c.most)
			})
		})
	}
}

// TestDeadlineTooNear refuses what can't be answered in time before any
// upstream works on it.
func TestDeadlineTooNear(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Run(load(certificate, "q", 12))
		time.Sleep(time.Second) // what is under way ends
		runs := len(s.History.Runs())
		for _, n := range s.Nodes() {
			x := s.Send(n, levertest.Ask{
				Service: certificate, ID: leverid.RequestID("near-" + n.Self().ID), Deadline: 3 * time.Millisecond,
			})
			is.True(x.Problem != nil)
			is.Equal(x.Problem.RunState, leverapi.NotRun)
			is.Equal(x.Problem.Reason(), "deadline-too-near")
		}
		is.Equal(len(s.History.Runs()), runs)
	})
}

// TestServiceGoesAndComesBack deletes a service's index and publishes it again.
func TestServiceGoesAndComesBack(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		x := s.Index("portal")
		s.Unpublish("portal")
		time.Sleep(inForceBound)
		for _, n := range s.Nodes() {
			e := s.Send(n, levertest.Ask{Service: "portal", ID: leverid.RequestID("gone-" + n.Self().ID), Deadline: time.Second})
			is.True(e.Problem != nil)
			is.Equal(e.Problem.Reason(), "unknown-service")
		}
		s.Publish(x)
		time.Sleep(inForceBound)
		for _, n := range s.Nodes() {
			e := s.Send(n, levertest.Ask{Service: "portal", ID: leverid.RequestID("back-" + n.Self().ID), Deadline: time.Second})
			is.True(e.Answer != nil && e.Answer.Coverage.Whole())
		}
	})
}

// TestListLags lets the platform's list name a dead VM and miss a live one for
// as long as the load goes on.
func TestListLags(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Kill("vm-2")
		time.Sleep(time.Second)
		s.Run(load(certificate, "first", 2)) // homes move
		before := len(s.History.Exchanges())
		s.Run(load(certificate, "q", 5), load("portal", "p", 5))
		xs := s.History.Exchanges()[before:]
		is.Equal(whole(xs), len(xs))
	})
}
