// Package levernode assembles one VM's process from its parts: the engine, the
// relay of the store's objects, and the delegation of fan-outs to other VMs.
package levernode

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverarchive"
	"arbutuslever.dev/lever/internal/leverbranch"
	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercold"
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
	"arbutuslever.dev/lever/internal/leverrevocation"
	"arbutuslever.dev/lever/internal/levertimer"
)

const (
	// relayPingAfter and relayDeadAfter limit how long a parent in the relay may
	// send nothing before it is pinged and before it is replaced. A dead parent
	// is replaced well before a change must be in force.
	relayPingAfter = 400 * time.Millisecond
	relayDeadAfter = time.Second
	// initialShare is this VM's share of the fleet's limits while its list of
	// VMs is empty.
	initialShare = 0.1
)

// Store is the platform's store.
type Store interface {
	Configs() leverfeed.Source[*leverdirectory.Config]
	Upstreams() leverfeed.Source[leverdirectory.Upstream]
	VMs() leverfeed.Source[levermsg.VM]
	// Register writes the VM's own entry.
	Register(ctx context.Context, vm levermsg.VM) error
	// Deregister removes a VM's entry.
	Deregister(ctx context.Context, id leverid.VMID) error
}

// Options configures a Node.
type Options struct {
	Self     levermsg.VM
	Store    Store
	Protocol leverengine.Protocol
	// Terms are the limits on extra attempts.
	Terms leverbudget.Terms
	// AllowanceTerms are what is common to the allowances of all organisations.
	AllowanceTerms leverallow.Terms
	// Seeds are VMs of which only the address is known.
	Seeds []levermsg.VM
	// PeerKeys authenticate this VM to the others, which must have the same
	// keys.
	PeerKeys *leverpeer.Keys
	// TLS configures connections to other VMs. It is nil for plain TCP.
	TLS *tls.Config
	// PeerHandler serves the kinds of peer request that the node does not serve
	// itself. It may be nil.
	PeerHandler leverpeer.Handler
	// Compose, if set, builds one configuration from the store's items. If it is
	// nil, each item is a configuration.
	Compose func([]*leverdirectory.Config) (*leverdirectory.Config, error)
	// OnConfig, if set, is called when a configuration built by Compose has come
	// into force.
	OnConfig func()
	// Cold bounds the requests to cold upstreams of services whose configuration asks for
	// it.
	Cold levercold.Terms
	// Regions holds the regions of the failure domains.
	Regions leverdirectory.Regions
	// Evacuations, if set, is the collection of the evacuated failure domains.
	Evacuations leverfeed.Source[leverid.Domain]
	// CrashRecords, if set, keeps the crash levels of contents.
	CrashRecords leverarchive.Store
	Log          leverlog.Logger
	Metrics      *levermetric.Set
	// MaxInFlight is the maximum number of concurrent requests, 0 for no limit.
	MaxInFlight int
	// MaxBodyBytes is the maximum memory, in bytes, of large responses that are
	// being received, 0 for a default.
	MaxBodyBytes int64
	// MaxConnsPerUpstream is the maximum number of connections to one upstream,
	// 0 for no limit other than that of the service.
	MaxConnsPerUpstream int
	// DrainTime is how long an upstream that drains goes on serving, 0 for a default.
	DrainTime time.Duration
	// RouteViaHomes, if set, reports whether the calls to each upstream go
	// through one VM, its home.
	RouteViaHomes func() bool
	// RevokeWithin, if set, makes the VM refuse requests that need a key once it may have
	// had no path to the store for that time.
	RevokeWithin time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is one VM's process. It is created by New.
type Node struct {
	opts     Options
	log      leverlog.Logger
	timer    *levertimer.Service
	events   *leverevent.Timeline
	counters *leverevent.Counters
	members  *levermember.View
	engine   *leverengine.Engine
	budget   *leverbudget.Budget
	mirror   *leverrelay.Mirror
	relay    *leverrelay.Relay
	delegate *leverdelegate.Delegate
	branches *leverbranch.Branches
	// homes is nil if calls never go through homes.
	homes *leverhome.Sender
	// controlPeers carries the relay, probes and crash reports.
	controlPeers *leverpeer.Client
	// workPeers carries delegated fan-outs and calls to homes.
	workPeers *leverpeer.Client
	server    *leverpeer.Server
	configs   *leverfeed.Follower[*leverdirectory.Config]
	upstreams *leverfeed.Follower[leverdirectory.Upstream]
	vms       *leverfeed.Follower[levermsg.VM]
	// coldShares are this VM's parts of the requests to cold upstreams.
	coldShares *levercold.Shares
	// evacuations is nil if the VM takes no notice of evacuations.
	evacuations *leverfeed.Follower[leverid.Domain]
	// evacuationsConfirmed is when the copy of the evacuations was last compared with
	// the store's revision, in Unix nanoseconds.
	evacuationsConfirmed atomic.Int64
	stopping             atomic.Bool
	pauses               levertimer.PauseDetector
	// lastContact is when another VM last sent a frame, or when the node was
	// started, in Unix nanoseconds.
	lastContact atomic.Int64
	// isNew is whether the list had no entry of this VM when the process started.
	isNew atomic.Bool
	// ctx ends when the node stops, by cancel.
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	// registered is set once this VM's own entry has been written.
	registered atomic.Bool
	// register receives a value when the entry has to be written again.
	register chan struct{}
	// restoredIn and removedIn are the last eras of the store in which this VM has written
	// its entry, or removed those of others, again.
	restoredIn, removedIn atomic.Uint32
	// crashes holds the crash reports that wait to be sent to other VMs, and gatherer
	// the evidence of all VMs about some fingerprints.
	crashes  *crashQueue
	gatherer levercrash.Gatherer
	// archive is nil if the store does not keep the crash levels.
	archive *leverarchive.Archive
	keys    *leverrevocation.Keys
	// keysRefused is whether requests that need a key are refused.
	keysRefused atomic.Bool
	// allowance limits the requests of organisations. wasListed is whether the list had
	// this VM's entry when the process started.
	allowance *leverallow.Allowance
	wasListed atomic.Bool
}

// New creates a node. Start makes it serve.
func New(o Options) *Node {
	n := &Node{
		opts: o, log: o.Log.For("node"), timer: &levertimer.Service{},
		events: &leverevent.Timeline{VM: o.Self.ID}, counters: &leverevent.Counters{},
		members: levermember.NewView(o.Self), mirror: leverrelay.NewMirror(),
		budget:   &leverbudget.Budget{Terms: o.Terms, Lease: shareLease},
		register: make(chan struct{}, 1),
		keys:     &leverrevocation.Keys{Bound: o.RevokeWithin, Detection: pathLossDetection},
	}
	n.crashes = newCrashQueue(n)
	n.pauses.Timer = n.timer
	directory := &leverdirectory.Directory{}
	n.engine = &leverengine.Engine{
		Domain: o.Self.Domain, Timer: n.timer, Log: o.Log.For("engine"), Directory: directory,
		Health: &leverhealth.Tracker{}, Budget: n.budget, Pool: &leverpool.Pool{Dial: o.Dial, MaxBodyBytes: o.MaxBodyBytes}, Protocol: o.Protocol,
		ConnectionShares: n.shares, Current: n.mirror.Current, Crashes: &levercrash.Guard{}, OnCrashLevel: n.queueCrashReport, CrashReports: n.crashes, Metrics: o.Metrics,
		RefuseKeys: n.refuseKeys, DrainTime: o.DrainTime, Regions: o.Regions, MaxInFlight: o.MaxInFlight, MaxConnsPerUpstream: o.MaxConnsPerUpstream, Events: n.events,
	}
	n.coldShares = &levercold.Shares{Self: o.Self.ID}
	n.engine.Cold = &levercold.Limit{Terms: o.Cold, Shares: n.coldShares}
	directory.OnChange = n.directoryChanged
	n.initPeers()
	n.initFeeds()
	n.engine.Delegate = n.delegate
	n.engine.Brancher = n.branches
	n.initHomes()
	n.initEvacuations()
	n.initArchive()
	n.initEra()
	n.initAllowance()
	n.mirror.OnConfigs = n.applyConfigs
	n.mirror.OnUpstreams = directory.SetUpstreams
	n.mirror.OnVMs = n.applyVMs
	n.mirror.OnCrashes = func(entries []levercrash.Entry) []levercrash.Entry {
		changed := n.mergeCrashes(entries, n.timer.Now())
		if len(changed) > 0 {
			n.levelsChanged()
		}
		return changed
	}
	n.registerGauges()
	return n
}

func (n *Node) initPeers() {
	o := n.opts
	keys := o.PeerKeys
	h := &hooks{node: n}
	n.controlPeers = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters, TLS: o.TLS, PingAfter: relayPingAfter, DeadAfter: relayDeadAfter, Dial: o.Dial}
	n.workPeers = &leverpeer.Client{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Counters: n.counters, TLS: o.TLS, Dial: o.Dial}
	n.relay = &leverrelay.Relay{
		Self: o.Self.ID, Members: n.members, Peers: n.controlPeers, Mirror: n.mirror, Timer: n.timer,
		Log: o.Log.For("relay"), Seeds: o.Seeds, Watch: n.watchStore, StoreCurrent: n.storeCurrent,
		OnPath: n.observePath,
	}
	n.delegate = &leverdelegate.Delegate{
		Self: o.Self, Members: n.members, Peers: n.workPeers, Engine: n.engine, Timer: n.timer,
		Log: o.Log.For("delegate"), Stopping: n.stopping.Load, Paused: n.pauses.Paused,
	}
	n.branches = &leverbranch.Branches{
		Self: o.Self, Members: n.members, Peers: n.workPeers, Engine: n.engine, Timer: n.timer,
		Log: o.Log.For("branch"), Stopping: n.stopping.Load, Paused: n.pauses.Paused,
	}
	n.server = &leverpeer.Server{Self: o.Self, Keys: keys, Hooks: h, Timer: n.timer, Handler: &dispatcher{node: n}, Counters: n.counters}
}

