package levernode

import (
	"context"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdelegate"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// shareLease is how long this VM's share of the budget for extra attempts is valid
// without a path to the store. Other VMs learn of a change of the list in less time.
const shareLease = 4 * time.Second

// extraShare is this VM's share of the budget's slack by a list of VMs and a
// configuration.
type extraShare struct {
	list   []levermsg.VM
	config *leverdirectory.Config
	// share is 0 if the VM is not listed.
	share float64
	// founding is whether the list shows that the whole fleet has started together.
	founding bool
}

// runShares periodically renews this VM's share of the fleet's budget for extra
// attempts, and connects it to the VMs that run its branches.
func (n *Node) runShares(ctx context.Context) {
	var s extraShare
	for {
		n.renewShare(&s)
		n.branches.Connect()
		if !n.timer.Sleep(ctx, probeInterval) {
			return
		}
	}
}

// renewShare sets this VM's share of the budget as long as it has a path to the store
// and its own entry is listed. Otherwise the number of VMs may have grown without its
// knowledge, or the others may not count this one.
func (n *Node) renewShare(s *extraShare) {
	if !n.mirror.Current() {
		return
	}
	list, config := n.members.List(), n.engine.Directory.View().Config
	if !slices.Equal(list, s.list) || config != s.config {
		*s = extraShare{list, config, n.computeShare(list), isFounding(list, n.opts.Self.ID)}
	}
	n.coldShares.Renew(list, s.founding && n.isNew.Load(), n.timer.Now())
	if s.share > 0 {
		n.budget.SetFounding(s.founding && n.isNew.Load())
		n.budget.SetShare(s.share, n.timer.Now())
	}
}

// computeShare returns this VM's share by the list, or 0 if it is not listed.
func (n *Node) computeShare(list []levermsg.VM) float64 {
	self := n.opts.Self.ID
	if indexVM(list, self) < 0 {
		return 0
	}
	if share, spread := n.branches.ExtraShare(list); spread {
		return share
	}
	return leverdelegate.ExtraShare(self, list)
}

// isFounding reports whether no VM has been listed for a lease longer than this one, by
// what their entries say. Clocks that differ make it false, or true only for a VM whose
// clock is behind by as long as the fleet has been running.
func isFounding(list []levermsg.VM, self leverid.VMID) bool {
	i := indexVM(list, self)
	if i < 0 {
		return false
	}
	earliest := list[i].Since - int64(shareLease/time.Second)
	return !slices.ContainsFunc(list, func(vm levermsg.VM) bool { return vm.Since == 0 || vm.Since < earliest })
}
