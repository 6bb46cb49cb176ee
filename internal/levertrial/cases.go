package levertrial

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/levertest"
)

const (
	loadDuration = 8 * time.Second
	deadline     = 300 * time.Millisecond
	// meanServiceTime is the mean of the lognormal service time, in seconds: the
	// median of 5 ms times e^(workSigma^2/2).
	meanServiceTime = 0.0054
	// Capacity is the capacity of a service whose shards have 2 replicas with 2
	// slots each, in queries per second.
	Capacity = 2 * 2 / meanServiceTime
)

func steadyLoad(service leverid.ServiceID, r leverid.Rank, fraction float64, label string) levertest.Load {
	return levertest.Load{Service: service, Rank: r, Rate: fraction * Capacity, Deadline: deadline, Duration: loadDuration, Label: label}
}

// normalLoads returns steady load of all ranks on one service, in total less
// than half of its capacity, as in a normal hour.
func normalLoads(service leverid.ServiceID) []levertest.Load {
	return []levertest.Load{
		steadyLoad(service, leverid.Urgent, 0.1, "usual-u"),
		steadyLoad(service, leverid.Routine, 0.2, "usual-r"),
		steadyLoad(service, leverid.Bulk, 0.1, "usual-b"),
	}
}

func floodLoad(service leverid.ServiceID, r leverid.Rank, multiple float64) levertest.Load {
	l := steadyLoad(service, r, multiple, "flood")
	l.Start = time.Second
	l.Duration = loadDuration - time.Second
	return l
}

// firstUpstream returns the model of the first upstream in a service's index,
// which is the first replica of the first shard.
func firstUpstream(s *levertest.System, service leverid.ServiceID) *levermodel.Upstream {
	return s.UpstreamSet.Model(s.Index(service).Upstreams[0].ID)
}

func firstService(d levermodel.Deployment) leverid.ServiceID { return d.Apps[0].ServiceID(1) }

// Cases returns the cases of a deployment.
func Cases(d levermodel.Deployment) []Case {
	s := firstService(d)
	withNormal := func(more ...levertest.Load) []levertest.Load { return append(normalLoads(s), more...) }
	return []Case{
		{Name: "well", Description: "normal load, no fault", Loads: withNormal()},
		{Name: "straggler", Description: "one upstream is 10 times slower", Loads: withNormal(), Fault: func(sys *levertest.System) {
			time.Sleep(2 * time.Second)
			firstUpstream(sys, s).Set(func(b *levermodel.Behaviour) { b.Straggle = 10 })
		}},
		{Name: "replica-lost", Description: "the first replica of each shard is lost", Loads: withNormal(), Fault: func(sys *levertest.System) {
			time.Sleep(2 * time.Second)
			for _, sh := range sys.Index(s).Newest().Shards {
				sys.UpstreamSet.Model(sh.Replicas[0]).TakeDown(time.Hour)
			}
		}},
		{Name: "bulk-flood-10", Description: "bulk at 10 times capacity", Loads: withNormal(floodLoad(s, leverid.Bulk, 10))},
		{Name: "bulk-flood-50", Long: true, Description: "bulk at 50 times capacity", Loads: withNormal(floodLoad(s, leverid.Bulk, 50))},
		{Name: "routine-flood-50", Long: true, Description: "routine at 50 times capacity", Loads: withNormal(floodLoad(s, leverid.Routine, 50))},
		{Name: "urgent-flood-10", Description: "urgent at 10 times capacity", Loads: withNormal(floodLoad(s, leverid.Urgent, 10))},
		{Name: "urgent-flood-50", Long: true, Description: "urgent at 50 times capacity", Loads: withNormal(floodLoad(s, leverid.Urgent, 50))},
		{Name: "other-service", Long: true, Description: "bulk at 50 times capacity on one service, measured on another", Measured: "usual",
			Loads: append(normalLoads(d.Apps[0].ServiceID(2)), floodLoad(s, leverid.Bulk, 50))},
		{Name: "shed-and-back", Description: "all upstreams shed load for two seconds", Loads: withNormal(), FaultEnd: 4 * time.Second, Fault: func(sys *levertest.System) {
			time.Sleep(2 * time.Second)
			sys.UpstreamSet.ForEach(func(_ leverid.UpstreamID, m *levermodel.Upstream) {
				m.Set(func(b *levermodel.Behaviour) { b.Shed = true })
			})
			time.Sleep(2 * time.Second)
			sys.UpstreamSet.ForEach(func(_ leverid.UpstreamID, m *levermodel.Upstream) {
				m.Set(func(b *levermodel.Behaviour) { b.Shed = false })
			})
		}},
		{Name: "vm-killed", Description: "one VM is killed", Loads: withNormal(), CutsAllowed: true, Fault: func(sys *levertest.System) {
			time.Sleep(2 * time.Second)
			sys.Kill(sys.Nodes()[1].Self().ID)
			time.Sleep(2 * time.Second)
			sys.UpdateVMList()
		}},
		{Name: "vms-replaced", Description: "the VMs are stopped and replaced, one at a time", Loads: withNormal(), Fault: func(sys *levertest.System) {
			for _, n := range sys.Nodes() {
				sys.AddVM()
				if err := sys.StopVM(n.Self().ID, 500*time.Millisecond); err != nil {
					panic(err)
				}
			}
		}},
	}
}
