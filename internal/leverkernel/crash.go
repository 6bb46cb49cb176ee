package leverkernel

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverspread"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

type crashMessage struct {
	Entries []levercrash.Entry `msgpack:"e"`
}

const (
	// settleTime bounds how long an answer waits for the other VMs to know.
	settleTime = 100 * time.Millisecond
	// tellAll is the fleet size up to which every VM is told directly; above
	// it the relay tree carries the entries.
	tellAll = 32
	// keepPause is the least time between two writes of the stored entries.
	keepPause   = time.Second
	keepTimeout = 3 * time.Second
)

// crashes joins the guard with the other VMs and the store.
type crashes struct {
	node  *Node
	guard levercrash.Guard
	dirty chan struct{}

	mu      sync.Mutex
	telling int
	// idle is closed when telling falls to zero.
	idle chan struct{}
}

func newCrashes(n *Node) *crashes {
	return &crashes{node: n, dirty: make(chan struct{}, 1)}
}

// Level returns the level of a fingerprint.
func (c *crashes) Level(f leverid.Fingerprint) levercrash.Level {
	l, _ := c.guard.Level(f, c.node.timer.Now())
	return l
}

// Trial returns the level of a fingerprint and where a trial goes.
func (c *crashes) Trial(f leverid.Fingerprint) (levercrash.Level, leverid.UpstreamID) {
	return c.guard.Level(f, c.node.timer.Now())
}

// BeginTrial reports whether a trial may start here.
func (c *crashes) BeginTrial(f leverid.Fingerprint) bool { return c.guard.BeginTrial(f) }

// EndTrial ends a trial.
func (c *crashes) EndTrial(f leverid.Fingerprint) { c.guard.EndTrial(f) }

// Reset takes in a reset at the home.
func (c *crashes) Reset(r levercrash.Reset) levercrash.Level {
	level, fresh := c.guard.Reset(r, c.node.timer.Now())
	if fresh {
		kind := leverevent.CrashSuspect
		if level == levercrash.Barred {
			kind = leverevent.CrashBarred
		}
		c.node.events.Add(kind, r.Fingerprint.String(), string(r.Upstream))
		c.share(r.Fingerprint)
	}
	return level
}

// Pass clears a fingerprint whose trial went well.
func (c *crashes) Pass(f leverid.Fingerprint) {
	if c.guard.Pass(f, c.node.timer.Now()) {
		c.node.events.Add(leverevent.CrashCleared, f.String(), "")
		c.share(f)
	}
}

// Good takes in that an upstream answered a request.
func (c *crashes) Good(f leverid.Fingerprint, shard leverid.ShardID) {
	c.guard.Good(f, shard, c.node.timer.Now())
}

// Settle waits until the other VMs know, or for a short time.
func (c *crashes) Settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	c.mu.Lock()
	idle := c.idle
	if c.telling == 0 {
		idle = nil
	}
	c.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// told counts one teller less.
func (c *crashes) told() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.telling--
	if c.telling == 0 {
		close(c.idle)
	}
}

// share tells the other VMs about one fingerprint, and the store about all.
func (c *crashes) share(f leverid.Fingerprint) {
	entries := c.guard.Entries(c.node.timer.Now())
	for _, e := range entries {
		if e.Fingerprint == f {
			c.tell([]levercrash.Entry{e}, "")
		}
	}
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// merge takes in entries of a peer and passes news on.
func (c *crashes) merge(entries []levercrash.Entry, from leverid.VMID) {
	news := c.guard.Merge(entries, c.node.timer.Now())
	if len(news) > 0 && len(c.node.members.Live(c.node.timer.Now())) > tellAll {
		c.tell(news, from)
	}
}

func (c *crashes) tell(entries []levercrash.Entry, from leverid.VMID) {
	vms := c.node.members.Live(c.node.timer.Now())
	if len(vms) > tellAll {
		vms = leverspread.NewTree(vms, c.node.opts.Self.ID).Neighbours()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		if vm.ID == c.node.opts.Self.ID || vm.ID == from {
			continue
		}
		t := &teller{crashes: c, vm: vm, entries: entries}
		if c.telling == 0 {
			c.idle = make(chan struct{})
		}
		c.telling++
		go t.run()
	}
}

// teller tells one VM.
type teller struct {
	crashes *crashes
	vm      levermsg.VM
	entries []levercrash.Entry
}

func (t *teller) run() {
	defer t.crashes.told()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	// A VM that misses this learns it from the stored entries.
	_ = t.crashes.node.peers.Ask(ctx, t.vm, leverpeer.KindCrash, crashMessage{t.entries}, nil)
}

// load takes in the stored entries.
func (c *crashes) load(value []byte) {
	var m crashMessage
	if err := json.Unmarshal(value, &m.Entries); err != nil {
		c.node.log.For("crash").Error("the stored entries can't be read", "err", err)
		return
	}
	c.guard.Merge(m.Entries, c.node.timer.Now())
}

// run keeps the store's entries up to date, so that a VM that starts later
// knows them.
func (c *crashes) run(ctx context.Context) {
	for {
		select {
		case <-c.dirty:
		case <-ctx.Done():
			return
		}
		if err := c.keep(ctx); err != nil && ctx.Err() == nil {
			c.node.counters.Add("crash-keep-failures", 1)
			c.markDirty()
		}
		c.node.timer.Sleep(ctx, keepPause)
	}
}

func (c *crashes) markDirty() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// keep merges the own entries into the stored ones.
func (c *crashes) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	o, err := c.node.store.Get(ctx, leverstore.CrashKey)
	if err != nil && !errors.Is(err, errors.NotFound) {
		return err
	}
	if err == nil {
		c.load(o.Value)
	}
	entries := c.guard.Entries(c.node.timer.Now())
	value, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	if string(value) == string(o.Value) {
		return nil
	}
	rev, err := c.node.store.Put(ctx, leverstore.CrashKey, value, o.Revision)
	if err != nil {
		return err
	}
	c.node.spreader.Offer([]leverspread.Item{{Key: leverstore.CrashKey, Revision: rev, Value: value}})
	return nil
}
