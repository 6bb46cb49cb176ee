package leverkernel_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/levertest"

	"github.com/matryer/is"
)

// maxPropagation is the users' target for the time until a change is in force
// on all VMs.
const maxPropagation = 4 * time.Second

// inSystem runs a test in virtual time on a small system with 7 VMs.
func inSystem(t *testing.T, body func(is *is.I, s *levertest.System)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := levertest.NewSystem(levertest.Options{
			Deployment: levermodel.TwNorth().Scaled(1), VMs: 7, Seed: 1,
			Behaviour: levermodel.Behaviour{Sigma: 0.4, Restart: 2 * time.Second}, Backlog: 4,
		})
		s.WaitReady()
		time.Sleep(2 * time.Second)
		defer check(t, s)
		body(is.New(t), s)
	})
}

// check closes a system and checks its history against the rules.
func check(t *testing.T, s *levertest.System) {
	s.Close()
	for _, v := range (leverhistory.Checker{CutsAllowed: true, ModelData: true}).Check(s.History) {
		t.Error(v)
	}
}

func patch(base leverid.ConfigVersion, id string, coverage float64) *leverconfig.Patch {
	merge := fmt.Sprintf(`{"defaults": {"least-coverage": %g}}`, coverage)
	return &leverconfig.Patch{ID: leverconfig.PatchID(id), Base: base, Merge: json.RawMessage(merge)}
}

func submit(n *leverkernel.Node, p *leverconfig.Patch) leverconfig.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return n.Submit(ctx, p)
}

// awaitVersion waits for at most a minute until all nodes have a version. It
// returns the time that this took.
func awaitVersion(nodes []*leverkernel.Node, v leverid.ConfigVersion) time.Duration {
	begin := time.Now()
	for time.Since(begin) < time.Minute {
		all := true
		for _, n := range nodes {
			all = all && n.ConfigVersion() >= v
		}
		if all {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// TestPatchRace submits 20 patches of the same base version concurrently: one
// is accepted, and the others get a conflict.
func TestPatchRace(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		nodes := s.Nodes()
		outs := make([]leverconfig.Outcome, 20)
		var wg sync.WaitGroup
		for i := range outs {
			wg.Go(func() { outs[i] = submit(nodes[i%len(nodes)], patch(0, fmt.Sprint("op-", i), 0.5)) })
		}
		wg.Wait()
		won := 0
		for _, o := range outs {
			if o.Verdict == leverconfig.Accepted {
				won++
				continue
			}
			is.Equal(o.Verdict, leverconfig.Conflict)
			is.Equal(o.Version, leverid.ConfigVersion(1)) // a conflict reports the current version
		}
		is.Equal(won, 1)
		is.True(awaitVersion(nodes, 1) < maxPropagation)
	})
}

// TestPatchSettlesLostReplies loses replies of the store while a patch is
// submitted, then submits the patch again on another VM: it is applied once.
func TestPatchSettlesLostReplies(t *testing.T) {
	cases := map[string]struct {
		faults leverplatform.Faults
		want   leverconfig.Verdict
	}{
		"after the effect":  {leverplatform.Faults{LoseReplies: 1}, leverconfig.Accepted},
		"before the effect": {leverplatform.Faults{LoseRequests: 1}, leverconfig.Accepted},
		"several":           {leverplatform.Faults{LoseReplies: 1, StaleReads: 2}, leverconfig.Accepted},
		"store down":        {leverplatform.Faults{Down: true}, leverconfig.Unavailable},
		"store too slow":    {leverplatform.Faults{Delay: time.Minute}, leverconfig.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				s.Platform.SetFaults(c.faults)
				out := submit(s.Nodes()[0], patch(0, "op", 0.5))
				is.Equal(out.Verdict, c.want)
				s.Platform.SetFaults(leverplatform.Faults{})
				again := submit(s.Nodes()[3], patch(0, "op", 0.5))
				is.Equal(again.Verdict, leverconfig.Accepted) // recognized by its patch id
				is.Equal(again.Version, leverid.ConfigVersion(1))
				is.True(awaitVersion(s.Nodes(), 1) < maxPropagation)
			})
		})
	}
}

// TestPatchUnknown loses the reply to the write and then makes the store
// unavailable. The patch may have been stored, so it must not be reported as
// failed.
func TestPatchUnknown(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Platform.SetFaults(leverplatform.Faults{LoseReplies: 1})
		var out leverconfig.Outcome
		var wg sync.WaitGroup
		wg.Go(func() { out = submit(s.Nodes()[0], patch(0, "op", 0.5)) })
		time.Sleep(5 * time.Millisecond)
		s.Platform.SetFaults(leverplatform.Faults{Down: true})
		wg.Wait()
		is.Equal(out.Verdict, leverconfig.Unknown)
		s.Platform.SetFaults(leverplatform.Faults{})
		is.Equal(submit(s.Nodes()[1], patch(0, "op", 0.5)).Verdict, leverconfig.Accepted)
	})
}

