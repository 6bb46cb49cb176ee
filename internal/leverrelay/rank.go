package leverrelay

import (
	"cmp"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Ranked returns the live VMs in descending order of power. Ties are broken by a
// hash of the ID, so that all VMs with the same members compute the same order.
func Ranked(live []levermsg.VM) []levermsg.VM {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b levermsg.VM) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(leverid.Hash(string(a.ID)), leverid.Hash(string(b.ID))))
	})
	return ranked
}

// rankedVMs returns the live VMs by rank. The result must not be modified.
func (r *Relay) rankedVMs() []levermsg.VM {
	live := r.Members.Live(r.Timer.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	// Live returns the same slice until the set changes, so comparing the address
	// of the first element is sufficient.
	if len(live) != len(r.live) || len(live) > 0 && &live[0] != &r.live[0] {
		r.live, r.ranked = live, Ranked(live)
	}
	return r.ranked
}

func (r *Relay) rank() int {
	ranked := r.rankedVMs()
	return slices.IndexFunc(ranked, func(vm levermsg.VM) bool { return vm.ID == r.Self })
}

// parents returns the VMs to follow, the best first.
func (r *Relay) parents() []levermsg.VM {
	if r.Members.Len() == 0 {
		return slices.DeleteFunc(slices.Clone(r.Seeds), func(s levermsg.VM) bool { return s.Peer == r.Members.Self().Peer })
	}
	ranked := r.rankedVMs()
	ownRank := slices.IndexFunc(ranked, func(vm levermsg.VM) bool { return vm.ID == r.Self })
	var out []levermsg.VM
	if ownRank >= watchCandidates {
		out = append(out, ranked[(ownRank-watchCandidates)/maxChildren])
	}
	for _, vm := range ranked[:min(watchCandidates, len(ranked))] {
		if vm.ID != r.Self && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// fallbackParents returns other VMs, picked at random, to follow while no parent
// has a path to the store. All VMs that watch the store may be cut off from it
// or from this VM.
func (r *Relay) fallbackParents() []levermsg.VM {
	parents := r.parents()
	var others []levermsg.VM
	for _, vm := range r.Members.Live(r.Timer.Now()) {
		if vm.ID != r.Self && !slices.Contains(parents, vm) {
			others = append(others, vm)
		}
	}
	var out []levermsg.VM
	for range min(fallbackParents, len(others)) {
		i := r.Timer.RandIntN(len(others))
		out = append(out, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return out
}
