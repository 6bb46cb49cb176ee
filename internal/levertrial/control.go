package levertrial

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/levertest"
)

// ControlCost is the cost of distributing the configuration in a fleet that
// serves no requests.
type ControlCost struct {
	VMs, Services int
	// Calls is the rate of store calls by kind, in calls per second.
	Calls map[string]float64
	// PeerBytes is the rate at which a VM sends to its peers, in bytes per
	// second.
	PeerBytes float64
	// ApplyLatency is the longest time from the submission of a patch until its
	// version is in force on all VMs.
	ApplyLatency time.Duration
	// ChangeBytes is the additional traffic per VM for one patch, in bytes.
	ChangeBytes float64
	// Heap is the heap and stack memory of the process per VM, in bytes.
	Heap float64
	// Connections is the mean number of peer connections that a VM opened.
	Connections float64
}

// Line returns c as one line of a table. ControlHeader names its columns.
func (c *ControlCost) Line() string {
	total := 0.0
	for _, n := range c.Calls {
		total += n
	}
	return fmt.Sprintf("%6d %9d %9.2f %9.2f %9.2f %9.0f %9.1f %9.0f %10.0f %12.1f", c.VMs, c.Services, total,
		c.Calls["watch"]+c.Calls["vms"], c.Calls["list"], c.PeerBytes, c.ChangeBytes, ms(c.ApplyLatency), c.Heap/1024, c.Connections)
}

// ControlHeader names the columns of Line.
const ControlHeader = "   VMs  services   calls/s   watch/s    list/s  bytes/s  change B  in force ms  heap KiB  connections"

// controlDeployment returns a deployment of one app with the given number of
// services, with two shards of two replicas each.
func controlDeployment(services int) levermodel.Deployment {
	d := levermodel.TwNorth()
	d.Apps = []levermodel.App{d.Apps[0]}
	d.Apps[0].Services = services
	return d
}

const (
	controlSpan = 5 * time.Minute
	changeCount = 5
)

// MeasureControl runs a fleet without requests for span under the given platform
// faults and measures its control traffic. It must be called in virtual time.
func MeasureControl(vms, services int, faults leverplatform.Faults, span time.Duration) *ControlCost {
	before := heapInUse()
	s := levertest.NewSystem(levertest.Options{Deployment: controlDeployment(services), VMs: vms, Seed: 1})
	s.WaitReady()
	time.Sleep(time.Minute)
	s.Platform.SetFaults(faults)
	time.Sleep(time.Second)
	calls, sent := s.Platform.Calls(), sumCounters(s)
	time.Sleep(span)
	c := &ControlCost{VMs: vms, Services: services, Calls: make(map[string]float64)}
	for k, n := range s.Platform.Calls() {
		c.Calls[k] = float64(n-calls[k]) / span.Seconds()
	}
	now := sumCounters(s)
	perVM := func(name string) float64 { return float64(now[name]-sent[name]) / span.Seconds() / float64(vms) }
	c.PeerBytes = perVM("peer-bytes-sent")
	for _, n := range s.Nodes() {
		c.Connections += float64(n.PeerConnections()) / float64(vms)
	}
	c.Heap = (heapInUse() - before) / float64(vms)
	s.Platform.SetFaults(leverplatform.Faults{})
	time.Sleep(10 * time.Second)
	c.measureChanges(s)
	s.Close()
	return c
}

// measureChanges submits patches one after another and sets ApplyLatency and
// ChangeBytes.
func (c *ControlCost) measureChanges(s *levertest.System) {
	before := sumCounters(s)["peer-bytes-sent"]
	var span time.Duration
	for i := range changeCount {
		at := time.Now()
		p := &leverconfig.Patch{
			ID: leverconfig.PatchID(fmt.Sprint("p-", i)), Base: leverid.ConfigVersion(i),
			Merge: json.RawMessage(fmt.Sprintf(`{"services": {"portal-01": {"least-coverage": 0.%d}}}`, i+1)),
		}
		s.Nodes()[0].Submit(context.Background(), p)
		c.ApplyLatency = max(c.ApplyLatency, c.awaitVersion(s, leverid.ConfigVersion(i+1), at))
		time.Sleep(time.Second)
		span += time.Since(at)
	}
	all := float64(sumCounters(s)["peer-bytes-sent"]-before) / float64(c.VMs)
	c.ChangeBytes = max(all-c.PeerBytes*span.Seconds(), 0) / changeCount
}

func (c *ControlCost) awaitVersion(s *levertest.System, v leverid.ConfigVersion, start time.Time) time.Duration {
	for time.Since(start) < time.Minute {
		allApplied := true
		for _, n := range s.Nodes() {
			allApplied = allApplied && n.ConfigVersion() >= v
		}
		if allApplied {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
