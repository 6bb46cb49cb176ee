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
	// watchInterval is the pause between two watches of a collection.
	watchInterval = 300 * time.Millisecond
	// configWatchTimeout limits a watch of the configuration. If the store drops
	// its history, a watch may receive nothing until it ends. This watch detects
	// the loss well within the 3 s in which a change must be in force, and
	// triggers a new listing of the other collections.
	configWatchTimeout = time.Second
	// configWatchGrace is the extra time allowed for such a watch to return.
	// When it is exceeded, a VM that is cut off from the store detects that,
	// and another VM takes over.
	configWatchGrace = 600 * time.Millisecond
	// missingRetention is how long upstreams that are missing after an outage
	// keep their entries. They register again within about two seconds.
	missingRetention = 2200 * time.Millisecond
	// outageThreshold is how long a VM may have had no path to the store and
	// still treat missing objects as deleted at once.
	outageThreshold = 600 * time.Millisecond
	// maxUpstreamsRetry limits the pause between failed reads of the upstreams'
	// entries. Together with missingRetention it keeps the removal of an
	// upstream that is gone within the 3 s in which a leaving upstream must
	// stop receiving new work.
	maxUpstreamsRetry = 350 * time.Millisecond
	// maxConfigsRetry and maxVMsRetry limit the same pauses for the other
	// collections.
	maxConfigsRetry = time.Second
	maxVMsRetry     = 3 * time.Second
	// minFollowerRetry and followerRetryPerVM, multiplied by the number of VMs,
	// limit the pauses of a VM that does not watch the store for the others; the
	// larger one applies. During a store outage such a VM polls only to detect
	// that it alone is cut off from the other VMs.
	minFollowerRetry   = 2 * time.Second
	followerRetryPerVM = 40 * time.Millisecond
)

func (n *Node) initFeeds() {
	o := n.opts
	log := o.Log.For("feed")
	n.configs = &leverfeed.Follower[*leverdirectory.Config]{
		Name: "configuration", Source: o.Store.Configs(), Timer: n.timer, Log: log, Pause: watchInterval, WatchWait: configWatchTimeout, WatchGrace: configWatchGrace,
		MaxBackoff:    func() time.Duration { return n.maxRetryPause(maxConfigsRetry) },
		OnHistoryLost: n.relistOthers, OnDisconnect: n.storeLost, OnReconnect: n.storeBack, Apply: n.mirror.SetConfigs,
	}
	n.upstreams = &leverfeed.Follower[leverdirectory.Upstream]{
		Name: "upstreams", Source: o.Store.Upstreams(), Timer: n.timer, Log: log, Pause: watchInterval, Hold: missingRetention, Base: n.mirror.Upstreams,
		Apply: n.mirror.SetUpstreams, MaxBackoff: func() time.Duration { return n.maxRetryPause(maxUpstreamsRetry) },
	}
	n.vms = &leverfeed.Follower[levermsg.VM]{
		Name: "vms", Source: o.Store.VMs(), Timer: n.timer, Log: log, Pause: watchInterval, Apply: n.mirror.SetVMs,
		MaxBackoff: func() time.Duration { return n.maxRetryPause(maxVMsRetry) },
	}
}

// maxRetryPause returns the maximum pause between failed calls to the store.
// watcherMax is the maximum for a VM that watches the store for the others.
func (n *Node) maxRetryPause(watcherMax time.Duration) time.Duration {
	if n.relay.IsWatchCandidate() {
		return watcherMax
	}
	return max(minFollowerRetry, time.Duration(len(n.members.List()))*followerRetryPerVM)
}

// directoryChanged applies a new view of the directory.
func (n *Node) directoryChanged(v *leverdirectory.View) {
	n.engine.DirectoryChanged(v)
	if n.homes != nil {
		n.homes.Retain(v.Contains)
	}
}

// relistOthers lists the other collections again after the configuration's
// history was lost, because their watches may not receive changes either.
func (n *Node) relistOthers() {
	n.upstreams.Relist()
	n.vms.Relist()
}

func (n *Node) storeLost() {
	n.events.Add(leverevent.StoreDown, string(n.opts.Self.ID), "")
	n.suspectOutage()
}

func (n *Node) storeBack() { n.events.Add(leverevent.StoreUp, string(n.opts.Self.ID), "") }

// suspectOutage makes the upstreams and the VMs be listed again, with missing
// objects treated as after an outage of the store.
func (n *Node) suspectOutage() {
	n.upstreams.AssumeOutage()
	n.vms.AssumeOutage()
}

// watchStore watches the store until ctx ends.
func (n *Node) watchStore(ctx context.Context) {
	if n.relay.OrphanedFor() > outageThreshold {
		// The store may have had an outage; a standby watcher would have polled
		// it sooner.
		n.suspectOutage()
	}
	go n.runConfigs(ctx)
	go n.runVMs(ctx)
	n.upstreams.Run(ctx)
}

func (n *Node) runConfigs(ctx context.Context) { n.configs.Run(ctx) }

func (n *Node) runVMs(ctx context.Context) { n.vms.Run(ctx) }

func (n *Node) storeCurrent() bool { return n.configs.Current() && n.upstreams.Current() }

func (n *Node) applyConfigs(list []*leverdirectory.Config) {
	if n.opts.Compose != nil {
		n.composeConfig(list)
		return
	}
	for _, c := range list {
		if n.engine.Directory.SetConfig(c) {
			n.recordConfig(c)
		}
	}
}

func (n *Node) recordConfig(c *leverdirectory.Config) {
	n.log.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
}

func (n *Node) composeConfig(list []*leverdirectory.Config) {
	c, err := n.opts.Compose(list)
	if err != nil {
		n.log.Error("can't compose a configuration from the store's objects; the previous one stays in force", "objects", len(list), "err", err)
		return
	}
	n.engine.Directory.ReplaceConfig(c)
	n.recordConfig(c)
	if n.opts.OnConfig != nil {
		n.opts.OnConfig()
	}
}

func (n *Node) applyVMs(list []levermsg.VM) {
	selfListed := false
	for i := range list {
		list[i].State = cmp.Or(list[i].State, levermsg.Live)
		selfListed = selfListed || list[i].ID == n.opts.Self.ID
	}
	if n.members.SetList(list) {
		n.log.Info("the list of VMs has changed", "vms", len(list))
		n.events.Add(leverevent.ListChanged, strconv.Itoa(len(list)), "")
	}
	if !selfListed && n.registered.Load() && !n.stopping.Load() {
		// Another VM has removed this VM's entry because it seemed unresponsive.
		select {
		case n.register <- struct{}{}:
		default:
		}
	}
}
