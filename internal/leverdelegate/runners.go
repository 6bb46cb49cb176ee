package leverdelegate

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrelay"
)

// runnerShare is the runners' combined share of the upstreams' connections and
// of the slack for extra attempts.
const runnerShare = 0.75

// ExtraShare returns a VM's share, between 0 and 1, of the slack for extra
// attempts. It depends only on the list of VMs, and not on which of them this VM
// reaches, so that VMs that do not reach each other divide the slack in the same
// way.
func ExtraShare(self leverid.VMID, list []levermsg.VM) float64 {
	n := float64(max(len(list), 1))
	if len(list) < minFleet {
		return 1 / n
	}
	ranked := leverrelay.Ranked(list)
	runners := runnersOf(ranked, ranked[0].Power)
	r := float64(len(runners))
	if runners[self] {
		return runnerShare / r
	}
	return (1 - runnerShare) / max(n-r, 1)
}

// runnersOf returns the runners of all failure domains.
func runnersOf(ranked []levermsg.VM, maxPower float64) map[leverid.VMID]bool {
	runners := make(map[leverid.VMID]bool)
	seen := make(map[leverid.Domain]bool)
	for _, vm := range ranked {
		if seen[vm.Domain] {
			continue
		}
		seen[vm.Domain] = true
		for _, r := range chooseRunners(ranked, vm.Domain, maxPower) {
			runners[r.ID] = true
		}
	}
	return runners
}

// strongFraction is the minimum power of a strong VM, as a fraction of that of
// the most powerful VM.
const strongFraction = 0.5

// chooseRunners returns the runners of a failure domain. It prefers strong VMs
// of the domain, then strong VMs of other domains. If no VM is strong, it takes
// the first VMs of the domain.
func chooseRunners(ranked []levermsg.VM, domain leverid.Domain, maxPower float64) []levermsg.VM {
	var own, strong, others []levermsg.VM
	total := 0.0
	for _, vm := range ranked {
		isStrong := vm.Power >= strongFraction*maxPower
		switch {
		case vm.Domain != domain && isStrong:
			others = append(others, vm)
		case vm.Domain == domain && isStrong:
			strong = append(strong, vm)
			fallthrough
		case vm.Domain == domain:
			own = append(own, vm)
			total += vm.Power
		}
	}
	sum := 0.0
	for i, vm := range strong {
		if i >= minRunners && sum >= runnerFraction*total {
			return strong[:i]
		}
		sum += vm.Power
	}
	if len(strong) == 0 && len(others) == 0 {
		return own[:min(minRunners, len(own))]
	}
	return append(strong, others[:min(len(others), max(minRunners-len(strong), 0))]...)
}