// TestInForceEverywhere checks that a change is in force on all live VMs in
// time despite network cuts, killed VMs and an empty list of VMs.
func TestInForceEverywhere(t *testing.T) {
	cases := map[string]func(s *levertest.System) func(){
		"no fault": func(*levertest.System) func() { return func() {} },
		"one VM cut off from the store": func(s *levertest.System) func() {
			s.Network.Partition("vm-2", "platform")
			return func() {}
		},
		"all but one cut off from the store": func(s *levertest.System) func() {
			for _, n := range s.Nodes()[1:] {
				s.Network.Partition(n.Self().Peer, "platform")
			}
			return func() {}
		},
		"two VMs killed in the middle": func(s *levertest.System) func() {
			return func() {
				s.Kill("vm-3")
				s.Kill("vm-5")
			}
		},
		"the list of VMs is empty": func(s *levertest.System) func() {
			list := s.Nodes()
			s.Platform.SetVMs(nil)
			for _, n := range list {
				n.Members().SetList(nil)
			}
			return func() {}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(is *is.I, s *levertest.System) {
				then := fault(s)
				out := submit(s.Nodes()[0], patch(0, "op", 0.5))
				is.Equal(out.Verdict, leverconfig.Accepted)
				then()
				is.True(awaitVersion(s.Nodes(), 1) < maxPropagation)
			})
		})
	}
}

// TestFrozenVMCatchesUp suspends a VM's network traffic during a change and
// resumes it ten seconds later.
func TestFrozenVMCatchesUp(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Network.Freeze("vm-4")
		is.Equal(submit(s.Nodes()[0], patch(0, "op", 0.5)).Verdict, leverconfig.Accepted)
		time.Sleep(10 * time.Second)
		frozen := s.Nodes()[3]
		is.Equal(frozen.ConfigVersion(), leverid.ConfigVersion(0))
		s.Network.Unfreeze("vm-4")
		is.True(awaitVersion(s.Nodes(), 1) < maxPropagation)
	})
}

// TestStartDuringOutage starts a VM while the store is down. The VM gets the
// last accepted version from its peers and is not ready before that.
func TestStartDuringOutage(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		is.Equal(submit(s.Nodes()[0], patch(0, "op", 0.5)).Verdict, leverconfig.Accepted)
		time.Sleep(time.Second)
		s.Platform.SetFaults(leverplatform.Faults{Down: true})
		n := s.AddVM()
		is.True(!n.Ready())
		time.Sleep(maxPropagation)
		is.True(n.Ready())
		is.Equal(n.ConfigVersion(), leverid.ConfigVersion(1))
	})
}

// TestStartDuringOutageWithoutList starts a VM while the store is down and no
// VM has received the platform's list of VMs.
func TestStartDuringOutageWithoutList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := levertest.NewSystem(levertest.Options{Deployment: levermodel.TwNorth().Scaled(1), VMs: 3, Seed: 1, NoVMList: true})
		defer s.Close()
		s.WaitReady()
		s.Platform.SetFaults(leverplatform.Faults{Down: true})
		n := s.AddVM()
		time.Sleep(maxPropagation)
		is.True(n.Ready())
	})
}

// TestOldReadsNeverRevert checks that no VM reverts to an earlier version if
// the store returns stale values.
func TestOldReadsNeverRevert(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		for v := range leverid.ConfigVersion(3) {
			is.Equal(submit(s.Nodes()[0], patch(v, fmt.Sprint("op-", v), 0.5)).Verdict, leverconfig.Accepted)
		}
		s.Platform.SetFaults(leverplatform.Faults{StaleReads: 1000})
		n := s.AddVM()
		time.Sleep(2 * time.Minute)
		for _, m := range s.Nodes() {
			is.Equal(m.ConfigVersion(), leverid.ConfigVersion(3))
		}
		is.True(n.Ready())
	})
}

// TestNotReadyAlone cuts a VM off from the store and all peers. It must report
// that it is not ready, but still answer the requests that it receives.
func TestNotReadyAlone(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		lone := s.Nodes()[6]
		s.Network.Partition("vm-7", "platform")
		for _, n := range s.Nodes()[:6] {
			s.Network.Partition("vm-7", n.Self().Peer)
		}
		time.Sleep(15 * time.Second)
		is.True(!lone.Ready())
		x := s.Send(lone, levertest.CallerRequest{Service: "certificate", ID: "q", Deadline: 5 * time.Second})
		is.True(x.Answer != nil && x.Answer.Coverage.Whole())
		for _, n := range s.Nodes()[:6] {
			is.True(n.Ready())
		}
	})
}

func TestFleetStatusNamesUnresponsiveVMs(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Network.Freeze("vm-6")
		states, silent := s.Nodes()[0].Fleet(context.Background(), false)
		is.Equal(len(states), 6)
		is.Equal(silent, []leverid.VMID{"vm-6"})
		s.Network.Unfreeze("vm-6")
	})
}

// TestTimelineOrder checks that the event of receiving a message has a greater
// stamp than the event that caused the message.
func TestTimelineOrder(t *testing.T) {
	inSystem(t, func(is *is.I, s *levertest.System) {
		s.Nodes()[0].Leave()
		sent, ok := firstStamp(s.Nodes()[0], leverevent.Stopping)
		is.True(ok)
		for _, n := range s.Nodes()[1:] {
			received, ok := firstStamp(n, leverevent.PeerLeaving)
			is.True(ok)
			is.True(received > sent)
		}
	})
}

func firstStamp(n *leverkernel.Node, k leverevent.Kind) (leverevent.Stamp, bool) {
	for _, e := range n.Events().Since(0) {
		if e.Kind == k {
			return e.Stamp, true
		}
	}
	return 0, false
}
