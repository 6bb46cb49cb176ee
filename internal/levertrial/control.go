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

// Control is what the spread of the configuration costs a fleet that serves no
// requests.
type Control struct {
	VMs, Services int
	// Calls is the store's calls per second by kind.
	Calls map[string]float64
	// Bytes are per VM and second, sent to peers.
	Bytes float64
	// InForce is how long the slowest VM took for a change.
	InForce time.Duration
	// ChangeBytes is what one change adds per VM, in bytes.
	ChangeBytes float64
	// Heap is the process's memory per VM, in bytes.
	Heap float64
	// Connections is the peer connections that one VM opened, on average.
	Connections float64
}

// Line returns the figures as one line of a table.
func (c *Control) Line() string {
	total := 0.0
	for _, n := range c.Calls {
		total += n
	}
	return fmt.Sprintf("%6d %9d %9.2f %9.2f %9.2f %9.0f %9.1f %9.0f %10.0f %12.1f", c.VMs, c.Services, total,
		c.Calls["watch"]+c.Calls["vms"], c.Calls["list"], c.Bytes, c.ChangeBytes, ms(c.InForce), c.Heap/1024, c.Connections)
}

// ControlHeader names the columns of Line.
const ControlHeader = "   VMs  services   calls/s   watch/s    list/s  bytes/s  change B  in force ms  heap KiB  connections"

// Fleet is a deployment of so many services with two leafs each and no app
// besides.
func fleet(services int) levermodel.Deployment {
	d := levermodel.TwNorth()
	d.Apps = []levermodel.App{d.Apps[0]}
	d.Apps[0].Services = services
	return d
}

const (
	controlSpan  = 5 * time.Minute
	changeRounds = 5
)

// MeasureControl runs a fleet without requests. It must be called in virtual
// time.
func MeasureControl(vms, services int, faults leverplatform.Faults, span time.Duration) *Control {
	before := heap()
	s := levertest.NewSystem(levertest.Options{Deployment: fleet(services), VMs: vms, Seed: 1})
	s.Settle()
	time.Sleep(time.Minute)
	s.Platform.SetFaults(faults)
	time.Sleep(time.Second)
	calls, sent := s.Platform.Calls(), sumCounters(s)
	time.Sleep(span)
	c := &Control{VMs: vms, Services: services, Calls: make(map[string]float64)}
	for k, n := range s.Platform.Calls() {
		c.Calls[k] = float64(n-calls[k]) / span.Seconds()
	}
	now := sumCounters(s)
	per := func(name string) float64 { return float64(now[name]-sent[name]) / span.Seconds() / float64(vms) }
	c.Bytes = per("peer-bytes-sent")
	for _, n := range s.Nodes() {
		c.Connections += float64(n.PeerConnections()) / float64(vms)
	}
	c.Heap = (heap() - before) / float64(vms)
	s.Platform.SetFaults(leverplatform.Faults{})
	time.Sleep(10 * time.Second)
	c.changes(s)
	s.Close()
	return c
}

// changes measures patches one after another.
func (c *Control) changes(s *levertest.System) {
	begin := sumCounters(s)["peer-bytes-sent"]
	var span time.Duration
	for i := range changeRounds {
		at := time.Now()
		p := &leverconfig.Patch{
			ID: leverconfig.PatchID(fmt.Sprint("p-", i)), Base: leverid.ConfigVersion(i),
			Merge: json.RawMessage(fmt.Sprintf(`{"services": {"portal-01": {"least-coverage": 0.%d}}}`, i+1)),
		}
		s.Nodes()[0].Submit(context.Background(), p)
		c.InForce = max(c.InForce, c.await(s, leverid.ConfigVersion(i+1), at))
		time.Sleep(time.Second)
		span += time.Since(at)
	}
	all := float64(sumCounters(s)["peer-bytes-sent"]-begin) / float64(c.VMs)
	c.ChangeBytes = max(all-c.Bytes*span.Seconds(), 0) / changeRounds
}

func (c *Control) await(s *levertest.System, v leverid.ConfigVersion, begin time.Time) time.Duration {
	for time.Since(begin) < time.Minute {
		last := true
		for _, n := range s.Nodes() {
			last = last && n.ConfigVersion() >= v
		}
		if last {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
