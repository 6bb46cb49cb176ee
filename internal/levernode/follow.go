package levernode

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// feedPace is the pause between two watches.
	feedPace = 300 * time.Millisecond
	// configWait bounds a watch of the configuration. When the store drops its
	// history, a watch may hear nothing until it ends; this one finds out, well
	// within the 3 s in which a change is due, and has the others listed anew.
	configWait = time.Second
	// configGrace is how much longer such a watch may take: a VM that is cut
	// off from the store finds out by it, and another one takes over.
	configGrace = 600 * time.Millisecond
	// lapseHold is how long the entries of upstreams that are missing after an
	// outage are kept; they are back within about two seconds.
	lapseHold = 2200 * time.Millisecond
	// outageDoubt is how long a VM may have been without a way to the store and
	// still take what is missing there for gone at once.
	outageDoubt = 600 * time.Millisecond
	// upstreamsPause bounds the pause between failed reads of the upstreams'
	// entries: with the hold after it, what is gone for good is dropped within
	// the 3 s in which an upstream that leaves must get nothing new.
	upstreamsPause = 350 * time.Millisecond
	// configsPause and vmsPause bound the same pauses for the other collections.
	configsPause = time.Second
	vmsPause     = 3 * time.Second
	// orphanPause, and orphanSpread for each VM of the fleet, bound the pauses
	// of a VM that is not one of those that watch for all: in an outage of the
	// store it asks only to learn that it alone was cut off from the others.
	orphanPause  = 2 * time.Second
	orphanSpread = 40 * time.Millisecond
)

func (n *Node) feeds() {
	o := n.opts
	log := o.Log.For("feed")
	n.configs = &leverfeed.Follower[*leverdirectory.Config]{
		Name: "configuration", Source: o.Store.Configs(), Timer: n.timer, Log: log, Pace: feedPace, Wait: configWait, Grace: configGrace,
		MaxPause: func() time.Duration { return n.maxPause(configsPause) },
		OnLost:   n.relist, OnFailed: n.storeLost, OnBack: n.storeBack, Apply: n.board.SetConfigs,
	}
	n.upstreams = &leverfeed.Follower[leverdirectory.Upstream]{
		Name: "upstreams", Source: o.Store.Upstreams(), Timer: n.timer, Log: log, Pace: feedPace, Hold: lapseHold, Base: n.board.Upstreams,
		Apply: n.board.SetUpstreams, MaxPause: func() time.Duration { return n.maxPause(upstreamsPause) },
	}
	n.vms = &leverfeed.Follower[levermsg.VM]{
		Name: "vms", Source: o.Store.VMs(), Timer: n.timer, Log: log, Pace: feedPace, Apply: n.board.SetVMs,
		MaxPause: func() time.Duration { return n.maxPause(vmsPause) },
	}
}

// maxPause returns the bound of the pauses between failed calls of the store.
func (n *Node) maxPause(watcher time.Duration) time.Duration {
	if n.relay.IsWatcher() {
		return watcher
	}
	return max(orphanPause, time.Duration(len(n.members.List()))*orphanSpread)
}

// changed follows the directory.
func (n *Node) changed(v *leverdirectory.View) {
	n.engine.Changed(v)
	if n.homes != nil {
		n.homes.Retain(v.Known)
	}
}

// relist follows a lost history: the other watches may hear nothing either.
func (n *Node) relist() {
	n.upstreams.Relist()
	n.vms.Relist()
}

func (n *Node) storeLost() {
	n.events.Add(leverevent.StoreDown, string(n.opts.Self.ID), "")
	n.doubt()
}

func (n *Node) storeBack() { n.events.Add(leverevent.StoreUp, string(n.opts.Self.ID), "") }

// doubt follows an outage.
func (n *Node) doubt() {
	n.upstreams.Doubt()
	n.vms.Doubt()
}

// watch watches the store until ctx ends.
func (n *Node) watch(ctx context.Context) {
	if n.relay.Orphaned() > outageDoubt {
		// The store may have been away; a VM that stands by asks sooner.
		n.doubt()
	}
	go n.runConfigs(ctx)
	go n.runVMs(ctx)
	n.upstreams.Run(ctx)
}

func (n *Node) runConfigs(ctx context.Context) { n.configs.Run(ctx) }

func (n *Node) runVMs(ctx context.Context) { n.vms.Run(ctx) }

func (n *Node) storeCurrent() bool { return n.configs.Current() && n.upstreams.Current() }

func (n *Node) takeConfigs(list []*leverdirectory.Config) {
	if n.opts.Compose != nil {
		n.composeConfig(list)
		return
	}
	for _, c := range list {
		if n.engine.Directory.SetConfig(c) {
			n.noteConfig(c)
		}
	}
}

func (n *Node) noteConfig(c *leverdirectory.Config) {
	n.log.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
}

func (n *Node) composeConfig(list []*leverdirectory.Config) {
	c, err := n.opts.Compose(list)
	if err != nil {
		n.log.Error("no configuration can be made of the store's objects; the last one stays", "objects", len(list), "err", err)
		return
	}
	n.engine.Directory.ReplaceConfig(c)
	n.noteConfig(c)
	if n.opts.OnConfig != nil {
		n.opts.OnConfig()
	}
}

func (n *Node) takeVMs(list []levermsg.VM) {
	own := false
	for i := range list {
		list[i].State = cmp.Or(list[i].State, levermsg.Live)
		own = own || list[i].ID == n.opts.Self.ID
	}
	if n.members.SetList(list) {
		n.log.Info("the list of VMs has changed", "vms", len(list))
		n.events.Add(leverevent.ListChanged, strconv.Itoa(len(list)), "")
	}
	if !own && n.registered.Load() && !n.stopping.Load() {
		// Another VM took this one for gone.
		select {
		case n.register <- struct{}{}:
		default:
		}
	}
}
