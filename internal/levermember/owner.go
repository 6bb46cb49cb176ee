package levermember

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Owner returns the VM that has the highest hash with a key, so that the loss of
// one VM moves only its own keys. It returns false without VMs.
func Owner(key string, vms []levermsg.VM) (levermsg.VM, bool) {
	var best levermsg.VM
	var most uint64
	for _, vm := range vms {
		if h := leverid.Hash(key, string(vm.ID)); best.ID == "" || h > most {
			best, most = vm, h
		}
	}
	return best, best.ID != ""
}
