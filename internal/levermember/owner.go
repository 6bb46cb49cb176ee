package levermember

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Owner returns the VM that owns a key, chosen by rendezvous hashing: the loss
// of a VM moves only the keys that it owned. It returns false if vms is empty.
func Owner(key string, vms []levermsg.VM) (levermsg.VM, bool) {
	var best levermsg.VM
	var bestHash uint64
	for _, vm := range vms {
		if h := leverid.Hash(key, string(vm.ID)); best.ID == "" || h > bestHash {
			best, bestHash = vm, h
		}
	}
	return best, best.ID != ""
}
