package leverkernel

import (
	"context"
	"fmt"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leverroute"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverspread"
	"arbutuslever.dev/lever/internal/leverstore"
)

// inForce is the configuration that the VM works by.
type inForce struct {
	stored *leverconfig.Stored
	doc    *leverconfig.Document
	router leverroute.Router
}

func firstForce(self leverid.VMID) *inForce {
	f, err := newForce(&leverconfig.Stored{}, self)
	if err != nil {
		panic("leverkernel: the default configuration is not valid: " + err.Error())
	}
	return f
}

func newForce(s *leverconfig.Stored, self leverid.VMID) (*inForce, error) {
	doc, err := s.Check()
	if err != nil {
		return nil, err
	}
	factory, err := leverroute.Routers.Lookup(doc.System.Routing)
	if err != nil {
		return nil, err
	}
	router := factory(leverroute.Options{Self: self, Group: int(doc.System.HomeGroup)})
	return &inForce{stored: s, doc: doc, router: router}, nil
}

// ConfigVersion returns the version in force.
func (n *Node) ConfigVersion() leverid.ConfigVersion { return n.force.Load().stored.Version }

// Config returns the configuration in force.
func (n *Node) Config() *leverconfig.Stored { return n.force.Load().stored }

// Document returns the checked document in force.
func (n *Node) Document() *leverconfig.Document { return n.force.Load().doc }

// news takes in an item that the board installed.
func (n *Node) news(it leverspread.Item) {
	index, isIndex := strings.CutPrefix(string(it.Key), string(leverstore.IndexPrefix))
	switch {
	case it.Deleted && isIndex:
		n.removeIndex(leverid.ServiceID(index))
	case it.Deleted:
		n.log.For("spread").Warn("an object was deleted; the last one stays in force", "key", it.Key)
	case it.Key == leverstore.ConfigKey:
		n.installConfig(it)
	case it.Key == leverspread.ListKey:
		n.installList(it)
	case it.Key == leverstore.CrashKey:
		n.crashes.load(it.Value)
	case isIndex:
		n.installIndex(it)
	}
}

// removeIndex ends a service whose owner has deleted its index. Queries under
// way go on with their pin.
func (n *Node) removeIndex(s leverid.ServiceID) {
	if n.directory.Remove(s) {
		n.home.Forget()
		n.events.Add(leverevent.IndexRemoved, string(s), "")
	}
}

// installConfig puts a configuration in force. One that this VM can't read, or
// whose version is lower than the one in force, changes nothing.
func (n *Node) installConfig(it leverspread.Item) {
	l := n.log.For("config")
	stored, err := leverconfig.ParseStored(it.Value)
	if err != nil {
		l.Error("the stored object can't be read", "revision", it.Revision, "err", err)
		return
	}
	next, err := newForce(stored, n.opts.Self.ID)
	if err != nil {
		l.Error("the stored document is not valid here", "version", stored.Version, "err", err)
		return
	}
	for {
		cur := n.force.Load()
		if cur.stored.Version >= stored.Version {
			n.counters.Add("config-older", 1)
			return
		}
		if n.force.CompareAndSwap(cur, next) {
			break
		}
	}
	n.store.SetRate(next.doc.System.StoreRate)
	n.claimStore.SetRate(n.claimRate())
	n.home.Reconfigure()
	n.events.Add(leverevent.ConfigInForce, fmt.Sprint(stored.Version), "")
	l.Info("a version is in force", "version", stored.Version)
}

func (n *Node) installList(it leverspread.Item) {
	vms, err := leverspread.ParseList(it.Value)
	if err != nil {
		n.log.For("members").Error("the list of VMs can't be read", "err", err)
		return
	}
	if n.members.SetList(vms) {
		n.claimStore.SetRate(n.claimRate())
		n.events.Add(leverevent.ListChanged, fmt.Sprint(len(vms)), "")
	}
}

func (n *Node) installIndex(it leverspread.Item) {
	x, err := leversnapshot.ParseIndex(it.Value)
	if err != nil {
		n.log.For("index").Error("an index object is not valid; the last one stays in force", "key", it.Key, "err", err)
		return
	}
	if !n.directory.Set(x) {
		n.log.For("index").Warn("an index object went back; the last one stays in force", "key", it.Key)
		return
	}
	n.home.Forget()
	n.events.Add(leverevent.IndexInForce, string(x.Service), fmt.Sprint(x.Newest().Version))
}

func (n *Node) storeUp(up bool) {
	kind := leverevent.StoreDown
	if up {
		kind = leverevent.StoreUp
	}
	n.events.Add(kind, "", "")
	n.log.For("store").Info("the store changed its state", "up", up)
}

// catalog gives the parts their settings from the configuration in force.
type catalog struct{ node *Node }

// Upstream returns an upstream of a service.
func (c *catalog) Upstream(s leverid.ServiceID, u leverid.UpstreamID) (leversnapshot.Upstream, bool) {
	return c.node.directory.Upstream(s, u)
}

// Policy returns what a home needs for a service.
func (c *catalog) Policy(id leverid.ServiceID) leverhome.Policy {
	f := c.node.force.Load()
	s := f.doc.Service(id)
	p := leverhome.Policy{Limit: s.Limit, Floors: s.Floors(), Share: 1}
	if _, direct := f.router.(leverroute.Direct); direct {
		p.Share = 1 / f.doc.System.DirectDivisor
	}
	return p
}

// Service returns what a query needs for a service.
func (c *catalog) Service(id leverid.ServiceID) leverquery.Settings {
	s := c.node.force.Load().doc.Service(id)
	return leverquery.Settings{
		Admission: s.Admission, Floors: s.Floors(), Retry: s.Retry, Hedge: s.Hedge,
		RetryPart: s.RetryPart, HedgePart: s.HedgePart, HedgeQuantile: s.HedgeQuantile,
		LeastCoverage: s.LeastCoverage, OnShort: leverquery.OnShort(s.OnShort),
		AnswerAfter:  time.Duration(s.AnswerAfterMS * float64(time.Millisecond)),
		RunUnclaimed: s.RunUnclaimed == "yes",
	}
}

// Home names the VM through which an upstream is called.
func (c *catalog) Home(s leverid.ServiceID, u leverid.UpstreamID, d leverid.Domain, vms []levermsg.VM) leverid.VMID {
	return c.node.force.Load().router.Home(s, u, d, vms)
}

// Submit brings a patch into the store and, if it is accepted, in force here at
// once.
func (n *Node) Submit(ctx context.Context, p *leverconfig.Patch) leverconfig.Outcome {
	out := n.submitter.Submit(ctx, p)
	if out.Verdict == leverconfig.Accepted && out.Object.Revision > 0 {
		n.spreader.Offer([]leverspread.Item{leverspread.ItemOf(out.Object)})
	}
	return out
}
