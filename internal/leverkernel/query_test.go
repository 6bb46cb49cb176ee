package leverkernel_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/matryer/is"
)

const certificate leverid.ServiceID = "certificate"

// countComplete returns the number of exchanges with a complete answer.
func countComplete(xs []leverhistory.Exchange) (n int) {
	for _, x := range xs {
		if x.Answer != nil && x.Answer.Coverage.Whole() {
			n++
		}
	}
	return n
}

// load returns a constant load of 100 queries per second on a service.
func load(s leverid.ServiceID, label string, seconds int) levertest.Load {
	return levertest.Load{
		Service: s, Rank: leverid.Routine, Rate: 100, Deadline: 500 * time.Millisecond,
		Duration: time.Duration(seconds) * time.Second, Label: label,
	}
}

// during runs act while the loads are generated and waits for both.
func during(s *levertest.System, act func(), loads ...levertest.Load) {
	var wg sync.WaitGroup
	wg.Go(act)
	s.Run(loads...)
	wg.Wait()
}

// roll moves a service to the next version with the given number of shards. As
// in a deployment, the upstreams load the version one after another, before or
// after its shard map is published, and unload the previous one later.
func roll(s *levertest.System, id leverid.ServiceID, shards int, publishFirst bool) {
	x := s.Index(id)
	old := x.Newest()
	next := leversnapshot.Map{Version: old.Version + 1}
	for i := range shards {
		next.Shards = append(next.Shards, old.Shards[i%len(old.Shards)])
	}
	x.Maps = append(x.Maps, next)
	if publishFirst {
		s.Publish(x)
	}
	for _, u := range x.Upstreams {
		s.UpstreamSet.Model(u.ID).Set(func(b *levermodel.Behaviour) {
			shardsOf := map[leverid.IndexVersion]int{next.Version: shards}
			for v, n := range b.Shards {
				shardsOf[v] = n
			}
			b.Shards = shardsOf
			b.Newest = next.Version
		})
		time.Sleep(50 * time.Millisecond)
	}
	if !publishFirst {
		s.Publish(x)
	}
	time.Sleep(500 * time.Millisecond)
	for _, u := range x.Upstreams {
		s.UpstreamSet.Model(u.ID).Set(func(b *levermodel.Behaviour) { b.Oldest = next.Version })
		time.Sleep(20 * time.Millisecond)
	}
	x.Maps = x.Maps[len(x.Maps)-1:]
	s.Publish(x)
}

// TestSnapshotsWhileVersionsChange checks that all answers stay complete while
// a service moves to new versions, also with another number of shards.
func TestSnapshotsWhileVersionsChange(t *testing.T) {
	cases := map[string]struct {
		publishFirst bool
		shards       []int
	}{
		"upstreams first":              {false, []int{5, 5, 5}},
		"published first":              {true, []int{5, 5, 5}},
		"repartition, upstreams first": {false, []int{8, 3, 5}},
		"repartition, published first": {
			true, []int{8, 3, 5},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				during(s, func() {
					for _, n := range c.shards {
						time.Sleep(time.Second)
						roll(s, certificate, n, c.publishFirst)
					}
				}, load(certificate, "q", 8))
				xs := s.History.Exchanges()
				is.Equal(countComplete(xs), len(xs)) // no answer is lost to a version change
			})
		})
	}
}

// TestUpstreamSkipsVersion keeps one replica at an old version and moves
// another to a version that is not published yet.
func TestUpstreamSkipsVersion(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		x := s.Index(certificate)
		during(s, func() {
			time.Sleep(time.Second)
			roll(s, certificate, 5, false)
			s.UpstreamSet.Model(x.Upstreams[0].ID).Set(func(b *levermodel.Behaviour) { b.Newest, b.Oldest = 1, 1 })
			s.UpstreamSet.Model(x.Upstreams[3].ID).Set(func(b *levermodel.Behaviour) { b.Newest, b.Oldest = 3, 3 })
		}, load(certificate, "q", 4))
		xs := s.History.Exchanges()
		is.Equal(countComplete(xs), len(xs))
	})
}

// TestPartialAnswersCountAsPartial checks that the coverage lists a shard whose
// upstreams return partial replies as partial, not as covered.
func TestPartialAnswersCountAsPartial(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		for _, u := range s.Index(certificate).Upstreams[:2] {
			s.UpstreamSet.Model(u.ID).Set(func(b *levermodel.Behaviour) { b.Partial = true })
		}
		x := s.Send(s.Nodes()[0], levertest.CallerRequest{Service: certificate, ID: "q", Deadline: time.Second})
		is.Equal(x.Answer.Coverage.Covered, 4)
		is.Equal(x.Answer.Coverage.Partial, []int{0})
	})
}

