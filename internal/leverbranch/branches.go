// Package leverbranch spreads wide fan-outs over several VMs, so that a single
// VM's processor does not bound the response time. Each VM of a team calls the
// upstreams of its parts and returns their merged records. Parts stay with their
// VM, which keeps its connections warm and its measurements current.
package leverbranch

import (
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"
)

const (
	// minFleet is the smallest number of VMs at which fan-outs are spread. In a
	// smaller fleet each VM has enough traffic of its own.
	minFleet = 12
	// callersShare is the combined share of the upstreams' connections and of the
	// slack for extra attempts of the VMs that call upstreams for fan-outs.
	callersShare = 0.75
	// quarantine is how long a VM gets no branches after it failed to accept one or
	// to report in time.
	quarantine = 500 * time.Millisecond
)

// Branches plans and starts branches on other VMs, and runs those of other VMs.
// Its exported fields must be set before its first use. It is safe for concurrent
// use.
type Branches struct {
	Self    levermsg.VM
	Members *levermember.View
	Peers   *leverpeer.Client
	Engine  *leverengine.Engine
	Timer   *levertimer.Service
	Log     leverlog.Logger
	// Stopping reports whether this VM declines branches of other VMs.
	Stopping func() bool
	// Paused reports whether this process was not running for a while until just
	// now. It then declines branches of other VMs, which may be older than they
	// state.
	Paused func() bool

	mu    sync.Mutex
	state planState
	// until holds the end of each VM's quarantine.
	until map[leverid.VMID]time.Time
}

// planState holds the plans for one state of the fleet and of the directory.
type planState struct {
	live []levermsg.VM
	// maxPower is that of the most powerful listed VM, live or not.
	maxPower float64
	view     *leverdirectory.View
	// expires is when the first quarantine ends, or zero.
	expires time.Time
	plans   map[string]plan
	// callers holds the VMs that call upstreams for fan-outs; nil if each VM does.
	callers map[leverid.VMID]bool
}

type plan struct {
	branches []leverengine.Branch
	callers  []levermsg.VM
}

// Plan divides the route's shards over a team of VMs. The result is shared and
// must not be modified.
func (b *Branches) Plan(r *leverdirectory.Route, v *leverdirectory.View) []leverengine.Branch {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(v)
	return b.plan(r).branches
}

// Leads reports whether this VM is strong enough, compared with the others, to
// divide the route's fan-outs itself.
func (b *Branches) Leads(r *leverdirectory.Route, v *leverdirectory.View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(v)
	return len(b.plan(r).branches) > 0 && b.Self.Power >= strongFraction*b.state.maxPower
}

// Connect opens connections to the VMs of the plans, so that the first branches
// need not wait for them.
func (b *Branches) Connect() {
	b.mu.Lock()
	b.refresh(b.Engine.Directory.View())
	var vms []levermsg.VM
	if c := b.state.view.Config; c != nil {
		for i := range c.Routes {
			if b.Self.Power < strongFraction*b.state.maxPower {
				break
			}
			for _, branch := range b.plan(&c.Routes[i]).branches {
				vms = append(vms, branch.VM)
			}
		}
	}
	b.mu.Unlock()
	for _, vm := range vms {
		if !b.Peers.Connected(vm.ID) {
			b.Peers.Connect(vm)
		}
	}
}

// Share returns this VM's share, between 0 and 1, of what the fleet's VMs use
// together for fan-outs. It returns false if fan-outs are not spread.
func (b *Branches) Share() (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(b.Engine.Directory.View())
	s := &b.state
	if s.callers == nil {
		s.callers = make(map[leverid.VMID]bool)
		if s.view.Config != nil {
			for i := range s.view.Config.Routes {
				for _, vm := range b.plan(&s.view.Config.Routes[i]).callers {
					s.callers[vm.ID] = true
				}
			}
		}
	}
	n := float64(len(s.callers))
	switch {
	case n == 0:
		return 0, false
	case s.callers[b.Self.ID]:
		return callersShare / n, true
	}
	return (1 - callersShare) / max(float64(len(s.live))-n, 1), true
}

