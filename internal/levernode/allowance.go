package levernode

import (
	"context"
	"sync"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrelay"
)

// initAllowance creates the part that limits the requests of organisations. The engine
// asks it only if the terms have limits.
func (n *Node) initAllowance() {
	o := n.opts
	f := &allowanceFleet{node: n}
	n.allowance = leverallow.New(leverallow.Options{
		Terms: o.AllowanceTerms, Self: o.Self.ID, Peers: n.controlPeers, Find: n.members.Find, Fleet: f.get,
		Config: func() *leverdirectory.Config { return n.engine.Directory.View().Config },
		Paused: n.pauses.Paused, Timer: n.timer, Log: o.Log.For("allowance"), Metrics: o.Metrics,
	})
	if o.AllowanceTerms.On() {
		n.engine.Allowance = n.allowance
	}
}

func (n *Node) runAllowance(ctx context.Context) {
	if n.opts.AllowanceTerms.On() {
		n.allowance.Run(ctx)
	}
}

// allowanceFleet tells the allowances what the node knows of the VMs. It keeps the rank
// of the live VMs until they change.
type allowanceFleet struct {
	node *Node

	mu     sync.Mutex
	live   []levermsg.VM
	ranked []leverid.VMID
}

func (f *allowanceFleet) get() leverallow.Fleet {
	n := f.node
	list := n.members.List()
	fleet := leverallow.Fleet{Current: n.mirror.Current(), WasListed: n.wasListed.Load(), Ranked: f.rank(), List: vmIDs(list)}
	if indexVM(list, n.opts.Self.ID) >= 0 {
		fleet.Listed = len(list)
	}
	return fleet
}

func (f *allowanceFleet) rank() []leverid.VMID {
	live := f.node.members.Live(f.node.timer.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	// Live returns the same slice until the set changes.
	if len(live) != len(f.live) || len(live) > 0 && &live[0] != &f.live[0] {
		f.live, f.ranked = live, vmIDs(leverrelay.Ranked(live))
	}
	return f.ranked
}

func vmIDs(vms []levermsg.VM) []leverid.VMID {
	ids := make([]leverid.VMID, len(vms))
	for i, vm := range vms {
		ids[i] = vm.ID
	}
	return ids
}
