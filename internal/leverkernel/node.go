// Package leverkernel assembles an entry VM of the native API: a
// levernode.Node, which routes requests and watches the store, and the parts
// that run queries, submit patches and claim request ids on top of it.
package leverkernel

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercatalog"
	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levernode"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Options configure a Node.
type Options struct {
	Self levermsg.VM
	// Seeds are the VMs from which the configuration is fetched if the store
	// is unavailable at startup.
	Seeds    []levermsg.VM
	PeerKeys *leverpeer.Keys
	Store    leverstore.Store
	Log      leverlog.Logger
	// TLS configures the connections to peers; nil means plain TCP.
	TLS *tls.Config
	// MaxConnsPerUpstream limits the connections to one upstream in addition to
	// the limit of its service; 0 means no additional limit.
	MaxConnsPerUpstream int
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is an entry VM. Create one with New.
type Node struct {
	opts Options
	log  leverlog.Logger
	node *levernode.Node

	directory *leversnapshot.Directory
	store     *leverstore.RateLimited
	// claimStore is the store with the rate limit for claims.
	claimStore *leverstore.RateLimited
	submitter  *leverconfig.Submitter
	ledger     *leverclaim.Ledger
	engine     *leverquery.Engine

	contents atomic.Pointer[levercatalog.Contents]
	// staged contains the contents of the configuration that is about to come
	// into force. Only compose and install use it, which n.node calls one
	// at a time.
	staged    *levercatalog.Contents
	started   time.Time
	leaving   atomic.Bool
	lastReady atomic.Bool
	cancel    context.CancelFunc
}

// claimTimeout bounds the reads and writes for one batch of claims.
const claimTimeout = 3 * time.Second

// New returns a node that has not been started.
func New(o Options) *Node {
	n := &Node{opts: o, log: o.Log.For("kernel"), directory: &leversnapshot.Directory{}}
	n.contents.Store(levercatalog.Empty())
	sys := n.Document().System
	n.store = leverstore.NewRateLimited(o.Store, sys.StoreRate)
	n.claimStore = leverstore.NewRateLimited(o.Store, sys.ClaimRate)
	n.node = levernode.New(levernode.Options{
		Self: o.Self, Seeds: o.Seeds, PeerKeys: o.PeerKeys, TLS: o.TLS, Dial: o.Dial, Log: o.Log,
		Store:    &levercatalog.Store{Objects: n.store, Log: o.Log.For("catalog"), Current: n.contents.Load},
		Protocol: leverupstream.Protocol{}, Terms: budgetTerms(&sys), PeerHandler: &peerHandler{node: n}, Compose: n.compose, OnConfig: n.install,
		MaxConnsPerUpstream: o.MaxConnsPerUpstream,
		RouteViaHomes:       func() bool { return n.Document().System.Routing == leverconfig.RouteViaHomes },
	})
	n.submitter = &leverconfig.Submitter{Store: n.store, Timer: n.Timer(), Events: n.Events(), KnownVersion: n.ConfigVersion}
	n.ledger = &leverclaim.Ledger{
		Store: n.claimStore, Timer: n.Timer(), Counters: n.Counters(), Timeout: claimTimeout,
		Retention: func() time.Duration { return secondsToDuration(n.Document().System.ClaimKeepS) },
	}
	n.engine = &leverquery.Engine{
		Timer: n.Timer(), Counters: n.Counters(), Events: n.Events(), Log: o.Log.For("query"),
		Directory: n.directory, Runner: n.node.Engine(), Claims: &claimRouter{node: n},
		RunUnclaimed: func(s leverid.ServiceID) bool {
			set := n.Document().Service(s)
			return set.RunUnclaimed == "yes"
		},
	}
	return n
}

func budgetTerms(s *leverconfig.System) leverbudget.Terms {
	return leverbudget.Terms{Ratio: s.ExtraPart, Slack: s.ExtraSlack, Window: secondsToDuration(s.ExtraWindowS)}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (n *Node) compose(parts []*leverdirectory.Config) (*leverdirectory.Config, error) {
	c, contents, err := levercatalog.Compose(parts)
	n.staged = contents
	return c, err
}

// install applies the contents of a configuration that has come into force.
func (n *Node) install() {
	next := n.staged
	old := n.contents.Swap(next)
	n.installIndexes(old, next)
	if next.Stored.Version == old.Stored.Version {
		return
	}
	sys := next.Document.System
	n.store.SetRate(sys.StoreRate)
	n.claimStore.SetRate(n.claimRate())
	n.node.SetTerms(budgetTerms(&sys))
	n.Events().Add(leverevent.ConfigInForce, fmt.Sprint(next.Stored.Version), "")
	n.log.Info("a configuration version is in force", "version", next.Stored.Version)
}

func (n *Node) installIndexes(old, next *levercatalog.Contents) {
	present := make(map[leverid.ServiceID]bool)
	for _, x := range next.Indexes {
		present[x.Service] = true
		before, err := n.directory.Index(x.Service)
		if n.directory.Set(x) && (err != nil || before.Newest().Version != x.Newest().Version) {
			n.Events().Add(leverevent.IndexInForce, string(x.Service), x.Newest().Version.String())
		}
	}
	for _, x := range old.Indexes {
		if !present[x.Service] && n.directory.Remove(x.Service) {
			n.Events().Add(leverevent.IndexRemoved, string(x.Service), "")
		}
	}
}

// minClaimRate, in store calls per second, lets a VM write a claim and read it
// back within the time limit of a claim, however large the fleet is.
const minClaimRate = 2

// claimRate returns this VM's share of the fleet's rate limit for claims, in
// store calls per second, but at least minClaimRate, so a large fleet may exceed
// the limit.
func (n *Node) claimRate() float64 {
	vms := max(len(n.Members().Live(n.Timer().Now())), 1)
	return max(n.Document().System.ClaimRate/float64(vms), minClaimRate)
}

// ConfigVersion returns the version of the configuration in force.
func (n *Node) ConfigVersion() leverid.ConfigVersion { return n.Config().Version }

// Config returns the configuration in force.
func (n *Node) Config() *leverconfig.Stored { return n.contents.Load().Stored }

// Document returns the validated document of the configuration in force.
func (n *Node) Document() *leverconfig.Document { return n.contents.Load().Document }

const (
	// maxInForceWait bounds how long Submit waits until an accepted patch is
	// in force on this VM. It checks every inForcePollInterval.
	maxInForceWait      = time.Second
	inForcePollInterval = 5 * time.Millisecond
)

// Submit writes a patch to the store. The VM that watches the store distributes
// it. Submit waits for at most maxInForceWait until it is in force on this VM.
func (n *Node) Submit(ctx context.Context, p *leverconfig.Patch) leverconfig.Outcome {
	out := n.submitter.Submit(ctx, p)
	ctx, cancel := context.WithTimeout(ctx, maxInForceWait)
	defer cancel()
	for out.Verdict == leverconfig.Accepted && n.ConfigVersion() < out.Version {
		if !n.Timer().Sleep(ctx, inForcePollInterval) {
			break
		}
	}
	return out
}

// Engine returns the query engine.
func (n *Node) Engine() *leverquery.Engine { return n.engine }

// Events returns the timeline of events.
func (n *Node) Events() *leverevent.Timeline { return n.node.Events() }

// Counters returns the metrics.
func (n *Node) Counters() *leverevent.Counters { return n.node.Counters() }

// Timer returns the timer service.
func (n *Node) Timer() *levertimer.Service { return n.node.Timer() }

// Members returns the view of the other VMs.
func (n *Node) Members() *levermember.View { return n.node.Members() }

// Self returns this VM's entry in the list of VMs.
func (n *Node) Self() levermsg.VM { return n.opts.Self }

// PeerConnections returns the number of connections that this VM has opened to
// other VMs.
func (n *Node) PeerConnections() int { return n.node.Peers().Connections() }
