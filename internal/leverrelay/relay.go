package leverrelay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"
)

const (
	// watchers is the number of VMs that watch the store for all: the first of
	// them does, the others as soon as it is not current.
	watchers = 3
	// fan is the most children of one VM in the tree.
	fan = 32
	// tick is how often a VM looks whether it should watch the store itself.
	tick = 150 * time.Millisecond
	// orphanPatience is how long a VM without a current parent waits before it
	// asks the store itself, plus a random part of orphanSpread.
	orphanPatience = 500 * time.Millisecond
	orphanSpread   = 1500 * time.Millisecond
	// bootPatience is how long a VM that has just started waits for its seeds.
	bootPatience = 450 * time.Millisecond
	// retryPause is the pause after a parent could not be followed.
	retryPause = 100 * time.Millisecond
	// detours is the number of other VMs that a VM asks whose parents don't lead
	// to the store, and detourTime how long it follows one of them.
	detours    = 2
	detourTime = 2 * time.Second
	// replyGap is the least time between two updates for one child.
	replyGap = 20 * time.Millisecond
)

// Follow asks a VM for all later updates.
type Follow struct {
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
}

// Relay keeps a VM's board up to date. Its exported fields must be set before
// Run.
type Relay struct {
	Self    leverid.VMID
	Members *levermember.View
	Peers   *leverpeer.Client
	Board   *Board
	Timer   *levertimer.Service
	Log     leverlog.Logger
	// Seeds are VMs known by their address only.
	Seeds []levermsg.VM
	// Watch watches the store itself until ctx ends.
	Watch func(ctx context.Context)
	// StoreCurrent reports whether that watch is in touch with the store.
	StoreCurrent func() bool

	mu sync.Mutex
	// parent is the VM that is followed, parentPath its way to the store.
	parent     leverid.VMID
	parentPath []leverid.VMID
	// orphanSince is since when neither the store nor a current parent is
	// reached.
	orphanSince time.Time
	watching    bool
}

// Run keeps the board up to date until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.orphanSince = r.Timer.Now()
	go r.runChild(ctx)
	begun := r.Timer.Now()
	spread := r.Timer.Jitter(orphanSpread/2, 1)
	every := r.Timer.Every(tick)
	defer every.Stop()
	var stop context.CancelFunc
	for {
		should := r.shouldWatch(r.Timer.Now(), begun, spread)
		if should && stop == nil {
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			r.Log.Info("this VM watches the store", "rank", r.rank())
			go r.runWatch(watch)
		}
		if !should && stop != nil {
			r.Log.Info("this VM leaves the watching to others", "rank", r.rank())
			stop()
			stop = nil
		}
		r.setWatching(stop != nil)
		r.Board.SetPath(r.path(stop != nil))
		select {
		case <-every.C:
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		}
	}
}

func (r *Relay) runWatch(ctx context.Context) { r.Watch(ctx) }

// path returns this VM's way to the store, and notes since when there is none.
func (r *Relay) path(watching bool) []leverid.VMID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var path []leverid.VMID
	switch {
	case watching && r.StoreCurrent():
		path = []leverid.VMID{r.Self}
	case len(r.parentPath) > 0:
		path = append(slices.Clone(r.parentPath), r.Self)
	case r.orphanSince.IsZero():
		r.orphanSince = r.Timer.Now()
	}
	if path != nil {
		r.orphanSince = time.Time{}
	}
	return path
}

// shouldWatch reports whether this VM watches the store itself: it is one of
// the watchers, or it is cut off from them.
func (r *Relay) shouldWatch(now, begun time.Time, spread time.Duration) bool {
	if len(r.Members.List()) == 0 {
		// No other VM is known yet.
		return len(r.Seeds) == 0 || r.isSeed() || now.Sub(begun) > bootPatience
	}
	rank := r.rank()
	if rank == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.parentPath) > 0 {
		return false
	}
	return rank < watchers || !r.orphanSince.IsZero() && now.Sub(r.orphanSince) > orphanPatience+spread
}

func (r *Relay) isSeed() bool {
	self := r.Members.Self().Peer
	return slices.ContainsFunc(r.Seeds, func(s levermsg.VM) bool { return s.Peer == self })
}

// IsWatcher reports whether this VM is one of those that watch the store for all
// or stand by for it.
func (r *Relay) IsWatcher() bool {
	rank := r.rank()
	return rank >= 0 && rank < watchers
}

// Ranked returns the live VMs, the most powerful first, in an order that all
// VMs with the same view agree on.
func Ranked(live []levermsg.VM) []levermsg.VM {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b levermsg.VM) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(leverid.Hash(string(a.ID)), leverid.Hash(string(b.ID))))
	})
	return ranked
}

func (r *Relay) rank() int {
	ranked := Ranked(r.Members.Live(r.Timer.Now()))
	return slices.IndexFunc(ranked, func(vm levermsg.VM) bool { return vm.ID == r.Self })
}

