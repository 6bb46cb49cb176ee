// Package leverkernel wires the parts of one entry VM together: the policies
// that the configuration names, the peers, the store and the upstreams.
package leverkernel

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leverroute"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverspread"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Options are what a node needs from outside.
type Options struct {
	Self levermsg.VM
	// Seeds are asked for the configuration when the store does not answer at
	// the start.
	Seeds    []levermsg.VM
	PeerKeys *leverpeer.Keys
	Store    leverstore.Store
	Upstream leverupstream.Client
	Log      leverlog.Logger
	// TLS is for connections to peers; nil for plain TCP.
	TLS *tls.Config
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seed makes random choices repeatable.
	Seed uint64
}

// Node is one entry VM. Use New.
type Node struct {
	opts     Options
	log      leverlog.Logger
	timer    *levertimer.Service
	events   *leverevent.Line
	counters *leverevent.Counters

	members   *levermember.View
	directory *leversnapshot.Directory
	board     *leverspread.Board
	spreader  *leverspread.Spreader
	store     *leverstore.Limited
	// claimStore is the store at the rate that claims may take.
	claimStore *leverstore.Limited
	submitter  *leverconfig.Submitter
	ledger     *leverclaim.Ledger
	home       *leverhome.Home
	engine     *leverquery.Engine
	peers      *leverpeer.Client
	server     *leverpeer.Server
	crashes    *crashes

	force    atomic.Pointer[inForce]
	started  time.Time
	leaving  atomic.Bool
	caughtUp atomic.Bool
	booted   atomic.Bool
	contact  atomic.Int64 // Unix nanoseconds of the last word of a peer or the store
	wasReady atomic.Bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// claimTimeout bounds the settling of one batch of claims.
const claimTimeout = 3 * time.Second

// New returns a node that is not running yet.
func New(o Options) *Node {
	n := &Node{
		opts: o, log: o.Log,
		timer:    &levertimer.Service{},
		events:   &leverevent.Line{VM: o.Self.ID},
		counters: &leverevent.Counters{},
		members:  levermember.NewView(o.Self),
		board:    &leverspread.Board{},
	}
	if o.Seed != 0 {
		n.timer.Seed(o.Seed)
	}
	n.directory = &leversnapshot.Directory{}
	n.force.Store(firstForce(o.Self.ID))
	n.store = leverstore.NewLimited(o.Store, n.force.Load().doc.System.StoreRate)
	n.claimStore = leverstore.NewLimited(o.Store, n.claimRate())
	n.crashes = newCrashes(n)
	n.wirePeers()
	n.wireSpread()
	n.wireQueries()
	return n
}

func (n *Node) wirePeers() {
	o := n.opts
	hooks := &hooks{node: n}
	n.peers = &leverpeer.Client{
		Self: o.Self, Keys: o.PeerKeys, Hooks: hooks, Timer: n.timer, Counters: n.counters, TLS: o.TLS, Dial: o.Dial,
	}
	n.server = &leverpeer.Server{
		Self: o.Self, Keys: o.PeerKeys, Hooks: hooks, Timer: n.timer,
		Handler: &handler{node: n}, Counters: n.counters,
	}
}

func (n *Node) wireSpread() {
	n.spreader = &leverspread.Spreader{
		Self: n.opts.Self.ID, Board: n.board, Peers: &exchanger{node: n}, Members: n.members,
		Store: n.store, Timer: n.timer, Counters: n.counters,
		News: n.news, StoreUp: n.storeUp,
		Watchers: func() int { return int(n.force.Load().doc.System.Watchers) },
		Backstop: func() time.Duration { return seconds(n.force.Load().doc.System.BackstopS) },
	}
	n.submitter = &leverconfig.Submitter{
		Store: n.store, Timer: n.timer, Events: n.events, Seen: n.ConfigVersion,
	}
}

func (n *Node) wireQueries() {
	catalog := &catalog{node: n}
	n.home = &leverhome.Home{
		Timer: n.timer, Counters: n.counters, Client: n.opts.Upstream, Directory: catalog, Crashes: n.crashes,
	}
	n.ledger = &leverclaim.Ledger{
		Store: n.claimStore, Timer: n.timer, Counters: n.counters,
		Keep:    func() time.Duration { return seconds(n.force.Load().doc.System.ClaimKeepS) },
		Timeout: claimTimeout,
	}
	n.engine = &leverquery.Engine{
		Self: n.opts.Self.ID, Timer: n.timer, Counters: n.counters, Events: n.events,
		Directory: n.directory, Settings: catalog,
		Replicas: leverroute.NewReplicas(n.opts.Self.Domain, n.opts.Seed),
		Router:   catalog, Members: n.members, Dispatcher: &dispatcher{node: n},
		Claims: &claims{node: n}, Crashes: n.crashes,
	}
}

// leastClaimRate lets a VM of any fleet settle a claim and read it back within
// the time that a claim may take.
const leastClaimRate = 2

// claimRate is this VM's part of the rate at which the fleet may write claims.
func (n *Node) claimRate() float64 {
	vms := max(len(n.members.Live(n.timer.Now())), 1)
	return max(n.force.Load().doc.System.ClaimRate/float64(vms), leastClaimRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Engine returns the part that runs queries.
func (n *Node) Engine() *leverquery.Engine { return n.engine }

// Events returns the time line.
func (n *Node) Events() *leverevent.Line { return n.events }

// Counters returns the metrics.
func (n *Node) Counters() *leverevent.Counters { return n.counters }

// Timer returns the timer service.
func (n *Node) Timer() *levertimer.Service { return n.timer }

// Members returns the view of the other VMs.
func (n *Node) Members() *levermember.View { return n.members }

// Self returns the VM's own entry.
func (n *Node) Self() levermsg.VM { return n.opts.Self }

// Server returns the part that serves peers; the program gives it its
// connections.
func (n *Node) Server() *leverpeer.Server { return n.server }

// Start fetches the configuration and begins to follow it. It returns at once;
// Ready tells when the node can take requests.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.cancel = cancel
	n.mu.Unlock()
	n.started = n.timer.Now()
	n.events.Add(leverevent.Started, string(n.opts.Self.ID), string(n.opts.Self.Domain))
	b := &boot{node: n}
	go b.run(ctx)
	w := &watchdog{node: n}
	go w.run(ctx)
	go n.crashes.run(ctx)
}

// PeerConnections returns the number of connections that this VM has opened to
// others.
func (n *Node) PeerConnections() int { return n.peers.Connections() }
