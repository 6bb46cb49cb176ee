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

// statusMessage asks a VM for its own state and that of the VMs named.
type statusMessage struct {
	VMs      []levermsg.VM `msgpack:"v"`
	Counters bool          `msgpack:"c"`
}

// Status is the state of one VM.
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

// statusReply holds the states of the VMs that answered.
type statusReply struct {
	States []Status `msgpack:"s"`
}

const (
	statusTime = 1500 * time.Millisecond
	// directAsks is the number of VMs that one VM asks by itself.
	directAsks = 48
)

// Status returns the VM's own state.
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

// Fleet asks all VMs for their state. It returns the states of those that
// answered in time and the names of the others.
func (n *Node) Fleet(ctx context.Context, counters bool) (states []Status, silent []leverid.VMID) {
	all := n.known()
	r := n.gatherStatus(ctx, &statusMessage{VMs: all, Counters: counters})
	for _, vm := range all {
		if !slices.ContainsFunc(r.States, func(s Status) bool { return s.VM == vm.ID }) {
			silent = append(silent, vm.ID)
		}
	}
	return r.States, silent
}

// known returns the VMs of the platform's list and those met besides, without
// this one.
func (n *Node) known() []levermsg.VM {
	all := n.Members().List()
	for _, vm := range n.Members().Live(n.Timer().Now()) {
		if !slices.ContainsFunc(all, func(v levermsg.VM) bool { return v.ID == vm.ID }) {
			all = append(all, vm)
		}
	}
	return slices.DeleteFunc(all, func(v levermsg.VM) bool { return v.ID == n.opts.Self.ID })
}

// gatherStatus adds the states of the VMs named to the own one. Many VMs are
// asked in two steps: one of each group asks the rest of its group.
func (n *Node) gatherStatus(ctx context.Context, m *statusMessage) *statusReply {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	g := &gathering{node: n, counters: m.Counters}
	g.reply.States = []Status{n.Status(m.Counters)}
	for group := range slices.Chunk(m.VMs, groupSize(len(m.VMs))) {
		a := &asker{gathering: g, group: group}
		g.wg.Add(1)
		go a.run(ctx)
	}
	g.wg.Wait()
	return &g.reply
}

func groupSize(n int) int {
	if n <= directAsks {
		return 1
	}
	return int(math.Ceil(math.Sqrt(float64(n))))
}

// gathering collects the states of several VMs.
type gathering struct {
	node     *Node
	counters bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	reply statusReply
}

// asker asks the first VM of a group about the whole group.
type asker struct {
	gathering *gathering
	group     []levermsg.VM
}

func (a *asker) run(ctx context.Context) {
	g := a.gathering
	defer g.wg.Done()
	rest := a.group
	for len(rest) > 0 && ctx.Err() == nil {
		first := rest[0]
		rest = rest[1:]
		var r statusReply
		m := statusMessage{VMs: rest, Counters: g.counters}
		// The second step must answer before the first gives up.
		sub, cancel := context.WithTimeout(ctx, statusTime/2)
		err := g.node.node.Peers().Ask(sub, first, leverpeer.KindStatus, &m, &r)
		cancel()
		if err != nil {
			continue
		}
		g.mu.Lock()
		g.reply.States = append(g.reply.States, r.States...)
		g.mu.Unlock()
		return
	}
}
