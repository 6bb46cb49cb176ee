// Package levermember is one VM's view of the other VMs: the platform's list,
// corrected by what the VM has seen itself. It does no I/O.
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
	// firstDoubt is how long after a failure a peer is asked again. It doubles
	// with each further one up to maxDoubt, so that a dead VM that stays in the
	// list is asked seldom, and a live one is back soon.
	firstDoubt = 500 * time.Millisecond
	maxDoubt   = 8 * time.Second
	// leaveLife is how long a peer's own word that it leaves counts.
	leaveLife = 60 * time.Second
	// strangerLife is how long a VM that spoke to us but is missing from the
	// list counts as live.
	strangerLife = 5 * time.Second
)

type evidence struct {
	failures   int
	probeAt    time.Time
	leaveUntil time.Time
}

type stranger struct {
	vm    levermsg.VM
	until time.Time
}

// View is safe for concurrent use. The zero value has an empty list.
type View struct {
	mu        sync.Mutex
	self      levermsg.VM
	list      []levermsg.VM
	evidence  map[leverid.VMID]*evidence
	strangers map[leverid.VMID]stranger
	cached    []levermsg.VM
	// cachedTo is when the cached list is worked out anew without a change.
	cachedTo time.Time
}

// NewView returns a view that always contains self while it is not leaving.
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

// LeaveSelf takes the VM itself out of its own view.
func (v *View) LeaveSelf() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = levermsg.Leaving
	v.cached = nil
}

// SetList installs the platform's list. It reports whether the list differs
// from the one before.
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

// List returns the platform's list as it was last installed.
func (v *View) List() []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}

func byID(a, b levermsg.VM) int { return cmp.Compare(a.ID, b.ID) }

// Failed takes in that a peer did not answer. The peer counts as down until it
// speaks again. Failed reports whether the peer counted as live until now.
func (v *View) Failed(id leverid.VMID, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.of(id)
	if now.Before(e.probeAt) {
		return false
	}
	first := e.failures == 0
	e.probeAt = now.Add(min(firstDoubt<<min(e.failures, 6), maxDoubt))
	e.failures++
	v.cached = nil
	return first
}

// Probes returns the peers that count as down and are due to be asked whether
// they answer again. No request is sent to them before they do.
func (v *View) Probes(now time.Time) []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []levermsg.VM
	for _, m := range v.list {
		e := v.evidence[m.ID]
		if e != nil && e.failures > 0 && !now.Before(e.probeAt) {
			due = append(due, m)
		}
	}
	return due
}

// Answered takes in that a peer spoke. It reports whether the peer had counted
// as down.
func (v *View) Answered(id leverid.VMID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.evidence[id]
	if e == nil || e.failures == 0 {
		return false
	}
	e.failures = 0
	e.probeAt = time.Time{}
	v.cached = nil
	return true
}

// Left takes in a peer's own word that it is leaving. It reports whether that
// is news.
func (v *View) Left(id leverid.VMID, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.of(id)
	news := !now.Before(e.leaveUntil)
	e.leaveUntil = now.Add(leaveLife)
	v.cached = nil
	return news
}

// Stays takes in a peer's word that it is not leaving: it was started anew.
func (v *View) Stays(id leverid.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.evidence[id]
	if e == nil || e.leaveUntil.IsZero() {
		return
	}
	e.leaveUntil = time.Time{}
	v.cached = nil
}

// Met takes in that a VM spoke to us; if the list lacks it, it counts as live
// for some seconds.
func (v *View) Met(vm levermsg.VM, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vm.ID == v.self.ID || v.listed(vm.ID) {
		return
	}
	if v.strangers == nil {
		v.strangers = make(map[leverid.VMID]stranger)
	}
	vm.State = levermsg.Live
	_, known := v.strangers[vm.ID]
	v.strangers[vm.ID] = stranger{vm, now.Add(strangerLife)}
	if !known {
		v.cached = nil
	}
}

func (v *View) listed(id leverid.VMID) bool {
	_, ok := slices.BinarySearchFunc(v.list, levermsg.VM{ID: id}, byID)
	return ok
}

func (v *View) of(id leverid.VMID) *evidence {
	if v.evidence == nil {
		v.evidence = make(map[leverid.VMID]*evidence)
	}
	e := v.evidence[id]
	if e == nil {
		e = &evidence{}
		v.evidence[id] = e
	}
	return e
}

// cacheTime bounds how late the lapse of a peer's word, or of a VM that is not
// listed, may show.
const cacheTime = 500 * time.Millisecond

// Live returns the VMs that can be given work, in order of their ids. The
// result is shared and must not be changed; the same slice is returned until
// something changes.
func (v *View) Live(now time.Time) []levermsg.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cached != nil && now.Before(v.cachedTo) {
		return v.cached
	}
	v.cachedTo = now.Add(cacheTime)
	if fresh := v.compute(now); v.cached == nil || !slices.Equal(fresh, v.cached) {
		v.cached = fresh
	}
	return v.cached
}

func (v *View) compute(now time.Time) []levermsg.VM {
	live := make([]levermsg.VM, 0, len(v.list)+1)
	selfSeen := false
	for _, m := range v.list {
		if m.ID == v.self.ID {
			selfSeen = true
			m = v.self
		}
		if m.State == levermsg.Live && v.trusted(m.ID, now) {
			live = append(live, m)
		}
	}
	if !selfSeen && v.self.ID != "" && v.self.State == levermsg.Live {
		live = append(live, v.self)
	}
	for id, s := range v.strangers {
		if now.After(s.until) || v.listed(id) {
			delete(v.strangers, id)
			continue
		}
		if v.trusted(id, now) {
			live = append(live, s.vm)
		}
	}
	slices.SortFunc(live, byID)
	return live
}

func (v *View) trusted(id leverid.VMID, now time.Time) bool {
	e := v.evidence[id]
	return e == nil || (e.failures == 0 && !now.Before(e.leaveUntil))
}

// Find returns the entry of a VM in the list or among the VMs met.
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
	s, ok := v.strangers[id]
	return s.vm, ok
}
