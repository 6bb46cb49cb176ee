package leverrelay

import (
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
	// watchCandidates is the number of VMs that may watch the store on behalf of
	// all. The first by rank watches it, the others do while they have no parent
	// with a path to the store.
	watchCandidates = 3
	// maxChildren is the maximum number of VMs assigned to one parent. Watch
	// candidates and VMs that use the parent as a fallback may follow it too.
	maxChildren = 32
	// checkInterval is how often a VM decides whether to watch the store itself.
	checkInterval = 50 * time.Millisecond
	// candidateDelay is how long a watch candidate without a path to the store waits
	// for each candidate before it.
	candidateDelay = 100 * time.Millisecond
	// orphanTimeout is how long another VM without a path to the store waits before it
	// watches the store itself, plus a random part of orphanJitterPerVM for each VM
	// of the fleet, at most maxOrphanJitter. The first one offers itself to the
	// others.
	orphanTimeout     = 300 * time.Millisecond
	orphanJitterPerVM = 10 * time.Millisecond
	maxOrphanJitter   = 3 * time.Second
	// seedTimeout is how long a VM that has just started waits for its seeds
	// before it watches the store itself.
	// It adds a random part of seedJitter, so that many VMs do not read the store at
	// once.
	seedTimeout = 350 * time.Millisecond
	seedJitter  = 200 * time.Millisecond
)

// Relay keeps a VM's copy of the store up to date, by watching the store or by
// following a parent, and serves the VM's children. Its exported fields must be
// set before Run.
type Relay struct {
	Self    leverid.VMID
	Members *levermember.View
	Peers   *leverpeer.Client
	Mirror  *Mirror
	Timer   *levertimer.Service
	Log     leverlog.Logger
	// Seeds are VMs of which only the address is known.
	Seeds []levermsg.VM
	// Watch watches the store itself until ctx ends. It is not called again before it
	// has returned.
	Watch func(ctx context.Context)
	// StoreCurrent reports whether that watch is connected to the store.
	StoreCurrent func() bool
	// OnPath, if set, is called every checkInterval with whether there is a path to the
	// store.
	OnPath func(hasPath bool)

	mu sync.Mutex
	// parent is the VM that is followed, parentPath its path to the store.
	parent     leverid.VMID
	parentPath []leverid.VMID
	// orphanSince is when the path to the store was lost, or zero while there is
	// one.
	orphanSince time.Time
	// outageEnd is when a path was found after the last outage.
	outageEnd time.Time
	watching  bool
	offers    offers
	// ranked is the order of live, the live VMs that it was computed for.
	live, ranked []levermsg.VM
}

// Run keeps the VM's copy of the store up to date until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.orphanSince = r.Timer.Now()
	go r.runFollow(ctx)
	started := r.Timer.Now()
	jitter := float64(r.Timer.Jitter(time.Second/2, 1)) / float64(time.Second)
	ticker := r.Timer.Every(checkInterval)
	defer ticker.Stop()
	var watch storeWatch
	defer watch.stop()
	for {
		want := r.shouldWatch(r.Timer.Now(), started, jitter)
		if want && watch.start(ctx, r.Watch) {
			r.Log.Info("started watching the store", "rank", r.rank())
		}
		if !want && watch.stop() {
			r.Log.Info("stopped watching the store", "rank", r.rank())
		}
		watching := watch.cancel != nil
		r.setWatching(watching)
		r.Mirror.Settle(r.Timer.Now())
		path := r.path(watching)
		r.Mirror.SetPath(path)
		if r.OnPath != nil {
			r.OnPath(len(path) > 0)
		}
		if watching && r.StoreCurrent() && r.rank() >= watchCandidates {
			r.offerPath(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shouldWatch reports whether this VM should watch the store itself. It should
// if it has the first rank, or if it has no parent with a path to the store and
// watches already, or has waited: a candidate for those before it, another VM for
// orphanTimeout and its part, jitter in [0, 1), of the random time after that.
func (r *Relay) shouldWatch(now, started time.Time, jitter float64) bool {
	if r.Members.Len() == 0 {
		// No other VM is known yet.
		return len(r.Seeds) == 0 || r.isSeed() || now.Sub(started) > seedTimeout+time.Duration(jitter*float64(seedJitter))
	}
	rank := r.rank()
	if rank == 0 {
		return true
	}
	patience := time.Duration(rank) * candidateDelay
	if rank >= watchCandidates {
		patience = orphanTimeout + time.Duration(jitter*float64(maxJitter(r.Members.Len())))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.parentPath) > 0 {
		return false
	}
	// A VM that watches for lack of a parent goes on until it has one.
	return r.watching || !r.orphanSince.IsZero() && now.Sub(r.orphanSince) > patience
}

func (r *Relay) isSeed() bool {
	self := r.Members.Self().Peer
	return slices.ContainsFunc(r.Seeds, func(s levermsg.VM) bool { return s.Peer == self })
}

// IsWatchCandidate reports whether this VM is one of those that may watch the
// store on behalf of all.
func (r *Relay) IsWatchCandidate() bool {
	rank := r.rank()
	return rank >= 0 && rank < watchCandidates
}

// IsFirst reports whether the other VMs learn from this one what the store holds: it is a
// watch candidate or, while no VM is known, a seed.
func (r *Relay) IsFirst() bool {
	if r.Members.Len() == 0 {
		return len(r.Seeds) == 0 || r.isSeed()
	}
	return r.IsWatchCandidate()
}

// isParent reports whether vm is the preferred parent.
func (r *Relay) isParent(vm levermsg.VM) bool {
	parents := r.parents()
	return len(parents) > 0 && parents[0].ID == vm.ID
}

// IsWatching reports whether this VM watches the store.
func (r *Relay) IsWatching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

func (r *Relay) setWatching(watching bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watching = watching
}

// WatchCandidates returns the VMs that may watch the store on behalf of all,
// without this VM.
func (r *Relay) WatchCandidates() []levermsg.VM {
	ranked := slices.Clone(r.rankedVMs())
	ranked = ranked[:min(watchCandidates, len(ranked))]
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
		r.Log.Info("parent has a path to the store", "parent", id, "watched-by", path[0], "steps", len(path))
	}
	if len(path) == 0 && len(r.parentPath) > 0 {
		r.Log.Info("no longer following a parent with a path to the store", "parent", r.parent)
	}
	r.parent, r.parentPath = id, path
}
