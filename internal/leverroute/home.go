// Package leverroute decides which VM is the home of an upstream and which
// replica of a shard an attempt goes to. It does no I/O.
package leverroute

import (
	"cmp"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverplug"
)

// Order returns the ids of vms by rendezvous hashing of key, the owner first.
// Two VMs with the same list agree; a list that differs by one VM moves only
// the keys of that VM.
func Order(key string, vms []levermsg.VM) []leverid.VMID {
	type scored struct {
		id    leverid.VMID
		score uint64
	}
	all := make([]scored, len(vms))
	for i, v := range vms {
		all[i] = scored{v.ID, leverid.Hash(key, string(v.ID))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]leverid.VMID, len(all))
	for i, s := range all {
		ids[i] = s.id
	}
	return ids
}

// Owner returns the first VM of Order, or "" if there are no VMs. It does not
// sort, so it is cheap enough for each request.
func Owner(key string, vms []levermsg.VM) leverid.VMID {
	var best leverid.VMID
	var bestScore uint64
	for _, v := range vms {
		s := leverid.Hash(key, string(v.ID))
		if best == "" || s > bestScore || (s == bestScore && v.ID < best) {
			best, bestScore = v.ID, s
		}
	}
	return best
}

// Router names the VM through which an upstream is called.
type Router interface {
	// Home returns the VM for the upstream in the given failure domain. It
	// returns "" if vms is empty.
	Home(u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID
}

// Routers holds the routing policies. A factory takes the VM's own id.
var Routers leverplug.Registry[func(self leverid.VMID) Router]

func init() {
	Routers.Register("homes", func(leverid.VMID) Router { return Homes{} })
	Routers.Register("direct", func(self leverid.VMID) Router { return Direct{Self: self} })
}

// Homes gives each upstream one home among the VMs of its failure domain, or
// among all VMs if its domain has none.
type Homes struct{}

// Home returns the upstream's home.
func (Homes) Home(u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID {
	var best leverid.VMID
	var bestScore uint64
	near := false
	for _, v := range vms {
		if near && v.Domain != d {
			continue
		}
		s := leverid.Hash(string(u), string(v.ID))
		closer := !near && v.Domain == d
		if best == "" || closer || s > bestScore || (s == bestScore && v.ID < best) {
			best, bestScore = v.ID, s
		}
		near = near || closer
	}
	return best
}

// Direct calls every upstream from the entry VM itself.
type Direct struct {
	// Self is the entry VM.
	Self leverid.VMID
}

// Home returns the entry VM itself.
func (r Direct) Home(leverid.UpstreamID, leverid.Domain, []levermsg.VM) leverid.VMID {
	return r.Self
}
