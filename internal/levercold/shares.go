package levercold

import (
	"math"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// window is how long a list of VMs counts after it was replaced: a VM that lost its
	// path to the store may go on by it.
	window = 30 * time.Second
	// pathLease is how long a VM uses its share without a path to the store. It is
	// shorter than window by the 4 s in which all VMs with a path learn of a change.
	pathLease = window - settleTime
	// settleTime is how long a process uses no share after its start: the calls of its
	// predecessor have arrived by then, and all VMs with a path know the list.
	settleTime = 4 * time.Second
	// trimDelay is how much longer a list may count, so that lists that were replaced one
	// after another are dropped at once. Each time, all parts are computed again.
	trimDelay = 10 * time.Second
	// minWeight is the least weight of a VM that states no power, in cores.
	minWeight = 0.1
)

// Shares divides whole requests among the listed VMs in proportion to their power. Its
// fields must be set before the first use. It is safe for concurrent use.
type Shares struct {
	Self leverid.VMID

	mu    sync.Mutex
	lists []listing
	// started is when this process recorded the first list, pathAt when it last had a
	// path to the store.
	started, pathAt time.Time
	// waitUntil is when this VM may use its share, as the others know it by then.
	waitUntil time.Time
	// version changes with lists.
	version uint64
}

// listing is a list of VMs and when another one replaced it, or zero.
type listing struct {
	vms      []levermsg.VM
	replaced time.Time
}

// Renew records the list of VMs as known while this VM has a path to the store.
// founding says that no other VM can have used shares by an earlier list, because the
// fleet has started together.
func (s *Shares) Renew(list []levermsg.VM, founding bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		s.started = now
	}
	if !s.pathAt.IsZero() && now.Sub(s.pathAt) >= pathLease && s.waitUntil.Before(now.Add(settleTime)) {
		// This process was without a path, or frozen, and its list may be outdated.
		s.waitUntil = now.Add(settleTime)
	}
	s.pathAt = now
	i := slices.IndexFunc(list, func(vm levermsg.VM) bool { return vm.ID == s.Self })
	if i < 0 {
		s.waitUntil = now.Add(window)
	} else if s.waitUntil.IsZero() {
		// A VM that has been listed for long was so for its predecessor.
		s.waitUntil = s.started.Add(settleTime)
		if since := now.Sub(time.Unix(list[i].Since, 0)); !founding && since < window {
			s.waitUntil = now.Add(window - max(since, 0))
		}
	}
	if founding && s.waitUntil.After(s.started.Add(settleTime)) && i >= 0 {
		s.waitUntil = s.started.Add(settleTime)
	}
	s.record(list, now)
}

// record adds a list unless it is the current one, and drops those that were replaced
// more than a window ago.
func (s *Shares) record(list []levermsg.VM, now time.Time) {
	n := len(s.lists)
	if n > 0 && slices.Equal(s.lists[n-1].vms, list) {
		if s.lists[0].replaced.IsZero() || now.Sub(s.lists[0].replaced) <= window+trimDelay {
			return
		}
	} else {
		if n > 0 {
			s.lists[n-1].replaced = now
		}
		s.lists = append(s.lists, listing{vms: slices.Clone(list)})
	}
	s.lists = slices.DeleteFunc(s.lists, func(l listing) bool { return !l.replaced.IsZero() && now.Sub(l.replaced) > window })
	s.version++
}

// Version changes when the result of Own may change, except that it may become 0.
func (s *Shares) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Valid reports whether this VM may use its share now.
func (s *Shares) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lists) > 0 && !now.Before(s.waitUntil) && now.Sub(s.pathAt) < pathLease
}

// Own returns how many of total requests this VM may have outstanding at an upstream:
// the least of its parts by all lists of the window. All VMs that use a share know the
// list that was in force at the beginning of the window, and their parts by that list
// add up to total.
func (s *Shares) Own(u leverid.UpstreamID, total int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := total
	for i := range s.lists {
		own = min(own, part(s.lists[i].vms, s.Self, u, total))
	}
	return own
}

// part returns the part of a VM in total requests to an upstream: the whole part by
// weight, and one of the rest for the first VMs by a weighted hash.
func part(list []levermsg.VM, self leverid.VMID, u leverid.UpstreamID, total int) int {
	sum, own := 0.0, 0.0
	for i := range list {
		sum += weight(&list[i])
		if list[i].ID == self {
			own = weight(&list[i])
		}
	}
	if own == 0 {
		return 0
	}
	whole := func(w float64) int { return int(float64(total) * w / sum) }
	rest := total
	score := func(vm *levermsg.VM) float64 {
		h := (float64(leverid.Hash(string(u), string(vm.ID))>>11) + 0.5) / (1 << 53)
		return -math.Log(h) / weight(vm)
	}
	var mine float64
	for i := range list {
		rest -= whole(weight(&list[i]))
		if list[i].ID == self {
			mine = score(&list[i])
		}
	}
	before := 0
	for i := range list {
		if v := score(&list[i]); v < mine || v == mine && list[i].ID < self {
			before++
		}
	}
	if before < rest {
		return whole(own) + 1
	}
	return whole(own)
}

func weight(vm *levermsg.VM) float64 { return max(vm.Power, minWeight) }
