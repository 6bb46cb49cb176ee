// Package levernode assembles one VM's process from its parts: the engine, the
// relay of the store's objects, and the VMs that run fan-outs for others.
package levernode

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdelegate"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrelay"
	"arbutuslever.dev/lever/internal/levertimer"
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
	// registerPause is the pause before the VM's own entry is written again.
	registerPause = time.Second
	// relayQuiet and relayDead bound the silence of a parent in the relay: a
	// dead one is replaced well before a change is due.
	relayQuiet = 400 * time.Millisecond
	relayDead  = time.Second
	// probePeriod is how often peers that count as down are asked.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds such a question.
	probeTimeout = 300 * time.Millisecond
	// goneAfter is how long a VM must have been silent before its entry in the
	// store is removed.
	goneAfter = 2 * time.Minute
	// unknownShare is this VM's part of what is shared while it knows no other.
	unknownShare = 0.1
)

// Store is the platform's store.
type Store interface {
	Configs() leverfeed.Source[*leverdirectory.Config]
	Upstreams() leverfeed.Source[leverdirectory.Upstream]
	VMs() leverfeed.Source[levermsg.VM]
	// Register writes the VM's own entry; Deregister removes one.
	Register(ctx context.Context, vm levermsg.VM) error
	Deregister(ctx context.Context, id leverid.VMID) error
}

// Options are what a node is made of.
type Options struct {
	Self     levermsg.VM
	Store    Store
	Protocol leverengine.Protocol
	Terms    leverbudget.Terms
	Seeds    []levermsg.VM
	// PeerKeys are shown to other VMs, which must have the same.
	PeerKeys *leverpeer.Keys
	// TLS is for connections to other VMs, nil for plain TCP.
	TLS *tls.Config
	// Requests serves the kinds of peer request that the node itself does not
	// know; it may be nil.
	Requests leverpeer.Handler
	// Compose, if set, makes one configuration of the store's items; otherwise
	// each of them is one.
	Compose func([]*leverdirectory.Config) (*leverdirectory.Config, error)
	// OnConfig, if set, is called when a configuration of Compose has come into
	// force.
	OnConfig func(*leverdirectory.Config)
	Log      leverlog.Logger
	Metrics  *levermetric.Set
	// MostInFlight bounds the requests that are run at a time, 0 for no bound.
	MostInFlight int
	// MostConnections bounds the connections to one upstream, 0 for no bound
	// beside that of the service.
	MostConnections int
	// Homes, if set, reports whether the calls of each upstream go through one
	// VM, its home.
	Homes func() bool
	// Dial replaces the TCP dialer, in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is one VM's process. New makes one.
type Node struct {
	opts     Options
	log      leverlog.Logger
	timer    *levertimer.Service
	events   *leverevent.Line
	counters *leverevent.Counters
	members  *levermember.View
	engine   *leverengine.Engine
	budget   *leverbudget.Budget
	board    *leverrelay.Board
	relay    *leverrelay.Relay
	delegate *leverdelegate.Delegate
	// homes is nil if calls never go through homes.
	homes     *leverhome.Sender
	relays    *leverpeer.Client
	runs      *leverpeer.Client
	server    *leverpeer.Server
	configs   *leverfeed.Follower[*leverdirectory.Config]
	upstreams *leverfeed.Follower[leverdirectory.Upstream]
	vms       *leverfeed.Follower[levermsg.VM]
	stopping  atomic.Bool
	// heard is when the store or another VM last answered, in Unix nanoseconds.
	heard    atomic.Int64
	cancel   context.CancelFunc
	listener net.Listener
	// registered says that this VM's own entry was written.
	registered atomic.Bool
	register   chan struct{}
	crashes    chan []levercrash.Entry
}

// New assembles a node.
func New(o Options) *Node {
	n := &Node{
		opts: o, log: o.Log.For("node"), timer: &levertimer.Service{},
		events: &leverevent.Line{VM: o.Self.ID}, counters: &leverevent.Counters{},
		members: levermember.NewView(o.Self), board: leverrelay.NewBoard(),
		budget:   &leverbudget.Budget{Terms: o.Terms},
		register: make(chan struct{}, 1), crashes: make(chan []levercrash.Entry, crashQueue),
	}
	directory := &leverdirectory.Directory{}
	n.engine = &leverengine.Engine{
		Domain: o.Self.Domain, Timer: n.timer, Log: o.Log.For("engine"), Directory: directory,
		Health: &leverhealth.Table{}, Budget: n.budget, Pool: &leverpool.Pool{Dial: o.Dial}, Protocol: o.Protocol,
		Shares: n.shares, Current: n.board.Current, Crashes: &levercrash.Guard{}, OnCrash: n.tellCrashes, Metrics: o.Metrics,
		MostInFlight: o.MostInFlight, MostConnections: o.MostConnections, Events: n.events,
	}
	directory.OnChange = n.changed
	n.peerParts()
	n.feeds()
	n.engine.Delegate = n.delegate
	n.homeParts()
	n.board.OnConfigs = n.takeConfigs
	n.board.OnUpstreams = directory.SetUpstreams
	n.board.OnVMs = n.takeVMs
	n.board.OnCrashes = func(entries []levercrash.Entry) []levercrash.Entry {
		return n.engine.Crashes.Merge(entries, n.timer.Now())
	}
	n.gauges()
	return n
}

func (n *Node) peerParts() {
	o := n.opts
	keys := o.PeerKeys
	h := &hooks{node: n}
	n.relays = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters, TLS: o.TLS, Quiet: relayQuiet, Dead: relayDead, Dial: o.Dial}
	n.runs = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters, TLS: o.TLS, Dial: o.Dial}
	n.relay = &leverrelay.Relay{
		Self: o.Self.ID, Members: n.members, Peers: n.relays, Board: n.board, Timer: n.timer,
		Log: o.Log.For("relay"), Seeds: o.Seeds, Watch: n.watch, StoreCurrent: n.storeCurrent,
	}
	n.delegate = &leverdelegate.Delegate{
		Self: o.Self, Members: n.members, Peers: n.runs, Engine: n.engine, Timer: n.timer,
		Log: o.Log.For("delegate"), Stopping: n.stopping.Load,
	}
	n.server = &leverpeer.Server{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Handler: &dispatcher{node: n}, Counters: n.counters}
}

