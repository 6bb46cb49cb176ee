// Package leverkernel assembles one VM of the product's own face: a node, which
// runs requests and follows the store, and what turns queries and patches into
// requests and objects.
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

// Options are what a node needs from outside.
type Options struct {
	Self levermsg.VM
	// Seeds are asked for the configuration when the store does not answer at
	// the start.
	Seeds    []levermsg.VM
	PeerKeys *leverpeer.Keys
	Store    leverstore.Store
	Log      leverlog.Logger
	// TLS is for connections to peers; nil for plain TCP.
	TLS *tls.Config
	// MostConnections bounds the connections to one upstream, 0 for no bound
	// beside that of its service.
	MostConnections int
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is one entry VM. Use New.
type Node struct {
	opts Options
	log  leverlog.Logger
	node *levernode.Node

	directory *leversnapshot.Directory
	store     *leverstore.Limited
	// claimStore is the store at the rate that claims may take.
	claimStore *leverstore.Limited
	submitter  *leverconfig.Submitter
	ledger     *leverclaim.Ledger
	engine     *leverquery.Engine

	contents atomic.Pointer[levercatalog.Contents]
	// composed is what the configuration that comes into force was made of. Only
	// compose and install use it, which the node calls one after the other.
	composed *levercatalog.Contents
	started  time.Time
	leaving  atomic.Bool
	wasReady atomic.Bool
	cancel   context.CancelFunc
}

// claimTimeout bounds the settling of one batch of claims.
const claimTimeout = 3 * time.Second

// New returns a node that is not running yet.
func New(o Options) *Node {
	n := &Node{opts: o, log: o.Log.For("kernel"), directory: &leversnapshot.Directory{}}
	n.contents.Store(levercatalog.Empty())
	sys := n.Document().System
	n.store = leverstore.NewLimited(o.Store, sys.StoreRate)
	n.claimStore = leverstore.NewLimited(o.Store, sys.ClaimRate)
	n.node = levernode.New(levernode.Options{
		Self: o.Self, Seeds: o.Seeds, PeerKeys: o.PeerKeys, TLS: o.TLS, Dial: o.Dial, Log: o.Log,
		Store:    &levercatalog.Store{Objects: n.store, Log: o.Log.For("catalog"), Present: n.contents.Load},
		Protocol: leverupstream.Protocol{}, Terms: terms(&sys), Requests: &handler{node: n}, Compose: n.compose, OnConfig: n.install,
		MostConnections: o.MostConnections,
		Homes:           func() bool { return n.Document().System.Routing == leverconfig.Homes },
	})
	n.submitter = &leverconfig.Submitter{Store: n.store, Timer: n.Timer(), Events: n.Events(), Seen: n.ConfigVersion}
	n.ledger = &leverclaim.Ledger{
		Store: n.claimStore, Timer: n.Timer(), Counters: n.Counters(), Timeout: claimTimeout,
		Keep: func() time.Duration { return seconds(n.Document().System.ClaimKeepS) },
	}
	n.engine = &leverquery.Engine{
		Timer: n.Timer(), Counters: n.Counters(), Events: n.Events(), Log: o.Log.For("query"),
		Directory: n.directory, Runner: n.node.Engine(), Claims: &claims{node: n},
		RunUnclaimed: func(s leverid.ServiceID) bool {
			set := n.Document().Service(s)
			return set.RunUnclaimed == "yes"
		},
	}
	return n
}

func terms(s *leverconfig.System) leverbudget.Terms {
	return leverbudget.Terms{Ratio: s.ExtraPart, Slack: s.ExtraSlack, Window: seconds(s.ExtraWindowS)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (n *Node) compose(parts []*leverdirectory.Config) (*leverdirectory.Config, error) {
	c, in, err := levercatalog.Compose(parts)
	n.composed = in
	return c, err
}

// install takes in the contents of a configuration that has come into force.
func (n *Node) install() {
	next := n.composed
	old := n.contents.Swap(next)
	n.installIndexes(old, next)
	if next.Stored.Version == old.Stored.Version {
		return
	}
	sys := next.Document.System
	n.store.SetRate(sys.StoreRate)
	n.claimStore.SetRate(n.claimRate())
	n.node.SetTerms(terms(&sys))
	n.Events().Add(leverevent.ConfigInForce, fmt.Sprint(next.Stored.Version), "")
	n.log.Info("a version is in force", "version", next.Stored.Version)
}

func (n *Node) installIndexes(old, next *levercatalog.Contents) {
	there := make(map[leverid.ServiceID]bool)
	for _, x := range next.Indexes {
		there[x.Service] = true
		before, err := n.directory.Index(x.Service)
		if n.directory.Set(x) && (err != nil || before.Newest().Version != x.Newest().Version) {
			n.Events().Add(leverevent.IndexInForce, string(x.Service), x.Newest().Version.String())
		}
	}
	for _, x := range old.Indexes {
		if !there[x.Service] && n.directory.Remove(x.Service) {
			n.Events().Add(leverevent.IndexRemoved, string(x.Service), "")
		}
	}
}

// leastClaimRate lets a VM of any fleet settle a claim and read it back within
// the time that a claim may take.
const leastClaimRate = 2

// claimRate is this VM's part of the rate at which the fleet may write claims.
func (n *Node) claimRate() float64 {
	vms := max(len(n.Members().Live(n.Timer().Now())), 1)
	return max(n.Document().System.ClaimRate/float64(vms), leastClaimRate)
}

// ConfigVersion returns the version in force.
func (n *Node) ConfigVersion() leverid.ConfigVersion { return n.Config().Version }

// Config returns the configuration in force.
func (n *Node) Config() *leverconfig.Stored { return n.contents.Load().Stored }

// Document returns the checked document in force.
func (n *Node) Document() *leverconfig.Document { return n.contents.Load().Document }

const (
	// inForceWait bounds how long an accepted patch is waited for here, and
	// inForceLook is how often it is looked for.
	inForceWait = time.Second
	inForceLook = 5 * time.Millisecond
)

// Submit brings a patch into the store. The VM that watches the store puts it in
// force; Submit waits a short time until it is in force here.
func (n *Node) Submit(ctx context.Context, p *leverconfig.Patch) leverconfig.Outcome {
	out := n.submitter.Submit(ctx, p)
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for out.Verdict == leverconfig.Accepted && n.ConfigVersion() < out.Version {
		if !n.Timer().Sleep(ctx, inForceLook) {
			break
		}
	}
	return out
}

// Engine returns the part that runs queries.
func (n *Node) Engine() *leverquery.Engine { return n.engine }

// Events returns the time line.
func (n *Node) Events() *leverevent.Line { return n.node.Events() }

// Counters returns the metrics.
func (n *Node) Counters() *leverevent.Counters { return n.node.Counters() }

// Timer returns the timer service.
func (n *Node) Timer() *levertimer.Service { return n.node.Timer() }

// Members returns the view of the other VMs.
func (n *Node) Members() *levermember.View { return n.node.Members() }

// Self returns the VM's own entry.
func (n *Node) Self() levermsg.VM { return n.opts.Self }

// PeerConnections returns the number of connections that this VM has opened to
// others.
func (n *Node) PeerConnections() int { return n.node.Peers().Connections() }
