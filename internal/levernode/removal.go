package levernode

import (
	"context"

	"arbutuslever.dev/lever/internal/leverid"
)

// entryRemoval removes the entries of VMs from the store, one after the other. A VM that is
// still running writes its entry again.
type entryRemoval struct {
	node *Node
	vms  []string
}

func (r *entryRemoval) run(ctx context.Context) {
	for _, vm := range r.vms {
		err := r.node.opts.Store.Deregister(ctx, leverid.VMID(vm))
		r.node.log.Info("requested the removal of the entry of a VM that is gone", "vm", vm, "silent-for", r.node.members.DownFor(leverid.VMID(vm), r.node.timer.Now()), "err", err)
		if !r.node.timer.Sleep(ctx, r.node.recordPause()) {
			return
		}
	}
}