// ExtraShare returns this VM's share, between 0 and 1, of the slack for extra
// attempts. It depends only on what all VMs have from the store, and not on which
// of them this VM reaches. So VMs that do not reach each other divide the slack in
// the same way. It returns false if fan-outs are not spread.
func (b *Branches) ExtraShare(list []levermsg.VM) (float64, bool) {
	if !b.spreads(list) {
		return 0, false
	}
	strong := strongest(list)
	n := float64(len(strong))
	others := float64(len(list)) - n
	switch {
	case others == 0:
		return 1 / n, true
	case slices.ContainsFunc(strong, func(vm levermsg.VM) bool { return vm.ID == b.Self.ID }):
		return callersShare / n, true
	}
	return (1 - callersShare) / others, true
}

// spreads reports whether the listed VMs spread fan-outs while all of them are
// live.
func (b *Branches) spreads(list []levermsg.VM) bool {
	v := b.Engine.Directory.View()
	if v.Config == nil || len(list) < minFleet {
		return false
	}
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		if len(r.Shards) == 0 || r.RecordBytes == 0 {
			continue
		}
		if t, _ := fastest(b.Self, list, len(r.Shards)); len(t.callers) > 0 {
			return true
		}
	}
	return false
}

// refresh drops the plans if the fleet, the directory or the quarantines have
// changed. The caller holds b.mu.
func (b *Branches) refresh(v *leverdirectory.View) {
	now := b.Timer.Now()
	live := b.Members.Live(now)
	s := &b.state
	// Live returns the same slice until the set changes, so comparing the address
	// of the first element is sufficient.
	same := len(live) == len(s.live) && (len(live) == 0 || &live[0] == &s.live[0])
	if same && v == s.view && s.plans != nil && (s.expires.IsZero() || now.Before(s.expires)) {
		return
	}
	b.state = planState{live: live, view: v, plans: make(map[string]plan)}
	for _, vm := range b.Members.List() {
		b.state.maxPower = max(b.state.maxPower, vm.Power)
	}
	for id, until := range b.until {
		if !now.Before(until) {
			delete(b.until, id)
		} else if b.state.expires.IsZero() || until.Before(b.state.expires) {
			b.state.expires = until
		}
	}
}

// plan returns the plan for a route. The caller holds b.mu.
func (b *Branches) plan(r *leverdirectory.Route) plan {
	s := &b.state
	p, ok := s.plans[r.Name]
	if ok || len(r.Shards) == 0 || r.RecordBytes == 0 || len(s.live) < minFleet {
		return p
	}
	t := chooseTeam(b.Self, b.fleet(r.Shards), len(r.Shards))
	p.callers = t.callers
	for i, parts := range assign(r.Shards, t.vms) {
		if t.vms[i].ID != b.Self.ID && len(parts) > 0 {
			p.branches = append(p.branches, leverengine.Branch{VM: t.vms[i], Parts: parts})
		}
	}
	s.plans[r.Name] = p
	return p
}

// fleet returns the VMs that may run branches of a fan-out over the services.
func (b *Branches) fleet(services []leverid.ServiceID) fleet {
	var f fleet
	for _, s := range services {
		for _, u := range b.state.view.Upstreams(s) {
			if !slices.Contains(f.domains, u.Domain) {
				f.domains = append(f.domains, u.Domain)
			}
		}
	}
	slices.Sort(f.domains)
	var all []levermsg.VM
	for _, vm := range b.state.live {
		if _, ok := b.until[vm.ID]; ok {
			continue
		}
		all = append(all, vm)
		if slices.Contains(f.domains, vm.Domain) {
			f.vms = append(f.vms, vm)
		}
	}
	if len(f.vms) == 0 {
		return fleet{vms: all}
	}
	return f
}

// quarantine keeps a VM out of the plans for a while.
func (b *Branches) quarantine(id leverid.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[leverid.VMID]time.Time)
	}
	b.until[id] = b.Timer.Now().Add(quarantine)
	b.state = planState{}
}