// parents returns the VMs to follow, the best first.
func (r *Relay) parents() []levermsg.VM {
	if len(r.Members.List()) == 0 {
		return slices.DeleteFunc(slices.Clone(r.Seeds), func(s levermsg.VM) bool { return s.Peer == r.Members.Self().Peer })
	}
	ranked := Ranked(r.Members.Live(r.Timer.Now()))
	own := slices.IndexFunc(ranked, func(vm levermsg.VM) bool { return vm.ID == r.Self })
	var out []levermsg.VM
	if own >= watchers {
		out = append(out, ranked[(own-watchers)/fan])
	}
	for _, vm := range ranked[:min(watchers, len(ranked))] {
		if vm.ID != r.Self && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// detours returns other VMs, picked at random, to follow while no parent leads to
// the store: the VMs that watch it may all be cut off.
func (r *Relay) detours() []levermsg.VM {
	parents := r.parents()
	var others []levermsg.VM
	for _, vm := range r.Members.Live(r.Timer.Now()) {
		if vm.ID != r.Self && !slices.Contains(parents, vm) {
			others = append(others, vm)
		}
	}
	var out []levermsg.VM
	for range min(detours, len(others)) {
		i := r.Timer.Pick(len(others))
		out = append(out, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return out
}

// runChild follows one parent after the other.
func (r *Relay) runChild(ctx context.Context) {
	last := make(map[leverid.VMID]Follow)
	for ctx.Err() == nil {
		if r.leads() {
			r.Timer.Sleep(ctx, tick)
			continue
		}
		for _, vm := range append(r.parents(), r.detours()...) {
			f := last[vm.ID]
			r.follow(ctx, vm, &f)
			if len(last) > maxParents {
				clear(last)
			}
			last[vm.ID] = f
			if r.Watches() && r.StoreCurrent() {
				break
			}
		}
		r.Timer.Sleep(ctx, r.Timer.Jitter(retryPause, 0.5))
	}
}

// leads reports whether this VM is the one that watches for all, and is in
// touch with the store. It then needs no parent.
func (r *Relay) leads() bool { return r.rank() == 0 && r.Watches() && r.StoreCurrent() }

// follow takes in a parent's updates until it is lost, is not current, or is
// not the best parent any more.
func (r *Relay) follow(ctx context.Context, vm levermsg.VM, f *Follow) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.setParent("", nil)
	begun := r.Timer.Now()
	call, err := r.Peers.Call(ctx, vm, leverpeer.KindFollow, f)
	if err != nil {
		r.Log.Debug("a parent can't be followed", "parent", vm.ID, "err", err)
		return
	}
	defer call.Close()
	for {
		wait, stop := context.WithTimeout(ctx, parentCheck)
		body, _, err := call.Next(wait)
		quiet := wait.Err() != nil
		stop()
		if err != nil && quiet && ctx.Err() == nil {
			if r.hasPath() && !r.leads() && (r.isParent(vm) || r.Timer.Now().Sub(begun) < detourTime) {
				continue
			}
			return
		}
		if err != nil {
			r.Log.Debug("the parent is lost", "parent", vm.ID, "err", err)
			return
		}
		var u Update
		if err := leverpeer.Decode(body, &u); err != nil {
			r.Log.Error("a parent's update can't be read", "parent", vm.ID, "err", err)
			return
		}
		r.Board.Merge(&u)
		f.Epoch, f.Seq = u.Epoch, u.Seq
		if slices.Contains(u.Path, r.Self) {
			u.Path = nil
		}
		r.setParent(vm.ID, u.Path)
		if len(u.Path) == 0 && !r.isParent(vm) {
			return
		}
	}
}

const (
	// parentCheck is how often a child looks whether it follows the right
	// parent. A parent without a way to the store is left after that time.
	parentCheck = 400 * time.Millisecond
	// maxParents bounds the parents whose state a child remembers.
	maxParents = 16
)

// isParent reports whether vm is the best parent.
func (r *Relay) isParent(vm levermsg.VM) bool {
	parents := r.parents()
	return len(parents) > 0 && parents[0].ID == vm.ID
}

// Watches reports whether this VM watches the store for others.
func (r *Relay) Watches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

func (r *Relay) setWatching(watching bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watching = watching
}

// Orphaned returns for how long neither the store nor a parent that leads to it
// has been reached.
func (r *Relay) Orphaned() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orphanSince.IsZero() {
		return 0
	}
	return r.Timer.Now().Sub(r.orphanSince)
}

// Watchers returns the VMs that watch the store or stand by for it, this one
// excepted.
func (r *Relay) Watchers() []levermsg.VM {
	ranked := Ranked(r.Members.Live(r.Timer.Now()))
	ranked = ranked[:min(watchers, len(ranked))]
	return slices.DeleteFunc(ranked, func(vm levermsg.VM) bool { return vm.ID == r.Self })
}

func (r *Relay) hasPath() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.parentPath) > 0
}

func (r *Relay) setParent(id leverid.VMID, path []leverid.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(path) > 0 && len(r.parentPath) == 0 || len(path) > 0 && id != r.parent {
		r.Log.Info("a parent leads to the store", "parent", id, "watched-by", path[0], "steps", len(path))
	}
	if len(path) == 0 && len(r.parentPath) > 0 {
		r.Log.Info("the parent leads to the store no more", "parent", r.parent)
	}
	r.parent, r.parentPath = id, path
}

// Serve serves one child's request until the child leaves.
func (r *Relay) Serve(req *leverpeer.Request) error {
	var f Follow
	if err := req.Decode(&f); err != nil {
		return err
	}
	for {
		u, changed := r.Board.Since(f.Epoch, f.Seq)
		if err := req.Reply(u, false); err != nil {
			return err
		}
		f.Epoch, f.Seq = u.Epoch, u.Seq
		if !r.Timer.Sleep(req.Ctx, replyGap) {
			return nil
		}
		select {
		case <-changed:
		case <-req.Ctx.Done():
			return nil
		}
	}
}
