package leverkernel

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

// statusMessage requests the state of the receiving VM and of the listed VMs.
type statusMessage struct {
	VMs      []levermsg.VM `msgpack:"v"`
	Counters bool          `msgpack:"c"`
}

// Status is the state of a VM.
type Status struct {
	VM       leverid.VMID          `msgpack:"v"`
	Domain   leverid.Domain        `msgpack:"d"`
	Config   leverid.ConfigVersion `msgpack:"c"`
	Ready    bool                  `msgpack:"r"`
	Leaving  bool                  `msgpack:"l"`
	Services int                   `msgpack:"s"`
	InFlight int                   `msgpack:"f"`
	Uptime   time.Duration         `msgpack:"t"`
	Counters map[string]int64      `msgpack:"m"`
}

// statusReply contains the states of the VMs that responded.
type statusReply struct {
	States []Status `msgpack:"s"`
}

const (
	// statusTimeout bounds the collection of the VMs' states.
	statusTimeout = 1500 * time.Millisecond
	// maxDirectRequests is the maximum number of VMs that are queried
	// individually; larger fleets are queried in groups.
	maxDirectRequests = 48
)

// Status returns the state of this VM, with its counters if requested.
func (n *Node) Status(counters bool) Status {
	s := Status{
		VM: n.opts.Self.ID, Domain: n.opts.Self.Domain, Config: n.ConfigVersion(),
		Ready: n.Ready(), Leaving: n.leaving.Load(), Services: n.directory.Services(),
		InFlight: n.engine.InFlight(),
		Uptime:   n.Timer().Now().Sub(n.started),
	}
	if counters {
		s.Counters = n.Counters().Snapshot()
	}
	return s
}

// Fleet requests the state of all VMs. It returns the states of those that
// responded in time and the ids of the others.
func (n *Node) Fleet(ctx context.Context, counters bool) (states []Status, unresponsive []leverid.VMID) {
	all := n.otherVMs()
	r := n.collectStatus(ctx, &statusMessage{VMs: all, Counters: counters})
	for _, vm := range all {
		if !slices.ContainsFunc(r.States, func(s Status) bool { return s.VM == vm.ID }) {
			unresponsive = append(unresponsive, vm.ID)
		}
	}
	return r.States, unresponsive
}

// otherVMs returns the VMs of the platform's list and the live VMs missing from
// it, without this VM.
func (n *Node) otherVMs() []levermsg.VM {
	all := n.Members().List()
	for _, vm := range n.Members().Live(n.Timer().Now()) {
		if !slices.ContainsFunc(all, func(v levermsg.VM) bool { return v.ID == vm.ID }) {
			all = append(all, vm)
		}
	}
	return slices.DeleteFunc(all, func(v levermsg.VM) bool { return v.ID == n.opts.Self.ID })
}

// collectStatus returns the state of this VM and those of the listed VMs. Above
// maxDirectRequests, one VM of each group collects the states of its group.
func (n *Node) collectStatus(ctx context.Context, m *statusMessage) *statusReply {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := &collector{node: n, counters: m.Counters}
	c.reply.States = []Status{n.Status(m.Counters)}
	for group := range slices.Chunk(m.VMs, groupSize(len(m.VMs))) {
		q := &groupQuery{collector: c, group: group}
		c.wg.Add(1)
		go q.run(ctx)
	}
	c.wg.Wait()
	return &c.reply
}

// groupSize returns the number of VMs per group for n VMs. Above
// maxDirectRequests it is their square root, so that the VM that queries the
// groups and those that query their members send about as many requests.
func groupSize(n int) int {
	if n <= maxDirectRequests {
		return 1
	}
	return int(math.Ceil(math.Sqrt(float64(n))))
}

// collector collects the states of several VMs.
type collector struct {
	node     *Node
	counters bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	reply statusReply
}

// groupQuery requests the states of a group from its first VM, or from the next
// one if that VM does not respond.
type groupQuery struct {
	collector *collector
	group     []levermsg.VM
}

func (q *groupQuery) run(ctx context.Context) {
	c := q.collector
	defer c.wg.Done()
	rest := q.group
	for len(rest) > 0 && ctx.Err() == nil {
		first := rest[0]
		rest = rest[1:]
		var r statusReply
		m := statusMessage{VMs: rest, Counters: c.counters}
		// This leaves time to query the next VM of the group after a time-out.
		sub, cancel := context.WithTimeout(ctx, statusTimeout/2)
		err := c.node.node.Peers().Invoke(sub, first, leverpeer.KindStatus, &m, &r)
		cancel()
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.reply.States = append(c.reply.States, r.States...)
		c.mu.Unlock()
		return
	}
}
