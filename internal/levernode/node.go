// Package levernode assembles one VM's process from its parts: the engine, the
// relay of the store's objects, and the VMs that run fan-outs for others.
package levernode

import (
	"context"
	"crypto/tls"
	"net"
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
	// relayQuiet and relayDead bound the silence of a parent in the relay: a
	// dead one is replaced well before a change is due.
	relayQuiet = 400 * time.Millisecond
	relayDead  = time.Second
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
	OnConfig func()
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