func (n *Node) homeParts() {
	o := n.opts
	if o.Homes == nil {
		return
	}
	n.homes = &leverhome.Sender{
		Self: o.Self.ID, Members: n.members, Peers: n.runs, Pool: n.engine.Pool, Protocol: o.Protocol,
		Timer: n.timer, Homes: o.Homes, Connections: n.homeConnections,
	}
	n.engine.Sender = n.homes
}

// homePart is the part of an upstream's connections that its home opens; the
// rest is left to the home before it.
const homePart = 0.5

// homeConnections returns the connections to an upstream that its home may open.
func (n *Node) homeConnections(s leverid.ServiceID) int {
	c := n.engine.Directory.View().Config
	if c == nil {
		return 1
	}
	return max(int(homePart*float64(c.Services[s].MaxConnections)), 1)
}

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
			n.log.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
		}
	}
}

func (n *Node) composeConfig(list []*leverdirectory.Config) {
	c, err := n.opts.Compose(list)
	if err != nil {
		n.log.Error("no configuration can be made of the store's objects; the last one stays", "objects", len(list), "err", err)
		return
	}
	n.engine.Directory.ReplaceConfig(c)
	n.log.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
	if n.opts.OnConfig != nil {
		n.opts.OnConfig(c)
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

// shares returns this VM's part of the upstreams' connections.
func (n *Node) shares() (fanout, other float64) {
	listed := len(n.members.List())
	if listed == 0 {
		return unknownShare, unknownShare
	}
	return n.delegate.Share(), 1 / float64(listed)
}

// Runs reports whether this VM runs the fan-outs of its failure domain.
func (n *Node) Runs() bool { return n.delegate.Runs() }

// Silence returns for how long neither the store nor another VM has answered.
func (n *Node) Silence() time.Duration {
	now := n.timer.Now()
	if n.storeCurrent() {
		return 0
	}
	return time.Duration(now.UnixNano() - n.heard.Load())
}

// Timer returns the node's timer service.
func (n *Node) Timer() *levertimer.Service { return n.timer }

// Events returns the node's time line.
func (n *Node) Events() *leverevent.Line { return n.events }

// Counters returns the counters of the connections to other VMs.
func (n *Node) Counters() *leverevent.Counters { return n.counters }

// Members returns the node's view of the other VMs.
func (n *Node) Members() *levermember.View { return n.members }

// Peers returns the connections to other VMs.
func (n *Node) Peers() *leverpeer.Client { return n.relays }

// Engine returns the part that runs requests.
func (n *Node) Engine() *leverengine.Engine { return n.engine }

// Ready reports whether the VM takes requests.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.engine.Directory.View().Usable() }

// Stopping reports whether the VM has begun to stop.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Start begins to follow the store and to serve peers. It returns at once.
func (n *Node) Start(peers net.Listener) {
	n.events.Add(leverevent.Started, string(n.opts.Self.ID), "")
	n.heard.Store(n.timer.Now().UnixNano())
	n.budget.Begin(n.timer.Now())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.listener = peers
	go n.runPeers(peers)
	go n.runRegister(ctx)
	go n.runProbes(ctx)
	go n.runRelay(ctx)
	go n.runShares(ctx)
	go n.runCrashes(ctx)
}

func (n *Node) runRelay(ctx context.Context) { n.relay.Run(ctx) }

func (n *Node) runPeers(ln net.Listener) { n.server.Run(ln) }

// runRegister writes this VM's own entry, and again if it is gone.
func (n *Node) runRegister(ctx context.Context) {
	for {
		if err := n.opts.Store.Register(ctx, n.opts.Self); err != nil {
			n.log.Warn("this VM's entry could not be written", "err", err)
			if !n.timer.Sleep(ctx, n.timer.Jitter(registerPause, 0.3)) {
				return
			}
			continue
		}
		n.registered.Store(true)
		select {
		case <-n.register:
		case <-ctx.Done():
			return
		}
	}
}

// runShares keeps this VM's part of the slack up to date.
func (n *Node) runShares(ctx context.Context) {
	for {
		fanout, _ := n.shares()
		n.budget.SetShare(fanout)
		if !n.timer.Sleep(ctx, probePeriod) {
			return
		}
	}
}

// runProbes asks the peers that count as down whether they answer again.
func (n *Node) runProbes(ctx context.Context) {
	silent := make(map[leverid.VMID]time.Time)
	for n.timer.Sleep(ctx, probePeriod) {
		for _, vm := range n.members.Probes(n.timer.Now()) {
			if n.probe(ctx, vm) {
				delete(silent, vm.ID)
				continue
			}
			since, ok := silent[vm.ID]
			if !ok {
				silent[vm.ID] = n.timer.Now()
			} else if n.relay.Watches() && n.timer.Now().Sub(since) > goneAfter {
				n.removeGone(ctx, vm.ID)
				delete(silent, vm.ID)
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, vm levermsg.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := n.relays.Ask(ctx, vm, leverpeer.KindPing, nil, nil); err != nil {
		n.members.Failed(vm.ID, n.timer.Now())
		return false
	}
	return true
}

// removeGone removes the entry of a VM that has long been silent. If it lives
// after all, it writes its entry again.
func (n *Node) removeGone(ctx context.Context, id leverid.VMID) {
	err := n.opts.Store.Deregister(ctx, id)
	n.log.Info("the entry of a silent VM is removed", "vm", id, "silent-for", goneAfter, "err", err)
}

// SetTerms changes the bound of extra attempts.
func (n *Node) SetTerms(t leverbudget.Terms) { n.budget.SetTerms(t) }

// Leave tells the balancer and the peers that the VM is stopping.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.members.LeaveSelf()
}

// Busy returns the number of requests that are being run, those of other VMs and
// their calls included.
func (n *Node) Busy() int {
	if n.homes == nil {
		return n.engine.InFlight()
	}
	return n.engine.InFlight() + n.homes.Busy()
}

// Stop ends what Start began.
func (n *Node) Stop() {
	n.cancel()
	n.relays.Close()
	n.runs.Close()
	// An error means that the listener is closed already.
	_ = n.listener.Close()
	n.server.Close()
	n.engine.Pool.Close()
}
