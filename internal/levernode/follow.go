package levernode

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/levermsg"
)

const (
	// watchPause is the pause after each successful call to list or watch a
	// collection.
	watchPause = 300 * time.Millisecond
	// configWatchWait is how long the store holds a watch of the configuration
	// without changes. If the store drops its history, a watch may receive
	// nothing until it ends. This watch detects the loss well within the 3 s in
	// which a change must be in force, and triggers a new listing of the other
	// collections.
	configWatchWait = time.Second
	// configWatchGrace is the extra time allowed for such a watch to return.
	// When it is exceeded, a VM that is cut off from the store detects that,
	// and another VM takes over.
	configWatchGrace = 600 * time.Millisecond
	// firstAnswerPollInterval is how often a VM that is not a watch candidate looks
	// whether the store has answered its first call.
	firstAnswerPollInterval = 10 * time.Millisecond
	// upstreamHold is how long this VM keeps the entries of upstreams that are
	// missing after an outage. They register again within about two seconds.
	upstreamHold = 2200 * time.Millisecond
	// maxUpstreamsBackoff limits the pause between failed reads of the upstreams'
	// entries. Its sum with upstreamHold is below 3 s, so that an upstream that
	// left during an outage is removed within 3 s of the outage's end. A leaving
	// upstream must stop receiving new work within 3 s.
	maxUpstreamsBackoff = 350 * time.Millisecond
	// maxConfigsBackoff and maxVMsBackoff limit the same pauses for the other
	// collections.
	maxConfigsBackoff = time.Second
	maxVMsBackoff     = 3 * time.Second
	// minNonCandidateBackoff and nonCandidateBackoffPerVM, multiplied by the
	// number of VMs, limit the pauses of a VM that is not a watch candidate; the
	// larger one applies. During a store outage such a VM polls only to detect
	// that it alone is cut off from the other VMs.
	minNonCandidateBackoff   = 2 * time.Second
	nonCandidateBackoffPerVM = 40 * time.Millisecond
)

func (n *Node) initFeeds() {
	o := n.opts
	log := o.Log.For("feed")
	n.configs = &leverfeed.Follower[*leverdirectory.Config]{
		Name: "configuration", Source: o.Store.Configs(), Timer: n.timer, Log: log, Pause: watchPause, WatchWait: configWatchWait, WatchGrace: configWatchGrace,
		MaxBackoff:    func() time.Duration { return n.maxBackoff(maxConfigsBackoff) },
		OnHistoryLost: n.relistOthers, OnDisconnect: n.storeLost, OnReconnect: n.storeBack, OnRevision: n.confirmRevision, Apply: n.mirror.SetConfigs,
	}
	n.upstreams = &leverfeed.Follower[leverdirectory.Upstream]{
		Name: "upstreams", Source: o.Store.Upstreams(), Timer: n.timer, Log: log, Pause: watchPause, Hold: upstreamHold, OutageEnd: n.relay.OutageEnd, Base: n.mirror.Upstreams, BaseRevision: n.mirror.UpstreamsRevision,
		Apply: n.mirror.SetUpstreams, MaxBackoff: func() time.Duration { return n.maxBackoff(maxUpstreamsBackoff) },
	}
	n.vms = &leverfeed.Follower[levermsg.VM]{
		Name: "vms", Source: o.Store.VMs(), Timer: n.timer, Log: log, Pause: watchPause, Apply: n.mirror.SetVMs,
		MaxBackoff: func() time.Duration { return n.maxBackoff(maxVMsBackoff) },
	}
}

// maxBackoff returns the maximum pause after a failed call to the store.
// candidateMax is the maximum for a watch candidate.
func (n *Node) maxBackoff(candidateMax time.Duration) time.Duration {
	if n.relay.IsWatchCandidate() {
		return candidateMax
	}
	return max(minNonCandidateBackoff, time.Duration(n.members.Len())*nonCandidateBackoffPerVM)
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
	if n.evacuations != nil {
		n.evacuations.Relist()
	}
}

// confirmRevision checks with each watch of the configuration that the watches of the
// upstreams and of the evacuations, which may last longer, still receive changes.
func (n *Node) confirmRevision(rev leverfeed.Revision) {
	n.upstreams.Confirm(rev)
	n.confirmEvacuations(rev)
}

func (n *Node) storeLost() {
	n.events.Add(leverevent.StoreDown, string(n.opts.Self.ID), "")
	n.suspectOutage()
}

func (n *Node) storeBack() { n.events.Add(leverevent.StoreUp, string(n.opts.Self.ID), "") }

// suspectOutage lists the upstreams and the VMs again. Upstreams missing from
// the list are kept for upstreamHold if the store may have been away.
func (n *Node) suspectOutage() {
	n.upstreams.AssumeOutage()
	n.vms.AssumeOutage()
	if n.evacuations != nil {
		n.evacuations.AssumeOutage()
	}
}

// watchStore watches the store until ctx ends. It returns once all its calls have
// ended.
func (n *Node) watchStore(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go n.runConfigs(ctx, &wg)
	// Other VMs than the candidates make one call at a time while the store does not
	// answer, as in an outage all of them try.
	for !n.relay.IsWatchCandidate() && !n.configs.Current() {
		if !n.timer.Sleep(ctx, firstAnswerPollInterval) {
			return
		}
	}
	wg.Add(1)
	go n.runVMs(ctx, &wg)
	if n.evacuations != nil {
		wg.Add(1)
		go n.runEvacuations(ctx, &wg)
	}
	if n.archive != nil {
		wg.Add(1)
		go n.runArchive(ctx, &wg)
	}
	n.upstreams.Run(ctx)
}

func (n *Node) runConfigs(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	n.configs.Run(ctx)
}

func (n *Node) runVMs(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	n.vms.Run(ctx)
}

func (n *Node) storeCurrent() bool { return n.configs.Current() && n.upstreams.Current() }

func (n *Node) applyConfigs(list []*leverdirectory.Config) {
	if n.opts.Compose != nil {
		n.composeConfig(list)
		return
	}
	for _, c := range list {
		if n.engine.Directory.SetConfig(c) {
			n.logConfig(c)
		}
	}
}

func (n *Node) logConfig(c *leverdirectory.Config) {
	keyvals := []any{"version", c.Version, "routes", len(c.Routes)}
	if c.KeysRequired {
		keyvals = append(keyvals, "organisations", len(c.Organisations), "keys", c.KeyCount())
	}
	n.log.Info("a configuration is in force", keyvals...)
}

func (n *Node) composeConfig(list []*leverdirectory.Config) {
	c, err := n.opts.Compose(list)
	if err != nil {
		n.log.Error("can't compose a configuration from the store's objects; the previous one stays in force", "objects", len(list), "err", err)
		return
	}
	n.engine.Directory.ReplaceConfig(c)
	n.logConfig(c)
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