func (n *Node) initHomes() {
	o := n.opts
	if o.RouteViaHomes == nil {
		return
	}
	n.homes = &leverhome.Sender{
		Self: o.Self.ID, Members: n.members, Peers: n.workPeers, Pool: n.engine.Pool, Protocol: o.Protocol,
		Timer: n.timer, RouteViaHomes: o.RouteViaHomes, Connections: n.homeConnections,
	}
	n.engine.Sender = n.homes
}

// homeFraction is the fraction of an upstream's connections that its home may
// open. The rest is reserved for the previous home while the home changes.
const homeFraction = 0.5

// homeConnections returns the maximum number of connections that a home may open
// to an upstream of the service.
func (n *Node) homeConnections(s leverid.ServiceID) int {
	c := n.engine.Directory.View().Config
	if c == nil {
		return 1
	}
	return max(int(homeFraction*float64(c.Services[s].MaxConnections)), 1)
}

// shares returns this VM's shares of the upstreams' connections, for fan-outs
// and for other requests.
func (n *Node) shares() (fanout, other float64) {
	listed := n.members.Len()
	if listed == 0 {
		return initialShare, initialShare
	}
	fanout, spread := n.branches.Share()
	if !spread {
		fanout = n.delegate.Share()
	}
	return fanout, 1 / float64(listed)
}

