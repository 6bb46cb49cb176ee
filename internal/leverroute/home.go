// Package leverroute decides which VM is the home of an upstream and which
// replica of a shard an attempt goes to. It does no I/O.
package leverroute

import (
	"cmp"
	"slices"
	"sync"

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

// Router names the VM through which an upstream is called. Implementations are
// safe for concurrent use.
type Router interface {
	// Home returns the VM for a service's upstream in the given failure
	// domain. It returns "" if vms is empty. The same slice of vms means the
	// same VMs.
	Home(s leverid.ServiceID, u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID
}

// Options are what a routing policy may need.
type Options struct {
	// Self is the VM that routes.
	Self leverid.VMID
	// Group is the number of VMs that are homes of one service.
	Group int
}

// Routers holds the routing policies.
var Routers leverplug.Registry[func(o Options) Router]

func init() {
	Routers.Register("homes", func(o Options) Router { return &Groups{Size: o.Group} })
	Routers.Register("direct", func(o Options) Router { return Direct{Self: o.Self} })
}

// near returns the first VM of rendezvous hashing among the VMs of a failure
// domain, or among all VMs if the domain has none.
func near(u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID {
	var best leverid.VMID
	var bestScore uint64
	inDomain := false
	for _, v := range vms {
		if inDomain && v.Domain != d {
			continue
		}
		s := leverid.Hash(string(u), string(v.ID))
		closer := !inDomain && v.Domain == d
		if best == "" || closer || s > bestScore || (s == bestScore && v.ID < best) {
			best, bestScore = v.ID, s
		}
		inDomain = inDomain || closer
	}
	return best
}

// Groups gives each upstream one home. In a fleet of more than Size VMs, the
// homes of one service are Size VMs, so that a query goes out in few messages
// and a VM speaks with few others. The zero value has no groups.
type Groups struct {
	// Size is the number of VMs of a group; 0 is no bound.
	Size int

	mu     sync.Mutex
	vms    []levermsg.VM
	groups map[leverid.ServiceID][]levermsg.VM
}

// Home returns the upstream's home.
func (g *Groups) Home(s leverid.ServiceID, u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID {
	if g.Size > 0 && len(vms) > g.Size {
		vms = g.group(s, vms)
	}
	return near(u, d, vms)
}

// group returns a service's homes: the first by rendezvous hashing in each
// failure domain in turn, so that each domain has its part.
func (g *Groups) group(s leverid.ServiceID, vms []levermsg.VM) []levermsg.VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(vms) != len(g.vms) || &vms[0] != &g.vms[0] {
		g.vms = vms
		g.groups = make(map[leverid.ServiceID][]levermsg.VM)
	}
	if have, ok := g.groups[s]; ok {
		return have
	}
	chosen := choose(s, vms, g.Size)
	g.groups[s] = chosen
	return chosen
}

// choose takes VMs in rendezvous order, one of each failure domain in a round.
func choose(s leverid.ServiceID, vms []levermsg.VM, n int) []levermsg.VM {
	byID := make(map[leverid.VMID]levermsg.VM, len(vms))
	for _, v := range vms {
		byID[v.ID] = v
	}
	rounds := make(map[int][]levermsg.VM)
	seen := make(map[leverid.Domain]int)
	for _, id := range Order(string(s), vms) {
		v := byID[id]
		round := seen[v.Domain]
		seen[v.Domain]++
		rounds[round] = append(rounds[round], v)
	}
	var out []levermsg.VM
	for round := 0; len(out) < n; round++ {
		out = append(out, rounds[round]...)
	}
	return out[:n]
}

// Direct calls every upstream from the entry VM itself.
type Direct struct {
	// Self is the entry VM.
	Self leverid.VMID
}

// Home returns the entry VM itself.
func (r Direct) Home(leverid.ServiceID, leverid.UpstreamID, leverid.Domain, []levermsg.VM) leverid.VMID {
	return r.Self
}
