package levermember

import (
	"slices"

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

// Owners returns the n best owners of a key, the best first, or all VMs if there are
// fewer.
func Owners(key string, vms []levermsg.VM, n int) []levermsg.VM {
	rest := slices.Clone(vms)
	var owners []levermsg.VM
	for len(owners) < n {
		o, ok := Owner(key, rest)
		if !ok {
			break
		}
		owners = append(owners, o)
		rest = slices.DeleteFunc(rest, func(vm levermsg.VM) bool { return vm.ID == o.ID })
	}
	return owners
}
