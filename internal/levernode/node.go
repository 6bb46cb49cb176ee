// Package levernode assembles one VM's process from its parts: the engine, the
// relay of the store's objects, and the VMs that run fan-outs for others.
package levernode

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdelegate"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
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
	lapseHold = 2500 * time.Millisecond
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
	// unknownShare is this VM's part of what is shared while it knows no other.
	unknownShare = 0.1
)

// Store is the platform's store.
type Store interface {
	Configs() leverfeed.Source[*leverdirectory.Config]
	Upstreams() leverfeed.Source[leverdirectory.Upstream]
	VMs() leverfeed.Source[levermsg.VM]
	// Register writes the VM's own entry.
	Register(ctx context.Context, vm levermsg.VM) error
}

// Options are what a node is made of.
type Options struct {
	Self     levermsg.VM
	Store    Store
	Protocol leverengine.Protocol
	Terms    leverbudget.Terms
	Seeds    []levermsg.VM
	// PeerKey is shown to other VMs, which must have the same.
	PeerKey string
	Log     leverlog.Logger
}

// Node is one VM's process. New makes one.
type Node struct {
	opts      Options
	log       leverlog.Logger
	timer     *levertimer.Service
	events    *leverevent.Line
	counters  *leverevent.Counters
	members   *levermember.View
	engine    *leverengine.Engine
	budget    *leverbudget.Budget
	board     *leverrelay.Board
	relay     *leverrelay.Relay
	delegate  *leverdelegate.Delegate
	relays    *leverpeer.Client
	runs      *leverpeer.Client
	server    *leverpeer.Server
	configs   *leverfeed.Follower[*leverdirectory.Config]
	upstreams *leverfeed.Follower[leverdirectory.Upstream]
	vms       *leverfeed.Follower[levermsg.VM]
	stopping  atomic.Bool
	cancel    context.CancelFunc
}

// New assembles a node.
func New(o Options) *Node {
	n := &Node{
		opts: o, log: o.Log.For("node"), timer: &levertimer.Service{},
		events: &leverevent.Line{VM: o.Self.ID}, counters: &leverevent.Counters{},
		members: levermember.NewView(o.Self), board: leverrelay.NewBoard(),
		budget: &leverbudget.Budget{Terms: o.Terms},
	}
	directory := &leverdirectory.Directory{}
	n.engine = &leverengine.Engine{
		Domain: o.Self.Domain, Timer: n.timer, Log: o.Log.For("engine"), Directory: directory,
		Health: &leverhealth.Table{}, Budget: n.budget, Pool: &leverpool.Pool{}, Protocol: o.Protocol,
		Shares: n.shares, Current: n.board.Current,
	}
	directory.OnChange = n.engine.Changed
	n.peerParts()
	n.feeds()
	n.engine.Delegate = n.delegate
	n.board.OnConfigs = n.takeConfigs
	n.board.OnUpstreams = directory.SetUpstreams
	n.board.OnVMs = n.takeVMs
	return n
}

func (n *Node) peerParts() {
	o := n.opts
	keys := leverpeer.NewKeys(o.PeerKey)
	h := &hooks{node: n}
	n.relays = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters, Quiet: relayQuiet, Dead: relayDead}
	n.runs = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters}
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

func (n *Node) feeds() {
	o := n.opts
	log := o.Log.For("feed")
	n.configs = &leverfeed.Follower[*leverdirectory.Config]{
		Name: "configuration", Source: o.Store.Configs(), Timer: n.timer, Log: log, Pace: feedPace, Wait: configWait, Grace: configGrace,
		OnLost: n.relist, Apply: n.board.SetConfigs,
	}
	n.upstreams = &leverfeed.Follower[leverdirectory.Upstream]{
		Name: "upstreams", Source: o.Store.Upstreams(), Timer: n.timer, Log: log, Pace: feedPace, Hold: lapseHold,
		Apply: n.board.SetUpstreams,
	}
	n.vms = &leverfeed.Follower[levermsg.VM]{
		Name: "vms", Source: o.Store.VMs(), Timer: n.timer, Log: log, Pace: feedPace, Apply: n.board.SetVMs,
	}
}

// relist follows a lost history: the other watches may hear nothing either.
func (n *Node) relist() {
	n.upstreams.Relist()
	n.vms.Relist()
}

// watch watches the store until ctx ends.
func (n *Node) watch(ctx context.Context) {
	go n.runConfigs(ctx)
	go n.runVMs(ctx)
	n.upstreams.Run(ctx)
}

func (n *Node) runConfigs(ctx context.Context) { n.configs.Run(ctx) }

func (n *Node) runVMs(ctx context.Context) { n.vms.Run(ctx) }

func (n *Node) storeCurrent() bool { return n.configs.Current() && n.upstreams.Current() }

func (n *Node) takeConfigs(list []*leverdirectory.Config) {
	for _, c := range list {
		if n.engine.Directory.SetConfig(c) {
			n.log.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
		}
	}
}

func (n *Node) takeVMs(list []levermsg.VM) {
	for i := range list {
		list[i].State = levermsg.Live
	}
	n.members.SetList(list)
}

// shares returns this VM's part of the upstreams' connections.
func (n *Node) shares() (fanout, other float64) {
	listed := len(n.members.List())
	if listed == 0 {
		return unknownShare, unknownShare
	}
	return n.delegate.Share(), 1 / float64(listed)
}

// Engine returns the part that runs requests.
func (n *Node) Engine() *leverengine.Engine { return n.engine }

// Ready reports whether the VM takes requests.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.engine.Directory.View().Usable() }

// Stopping reports whether the VM has begun to stop.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Start begins to follow the store and to serve peers. It returns at once.
func (n *Node) Start(peers net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.runPeers(peers)
	go n.runRegister(ctx)
	go n.runProbes(ctx)
	go n.relay.Run(ctx)
	go n.runShares(ctx)
}

func (n *Node) runPeers(ln net.Listener) { n.server.Run(ln) }

// runRegister writes this VM's own entry.
func (n *Node) runRegister(ctx context.Context) {
	for {
		err := n.opts.Store.Register(ctx, n.opts.Self)
		if err == nil {
			return
		}
		n.log.Warn("this VM's entry could not be written", "err", err)
		if !n.timer.Sleep(ctx, n.timer.Jitter(registerPause, 0.3)) {
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
	for n.timer.Sleep(ctx, probePeriod) {
		for _, vm := range n.members.Probes(n.timer.Now()) {
			n.probe(ctx, vm)
		}
	}
}

func (n *Node) probe(ctx context.Context, vm levermsg.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := n.relays.Ask(ctx, vm, leverpeer.KindPing, nil, nil); err != nil {
		n.members.Failed(vm.ID, n.timer.Now())
	}
}

// Leave tells the balancer and the peers that the VM is stopping.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.members.LeaveSelf()
}

// Busy returns the number of requests that are being run, those of other VMs
// included.
func (n *Node) Busy() int { return n.engine.InFlight() }

// Stop ends what Start began.
func (n *Node) Stop() {
	n.cancel()
	n.relays.Close()
	n.runs.Close()
}
