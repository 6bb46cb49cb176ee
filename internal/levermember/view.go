// Package levermember maintains one VM's view of the fleet: the platform's list
// of VMs, corrected by what this VM has observed itself. It does no I/O.
package levermember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// initialProbeDelay is the delay between a peer's first failure and the next
	// probe. Each further failure doubles it up to maxProbeDelay, so that a dead
	// VM that stays in the list is probed rarely and a live one returns to
	// service soon.
	initialProbeDelay = 500 * time.Millisecond
	maxProbeDelay     = 8 * time.Second
	// leavingTTL is how long a peer's report that it is leaving is valid.
	leavingTTL = 60 * time.Second
	// unlistedTTL is how long a VM that contacted this VM but is missing from
	// the list counts as live.
	unlistedTTL = 5 * time.Second
)

// peerState is what this VM has observed of a peer.
type peerState struct {
	// failures is the number of failures since the peer last answered.
	failures int
	// downSince is when the first of these failures was recorded.
	downSince    time.Time
	probeAt      time.Time
	leavingUntil time.Time
}

// unlistedVM is a VM that contacted this VM but is missing from the list.
type unlistedVM struct {
	vm    levermsg.VM
	until time.Time
}

// View is the fleet as this VM sees it. It is safe for concurrent use. The zero
// value has an empty list.
type View struct {
	mu        sync.Mutex
	self      levermsg.VM
	list      []levermsg.VM
	peerState map[leverid.VMID]*peerState
	unlisted  map[leverid.VMID]unlistedVM
	cached    []levermsg.VM
	// cachedUntil is when the cached list is recomputed even without a change.
	cachedUntil time.Time
}

// NewView returns a view that contains self until self is leaving.
func NewView(self levermsg.VM) *View {
	self.State = levermsg.Live
	return &View{self: self}
}

// Self returns the VM's own entry.
func (v *View) Self() levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// MarkSelfLeaving marks this VM as leaving, which removes it from its own view.
func (v *View) MarkSelfLeaving() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = levermsg.Leaving
	v.cached = nil
}

// SetList sets the platform's list. It reports whether the list has changed.
func (v *View) SetList(list []levermsg.VM) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	list = slices.Clone(list)
	slices.SortFunc(list, byID)
	if slices.Equal(list, v.list) {
		return false
	}
	v.list = list
	v.cached = nil
	return true
}

// List returns the platform's list as last set.
func (v *View) List() []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}

// Len returns the length of the platform's list.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.list)
}

func byID(a, b levermsg.VM) int { return cmp.Compare(a.ID, b.ID) }

// MarkDown records that a peer did not answer. The peer counts as down until it
// answers again. Failures before its next probe is due are ignored, so that
// concurrent requests to a dead peer count as one failure. MarkDown reports
// whether the peer was up before.
func (v *View) MarkDown(id leverid.VMID, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.stateOf(id)
	if now.Before(e.probeAt) {
		return false
	}
	wasUp := e.failures == 0
	if wasUp {
		e.downSince = now
	}
	e.probeAt = now.Add(min(initialProbeDelay<<min(e.failures, 6), maxProbeDelay))
	e.failures++
	v.cached = nil
	return wasUp
}

// Probes returns the listed peers that are down and due for a probe. They get no
// requests until they answer.
func (v *View) Probes(now time.Time) []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []levermsg.VM
	for _, m := range v.list {
		e := v.peerState[m.ID]
		if e != nil && e.failures > 0 && !now.Before(e.probeAt) {
			due = append(due, m)
		}
	}
	return due
}

// DownFor returns for how long a peer has not answered, 0 if it is not down.
func (v *View) DownFor(id leverid.VMID, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.peerState[id]
	if e == nil || e.failures == 0 {
		return 0
	}
	return now.Sub(e.downSince)
}

