package levernode

import (
	"slices"

	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/levermetric"
)

// EraStore is a Store that tells when it has come back from an older copy.
type EraStore interface {
	// OnEraRise sets the function that is called then.
	OnEraRise(f func(from, to leverfeed.Era))
	// RaiseEra notes an era that another VM has seen.
	RaiseEra(era leverfeed.Era)
	// Era returns the highest era seen, or 0.
	Era() leverfeed.Era
}

// initEra prepares for a store that comes back from an older copy.
func (n *Node) initEra() {
	s, ok := n.opts.Store.(EraStore)
	if !ok {
		return
	}
	s.OnEraRise(n.eraRose)
	n.mirror.OnEra = s.RaiseEra
	n.mirror.OnLostVMs = n.restoreEntries
	if m := n.opts.Metrics; m != nil {
		m.Gauge("store-era", func() float64 { return float64(s.Era().Stated()) })
		m.Gauge("store-items-kept", func() float64 { held, _ := n.mirror.Kept(); return float64(held) })
		m.Gauge("store-items-ignored", func() float64 { _, stale := n.mirror.Kept(); return float64(stale) })
	}
}

// eraRose reads everything again if this VM watches the store.
func (n *Node) eraRose(from, to leverfeed.Era) {
	n.log.Warn("the store has come back from an older copy", "era", to.Stated(), "before", from.Stated(), "watching", n.relay.IsWatching())
	n.opts.Metrics.Add(levermetric.Name("store-returns"), 1)
	n.configs.Relist()
	n.relistOthers()
	if n.archive != nil {
		n.archive.Reread()
	}
}

// restoreEntries makes this VM write its entry again if the store lacks it since an era,
// and, on the VM that watches the store, removes the entries that are back there. It is
// called repeatedly, and acts once for each entry and era.
func (n *Node) restoreEntries(era leverfeed.Era, lost, removed []string) {
	if slices.Contains(lost, string(n.opts.Self.ID)) && n.registered.Load() && !n.stopping.Load() && n.restoredIn.Swap(uint32(era)) < uint32(era) {
		n.log.Info("this VM's entry is missing in the store's copy; writing it again", "era", era.Stated())
		n.opts.Metrics.Add(levermetric.Name("store-entries-written-again"), 1)
		select {
		case n.register <- struct{}{}:
		default:
		}
	}
	if len(removed) == 0 || !n.relay.IsWatching() || n.removedIn.Swap(uint32(era)) >= uint32(era) {
		return
	}
	n.log.Info("the store's copy holds entries of VMs that had been removed; removing them again", "era", era.Stated(), "vms", len(removed))
	n.opts.Metrics.Add(levermetric.Name("store-entries-written-again"), int64(len(removed)))
	r := &entryRemoval{n, removed}
	go r.run(n.ctx)
}