// RunsLocally reports whether this VM runs its fan-outs itself.
func (n *Node) RunsLocally() bool { return n.delegate.RunsLocally() }

// IsolatedFor returns the time since another VM last sent a frame, or 0 while
// the store is reachable.
func (n *Node) IsolatedFor() time.Duration {
	now := n.timer.Now()
	if n.storeCurrent() {
		return 0
	}
	return time.Duration(now.UnixNano() - n.lastContact.Load())
}

// Timer returns the node's timer service.
func (n *Node) Timer() *levertimer.Service { return n.timer }

// Events returns the node's event timeline.
func (n *Node) Events() *leverevent.Timeline { return n.events }

// Counters returns the VM's counters: those of the connections to other VMs and
// any that the caller adds.
func (n *Node) Counters() *leverevent.Counters { return n.counters }

// Members returns the node's view of the other VMs.
func (n *Node) Members() *levermember.View { return n.members }

// Peers returns the client for control messages to other VMs.
func (n *Node) Peers() *leverpeer.Client { return n.controlPeers }

// Engine returns the engine that runs requests.
func (n *Node) Engine() *leverengine.Engine { return n.engine }

// WatchCandidates returns the other VMs that may watch the store on behalf of all.
func (n *Node) WatchCandidates() []levermsg.VM { return n.relay.WatchCandidates() }

// WatchesStore reports whether this VM watches the store.
func (n *Node) WatchesStore() bool { return n.relay.IsWatching() }

// Ready reports whether the VM accepts requests.
func (n *Node) Ready() bool {
	view := n.engine.Directory.View()
	return !n.stopping.Load() && view.Usable() && !n.awaitsPath(view.Config)
}

// Stopping reports whether the VM is shutting down.
func (n *Node) Stopping() bool { return n.stopping.Load() }