// TestWrongEchoIsNoAnswer lets upstreams echo a wrong request id. Such replies
// must be rejected and the attempts retried.
func TestWrongEchoIsNoAnswer(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.UpstreamSet.ForEach(func(_ leverid.UpstreamID, m *levermodel.Upstream) {
			m.Set(func(b *levermodel.Behaviour) { b.WrongEcho = 1 })
		})
		s.Run(load(certificate, "q", 2))
		xs := s.History.Exchanges()
		is.True(countComplete(xs) >= len(xs)-2) // the reply to another attempt is rejected
	})
}

// TestCoverageNamesMissing removes both replicas of a shard and checks that the
// coverage lists it as missing.
func TestCoverageNamesMissing(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		for _, u := range s.Index(certificate).Newest().Shards[2].Replicas {
			s.UpstreamSet.Model(u).TakeDown(time.Hour)
		}
		x := s.Send(s.Nodes()[0], levertest.CallerRequest{Service: certificate, ID: "q", Deadline: time.Second})
		is.Equal(x.Answer.Coverage.Missing, []int{2})
		is.Equal(x.Answer.Coverage.Covered, 4)
	})
}

// TestDrainingUpstreamGetsNoWork checks that answers stay complete while an
// upstream drains. The history's rules check that it gets no further requests.
func TestDrainingUpstreamGetsNoWork(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		id := s.Index(certificate).Upstreams[0].ID
		during(s, func() {
			time.Sleep(2 * time.Second)
			s.UpstreamSet.Model(id).Set(func(b *levermodel.Behaviour) { b.Drain = true })
			s.History.AddDrain(leverhistory.Drain{Upstream: id, At: time.Now()})
		}, load(certificate, "q", 8))
		xs := s.History.Exchanges()
		is.Equal(countComplete(xs), len(xs))
	})
}

func once(label string, seconds int) levertest.Load {
	l := load(certificate, label, seconds)
	l.Rate, l.Once = 30, true
	return l
}

// TestAtMostOnce sends requests that are not repeatable during faults of the
// store, the VMs and the upstreams. The history's rules check that none runs
// twice.
func TestAtMostOnce(t *testing.T) {
	cases := map[string]func(s *levertest.System){
		"no fault": func(*levertest.System) {},
		"replies lost": func(s *levertest.System) {
			s.Platform.SetFaults(leverplatform.Faults{LoseReplies: 20, LoseRequests: 5})
		},
		"old reads":   func(s *levertest.System) { s.Platform.SetFaults(leverplatform.Faults{StaleReads: 50}) },
		"store slow":  func(s *levertest.System) { s.Platform.SetFaults(leverplatform.Faults{Delay: 200 * time.Millisecond}) },
		"store down":  func(s *levertest.System) { s.Platform.SetFaults(leverplatform.Faults{Down: true}) },
		"a VM killed": func(s *levertest.System) { s.Kill("vm-2") },
		"a VM blocked for a time": func(s *levertest.System) {
			s.Network.Freeze("vm-3")
			time.Sleep(2 * time.Second)
			s.Network.Unfreeze("vm-3")
		},
		"upstreams crash": func(s *levertest.System) {
			for _, u := range s.Index(certificate).Upstreams[:4] {
				s.UpstreamSet.Model(u.ID).Crash()
			}
		},
		"store down and a VM killed": func(s *levertest.System) {
			s.Platform.SetFaults(leverplatform.Faults{Down: true})
			s.Kill("vm-2")
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				during(s, func() {
					time.Sleep(time.Second)
					fault(s)
					time.Sleep(time.Second)
					s.Platform.SetFaults(leverplatform.Faults{})
				}, once("once", 4))
				is.True(len(s.History.Runs()) > 50)
			})
		})
	}
}

// TestResendRunsOnce sends a request under the same id repeatedly: on all VMs
// concurrently, after a VM was replaced, and during and after a store outage.
// It must run once.
func TestResendRunsOnce(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		ask := levertest.CallerRequest{Service: certificate, ID: "booking", Once: true, Deadline: time.Second}
		var wg sync.WaitGroup
		for _, n := range s.Nodes() {
			wg.Go(func() { s.Send(n, ask) })
		}
		wg.Wait()
		s.Kill("vm-1")
		s.Send(s.AddVM(), ask)
		s.Platform.SetFaults(leverplatform.Faults{Down: true})
		x := s.Send(s.Nodes()[2], ask)
		is.True(x.Answer == nil)
		s.Platform.SetFaults(leverplatform.Faults{})
		for _, n := range s.Nodes() {
			s.Send(n, ask)
		}
		is.Equal(len(s.History.Runs()), 1)
	})
}

