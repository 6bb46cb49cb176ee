package levernode

import (
	"context"

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
	n.allowance = leverallow.New(leverallow.Options{
		Terms: o.AllowanceTerms, Self: o.Self.ID, Peers: n.controlPeers, Find: n.members.Find, Fleet: n.allowanceFleet,
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

// allowanceFleet returns what this VM knows of the VMs.
func (n *Node) allowanceFleet() leverallow.Fleet {
	list := n.members.List()
	f := leverallow.Fleet{
		Current: n.mirror.Current(), WasListed: n.wasListed.Load(),
		Ranked: vmIDs(leverrelay.Ranked(n.members.Live(n.timer.Now()))), List: vmIDs(list),
	}
	if indexVM(list, n.opts.Self.ID) >= 0 {
		f.Listed = len(list)
	}
	return f
}

func vmIDs(vms []levermsg.VM) []leverid.VMID {
	ids := make([]leverid.VMID, len(vms))
	for i, vm := range vms {
		ids[i] = vm.ID
	}
	return ids
}