// MarkUp records that a peer sent a frame. It reports whether the peer was
// down before.
func (v *View) MarkUp(id leverid.VMID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.peerState[id]
	if e == nil || e.failures == 0 {
		return false
	}
	e.failures = 0
	e.probeAt = time.Time{}
	v.cached = nil
	return true
}

// MarkLeaving records a peer's report that it is leaving. It reports whether
// that changes the peer's state.
func (v *View) MarkLeaving(id leverid.VMID, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.stateOf(id)
	changed := !now.Before(e.leavingUntil)
	e.leavingUntil = now.Add(leavingTTL)
	v.cached = nil
	return changed
}

// ClearLeaving records a peer's report that it is not leaving, as after a
// restart.
func (v *View) ClearLeaving(id leverid.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.peerState[id]
	if e == nil || e.leavingUntil.IsZero() {
		return
	}
	e.leavingUntil = time.Time{}
	v.cached = nil
}

// MarkSeen records that a VM contacted this VM. If it is missing from the list,
// it counts as live for unlistedTTL.
func (v *View) MarkSeen(vm levermsg.VM, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vm.ID == v.self.ID || v.listed(vm.ID) {
		return
	}
	if v.unlisted == nil {
		v.unlisted = make(map[leverid.VMID]unlistedVM)
	}
	vm.State = levermsg.Live
	_, known := v.unlisted[vm.ID]
	v.unlisted[vm.ID] = unlistedVM{vm, now.Add(unlistedTTL)}
	if !known {
		v.cached = nil
	}
}

func (v *View) listed(id leverid.VMID) bool {
	_, ok := slices.BinarySearchFunc(v.list, levermsg.VM{ID: id}, byID)
	return ok
}

func (v *View) stateOf(id leverid.VMID) *peerState {
	if v.peerState == nil {
		v.peerState = make(map[leverid.VMID]*peerState)
	}
	e := v.peerState[id]
	if e == nil {
		e = &peerState{}
		v.peerState[id] = e
	}
	return e
}

// cacheTTL limits the delay until the expiry of a leaving report or of an
// unlisted VM takes effect.
const cacheTTL = 500 * time.Millisecond

// Live returns the VMs that accept work, ordered by ID. The result is shared and
// must not be modified. Repeated calls return the same slice as long as the view
// does not change.
func (v *View) Live(now time.Time) []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cached != nil && now.Before(v.cachedUntil) {
		return v.cached
	}
	v.cachedUntil = now.Add(cacheTTL)
	if fresh := v.compute(now); v.cached == nil || !slices.Equal(fresh, v.cached) {
		v.cached = fresh
	}
	return v.cached
}

func (v *View) compute(now time.Time) []levermsg.VM {
	live := make([]levermsg.VM, 0, len(v.list)+1)
	selfListed := false
	for _, m := range v.list {
		if m.ID == v.self.ID {
			selfListed = true
			m = v.self
		}
		if m.State == levermsg.Live && v.available(m.ID, now) {
			live = append(live, m)
		}
	}
	if !selfListed && v.self.ID != "" && v.self.State == levermsg.Live {
		live = append(live, v.self)
	}
	for id, s := range v.unlisted {
		if now.After(s.until) || v.listed(id) {
			delete(v.unlisted, id)
			continue
		}
		if v.available(id, now) {
			live = append(live, s.vm)
		}
	}
	slices.SortFunc(live, byID)
	return live
}

func (v *View) available(id leverid.VMID, now time.Time) bool {
	e := v.peerState[id]
	return e == nil || (e.failures == 0 && !now.Before(e.leavingUntil))
}

// Find returns the entry of this VM, of a listed VM or of an unlisted one.
func (v *View) Find(id leverid.VMID) (levermsg.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if id == v.self.ID {
		return v.self, true
	}
	i, ok := slices.BinarySearchFunc(v.list, levermsg.VM{ID: id}, byID)
	if ok {
		return v.list[i], true
	}
	s, ok := v.unlisted[id]
	return s.vm, ok
}
