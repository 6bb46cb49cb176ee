package leverbranch

import (
	"cmp"
	"math"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// callCost is the processor time, in core seconds, that one call of an upstream
	// takes on this VM.
	callCost = 150e-6
	// branchCost is the processor time, in core seconds, that this VM takes for one
	// branch.
	branchCost = 200e-6
	// maxOwnTime is the processing time, in seconds, up to which a VM makes all
	// calls of a fan-out itself.
	maxOwnTime = 5e-3
	// minGain is the smallest factor by which branches must shorten the processing
	// time.
	minGain = 1.5
	// localAllowance is how much longer, in seconds, the processing time of a team
	// within one failure domain may be.
	localAllowance = 8e-3
	// strongFraction is the minimum power of a strong VM, as a fraction of that of
	// the most powerful VM.
	strongFraction = 0.5
	// spareParts is the factor by which a VM may get more parts than its share of
	// the power, so that the loss of a VM moves few parts of the others.
	spareParts = 1.15
)

// team is the VMs that run the branches of a fan-out.
type team struct {
	vms []levermsg.VM
	// callers are all VMs that call upstreams for fan-outs of some VM.
	callers []levermsg.VM
}

// fleet is the live VMs in the failure domains that hold replicas, or all live
// VMs if there are none.
type fleet struct {
	vms []levermsg.VM
	// domains are those of the replicas.
	domains []leverid.Domain
}

// chooseTeam returns the VMs over which self spreads a fan-out. If one failure
// domain has a team that is about as fast as the best one of all domains, it is
// preferred, because calls within a domain cost no traffic between domains: the
// domain of self or, if that has no replicas, one that differs between VMs.
func chooseTeam(self levermsg.VM, f fleet, parts int) team {
	best, bestTime := fastest(self, f.vms, parts)
	if len(best.vms) == 0 || len(f.domains) == 0 {
		return best
	}
	preferred := f.domains[leverid.Hash(string(self.ID))%uint64(len(f.domains))]
	if slices.Contains(f.domains, self.Domain) {
		preferred = self.Domain
	}
	var local team
	var callers []levermsg.VM
	for _, d := range f.domains {
		t, took := fastest(self, slices.DeleteFunc(slices.Clone(f.vms), func(vm levermsg.VM) bool { return vm.Domain != d }), parts)
		if len(t.vms) == 0 || took > bestTime+localAllowance {
			continue
		}
		callers = append(callers, t.callers...)
		if d == preferred {
			local = t
		}
	}
	if len(local.vms) == 0 {
		return best
	}
	return team{vms: local.vms, callers: callers}
}

// fastest returns the team of candidates with the shortest processing time, and
// that time in seconds: with more VMs each makes fewer calls, but a VM that spreads
// a fan-out takes longer to ask them. The team is empty if branches gain too
// little. Only strong VMs are candidates unless there are too few. If there are
// enough for several teams, each VM has one of them.
func fastest(self levermsg.VM, candidates []levermsg.VM, parts int) (team, float64) {
	ranked := strongest(candidates)
	if len(ranked) == 0 {
		return team{}, 0
	}
	alone := float64(parts) * callCost / ranked[0].Power
	if alone <= maxOwnTime {
		return team{}, alone
	}
	size, best, power := 0, alone/minGain, 0.0
	for i, vm := range ranked {
		power += vm.Power
		if t := float64(parts)*callCost/power + float64(i+1)*branchCost/ranked[0].Power; t < best {
			size, best = i+1, t
		}
	}
	if size == 0 {
		return team{}, alone
	}
	teams := max(len(ranked)/size, 1)
	first := int(leverid.Hash("team", string(self.ID))%uint64(teams)) * size
	return team{vms: ranked[first : first+size], callers: ranked[:teams*size]}, best
}

// strongest returns the strong VMs by power, or all VMs if only one is strong.
func strongest(candidates []levermsg.VM) []levermsg.VM {
	ranked := slices.DeleteFunc(slices.Clone(candidates), func(vm levermsg.VM) bool { return vm.Power <= 0 })
	slices.SortFunc(ranked, func(a, b levermsg.VM) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(leverid.Hash(string(a.ID)), leverid.Hash(string(b.ID))))
	})
	strong := 0
	for strong < len(ranked) && ranked[strong].Power >= strongFraction*ranked[0].Power {
		strong++
	}
	if strong < 2 {
		return ranked
	}
	return ranked[:strong]
}

// assign divides the parts among the VMs by power and returns the parts of each.
// A part stays at its VM when others join or leave, as far as the shares allow.
func assign(services []leverid.ServiceID, vms []levermsg.VM) [][]int {
	out := make([][]int, len(vms))
	if len(vms) == 0 {
		return out
	}
	total := 0.0
	for _, vm := range vms {
		total += vm.Power
	}
	room := make([]int, len(vms))
	for i, vm := range vms {
		room[i] = int(math.Ceil(float64(len(services)) * vm.Power / total * spareParts))
	}
	for k, s := range services {
		best, bestScore := -1, math.Inf(-1)
		for i, vm := range vms {
			if len(out[i]) >= room[i] {
				continue
			}
			if score := score(s, vm); score > bestScore {
				best, bestScore = i, score
			}
		}
		out[best] = append(out[best], k)
	}
	return out
}

// score ranks the VMs for a service by weighted rendezvous hashing.
func score(s leverid.ServiceID, vm levermsg.VM) float64 {
	const hashRange = 1 << 53
	u := (float64(leverid.Hash(string(s), string(vm.ID))%hashRange) + 1) / (hashRange + 1)
	return vm.Power / -math.Log(u)
}