// TestNotRunCanBeSentAgain resends a request under the same id after all
// upstreams refused it. Its claim must have been released.
func TestNotRunCanBeSentAgain(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		shed := func(on bool) {
			s.UpstreamSet.ForEach(func(_ leverid.UpstreamID, m *levermodel.Upstream) {
				m.Set(func(b *levermodel.Behaviour) { b.Shed = on })
			})
		}
		ask := levertest.CallerRequest{Service: certificate, ID: "booking", Once: true, Deadline: time.Second}
		shed(true)
		x := s.Send(s.Nodes()[0], ask)
		is.Equal(x.Problem.RunState, leverapi.NotRun)
		shed(false)
		x = s.Send(s.Nodes()[1], ask)
		is.True(x.Answer != nil)
		is.Equal(len(s.History.Runs()), 1)
	})
}

// TestWokenAfterDeadline suspends the entry VM's network traffic between claim
// and send until the deadline has passed. The request must not run afterwards.
func TestWokenAfterDeadline(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Platform.SetFaults(leverplatform.Faults{Delay: 50 * time.Millisecond})
		ask := levertest.CallerRequest{Service: certificate, ID: "booking", Once: true, Deadline: 500 * time.Millisecond}
		var wg sync.WaitGroup
		wg.Go(func() { s.Send(s.Nodes()[0], ask) })
		time.Sleep(60 * time.Millisecond)
		s.Network.Freeze("vm-1")
		time.Sleep(2 * time.Second)
		s.Network.Unfreeze("vm-1")
		wg.Wait()
		time.Sleep(5 * time.Second)
		lateRuns := 0
		for _, r := range s.History.Runs() {
			if r.At.After(s.History.Exchanges()[0].Sent.Add(ask.Deadline)) {
				lateRuns++
			}
		}
		is.Equal(lateRuns, 0)
	})
}

// TestStopsCutNothing replaces every VM under load with planned stops. Each
// request must be answered.
func TestStopsCutNothing(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		during(s, func() {
			for _, n := range s.Nodes() {
				s.AddVM()
				is.NoErr(s.StopVM(n.Self().ID, 500*time.Millisecond))
			}
		}, load(certificate, "q", 10), load("portal", "p", 10), once("once", 10))
		for _, x := range s.History.Exchanges() {
			is.Equal(x.Cut, "")
			is.True(x.Answer != nil)
		}
	})
}

// TestPairsOfFaults combines two faults at a time and checks the history
// against the rules.
func TestPairsOfFaults(t *testing.T) {
	cases := map[string]func(s *levertest.System){
		"store outage and a VM replaced": func(s *levertest.System) {
			s.Platform.SetFaults(leverplatform.Faults{Down: true})
			s.Kill("vm-2")
			s.AddVM()
		},
		"repartition and a straggler": func(s *levertest.System) {
			s.UpstreamSet.Model(s.Index(certificate).Upstreams[0].ID).Set(func(b *levermodel.Behaviour) { b.Straggle = 10 })
			roll(s, certificate, 8, true)
		},
		"a frozen VM and a race of patches": func(s *levertest.System) {
			s.Network.Freeze("vm-2")
			for i := range 5 {
				go submit(s.Nodes()[2+i%3], patch(0, fmt.Sprint("race-", i), 0.5))
			}
			time.Sleep(2 * time.Second)
			s.Network.Unfreeze("vm-2")
		},
		"a flood and a crashing request": func(s *levertest.System) {
			for i := range 5 {
				s.Send(s.Nodes()[i], levertest.CallerRequest{
					Service: certificate, ID: leverid.RequestID(fmt.Sprint("poison-", i)), Deadline: time.Second, Body: poison,
				})
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				flood := load(certificate, "flood", 2)
				flood.Rank, flood.Rate = leverid.Bulk, 3000
				during(s, func() { time.Sleep(time.Second); fault(s) }, load(certificate, "q", 6), once("once", 6), flood)
				is.True(countComplete(s.History.Exchanges()) > 500)
			})
		})
	}
}
