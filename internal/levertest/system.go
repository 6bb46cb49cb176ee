package levertest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/pkg/leverapi"
)

// System is a few nodes, upstreams and a platform in one process. Use
// NewSystem.
type System struct {
	Deployment levermodel.Deployment
	Platform   *leverplatform.Memory
	Net        *Net
	Fleet      *Fleet
	History    *leverhistory.History

	mu      sync.Mutex
	nodes   map[leverid.VMID]*leverkernel.Node
	lives   map[leverid.VMID]*life
	order   []leverid.VMID
	domains map[string]leverid.Domain
	retired []leverapi.Event
	next    int
	seed    uint64
	noList  bool
	log     leverlog.Logger
}

// life ends with a node's process.
type life struct {
	ctx context.Context
	end context.CancelFunc
}

const key = "key-for-tests-only"

// Options shape a system.
type Options struct {
	Deployment levermodel.Deployment
	VMs        int
	Seed       uint64
	// Document is the configuration's document at the start, "{}" if empty.
	Document string
	// Behaviour is that of every upstream; slots, times and versions come
	// from the deployment.
	Behaviour levermodel.Behaviour
	// Backlog is the number of requests that an upstream lets wait.
	Backlog int
	// Log gets the nodes' logs; it may be nil.
	Log io.Writer
	// NoList keeps the platform's list of VMs empty.
	NoList bool
}

// NewSystem builds a system and starts its nodes.
func NewSystem(o Options) *System {
	s := &System{
		Deployment: o.Deployment, Platform: &leverplatform.Memory{}, Net: &Net{}, History: &leverhistory.History{},
		nodes: make(map[leverid.VMID]*leverkernel.Node), domains: make(map[string]leverid.Domain), seed: o.Seed,
		lives: make(map[leverid.VMID]*life), noList: o.NoList,
	}
	s.Net.Delay = s.delay
	if o.Log != nil {
		s.log = leverlog.New(o.Log, "info", "test")
	}
	s.Fleet = &Fleet{Net: s.Net}
	for _, a := range o.Deployment.Apps {
		for n := 1; n <= a.Services; n++ {
			s.addService(o, a, n)
		}
	}
	if o.Document != "" {
		s.mustPut(leverstore.ConfigKey, leverconfig.Stored{Version: 1, Document: json.RawMessage(o.Document)})
	}
	for range o.VMs {
		s.AddVM()
	}
	return s
}

// delay is the one-way delay between hosts: that between failure domains, or a
// small one within.
func (s *System) delay(from, to string) time.Duration {
	const within = 100 * time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains[from] != s.domains[to] {
		return s.Deployment.Between
	}
	return within
}

func (s *System) mustPut(k leverid.ObjectKey, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	o, err := s.Platform.Get(ctx, k)
	if err != nil {
		o.Revision = 0
	}
	if _, err := s.Platform.Put(ctx, k, b, o.Revision); err != nil {
		panic(err)
	}
}

func (s *System) addService(o Options, a levermodel.App, n int) {
	const first = leverid.IndexVersion(1)
	x := o.Deployment.Index(a, n, first, func(id leverid.UpstreamID) string { return string(id) })
	for _, u := range x.Upstreams {
		b := o.Behaviour
		b.Slots, b.Backlog, b.Median = a.Slots, o.Backlog, a.Median
		b.Oldest, b.Newest = first, first
		b.Shards = map[leverid.IndexVersion]int{first: a.Leaves}
		s.domains[string(u.ID)] = u.Domain
		s.Fleet.Add(u.ID, levermodel.NewUpstream(u.ID, b, o.Seed, s.History.AddRun), a.Connections, a.ConnectCost)
	}
	s.Publish(x)
}

// Publish stores an index object.
func (s *System) Publish(x *leversnapshot.Index) {
	s.mustPut(leverstore.IndexPrefix+leverid.ObjectKey(x.Service), x)
}

// Unpublish deletes a service's index object.
func (s *System) Unpublish(id leverid.ServiceID) {
	key := leverstore.IndexPrefix + leverid.ObjectKey(id)
	o, err := s.Platform.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	if err := s.Platform.Delete(context.Background(), key, o.Revision); err != nil {
		panic(err)
	}
}

// Index returns the published index of a service.
func (s *System) Index(id leverid.ServiceID) *leversnapshot.Index {
	o, err := s.Platform.Get(context.Background(), leverstore.IndexPrefix+leverid.ObjectKey(id))
	if err != nil {
		panic(err)
	}
	x, err := leversnapshot.ParseIndex(o.Value)
	if err != nil {
		panic(err)
	}
	return x
}

// maxSeeds is the number of VMs that another is told of in its settings.
const maxSeeds = 7

// AddVM starts one more node and puts it on the platform's list.
func (s *System) AddVM() *leverkernel.Node {
	s.mu.Lock()
	i := s.next
	s.next++
	vm := levermsg.VM{
		ID: leverid.VMID(fmt.Sprintf("vm-%d", i+1)), Domain: s.Deployment.Domains[i%len(s.Deployment.Domains)],
		State: levermsg.Live,
	}
	vm.Peer = string(vm.ID)
	s.domains[vm.Peer] = vm.Domain
	var seeds []levermsg.VM
	for _, id := range s.order[:min(len(s.order), maxSeeds)] {
		seeds = append(seeds, s.nodes[id].Self())
	}
	s.mu.Unlock()
	node := leverkernel.New(leverkernel.Options{
		Self: vm, Seeds: seeds, PeerKeys: leverpeer.NewKeys(key), Log: s.log,
		Store: &heldStore{Memory: s.Platform, net: s.Net, host: vm.Peer},
		Dial:  func(ctx context.Context, to string) (net.Conn, error) { return s.Net.Dial(ctx, vm.Peer, to) },
	})
	s.mu.Lock()
	s.nodes[vm.ID] = node
	s.lives[vm.ID] = newLife()
	s.order = append(s.order, vm.ID)
	s.mu.Unlock()
	s.UpdateList()
	node.Start(s.Net.Listener(vm.Peer))
	return node
}

func newLife() *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{ctx, end}
}

func (s *System) life(id leverid.VMID) *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lives[id]
}

// UpdateList brings the platform's list of VMs up to date.
func (s *System) UpdateList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noList {
		return
	}
	var list []levermsg.VM
	for _, id := range s.order {
		list = append(list, s.nodes[id].Self())
	}
	s.Platform.SetVMs(list)
}

// Nodes returns the running nodes in the order of their start.
func (s *System) Nodes() []*leverkernel.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*leverkernel.Node, len(s.order))
	for i, id := range s.order {
		out[i] = s.nodes[id]
	}
	return out
}

// Kill ends a node at once, as a failing VM. The platform's list is not told.
func (s *System) Kill(id leverid.VMID) {
	s.life(id).end()
	s.Net.Kill(string(id))
	s.remove(id).Stop()
}

// StopVM ends a node by a planned stop.
func (s *System) StopVM(id leverid.VMID, wait time.Duration) error {
	s.mu.Lock()
	node := s.nodes[id]
	s.mu.Unlock()
	node.Leave()
	time.Sleep(wait)
	s.remove(id)
	s.UpdateList()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := node.Drain(ctx)
	node.Stop()
	s.Net.Kill(string(id))
	return err
}

func (s *System) remove(id leverid.VMID) *leverkernel.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.nodes[id]
	delete(s.nodes, id)
	for i, o := range s.order {
		if o == id {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
			break
		}
	}
	s.retired = append(s.retired, events(node)...)
	return node
}

// Close stops all nodes and gathers their time lines into the history.
func (s *System) Close() {
	for _, n := range s.Nodes() {
		s.History.AddEvents(events(n))
		n.Stop()
	}
	s.History.AddEvents(s.retired)
	s.Fleet.Close()
	// Virtual time stands still once a test has returned: what is under way
	// needs to end before.
	time.Sleep(closeTime)
}

// closeTime is longer than any timeout of a node.
const closeTime = 2 * time.Minute

func events(n *leverkernel.Node) []leverapi.Event {
	var out []leverapi.Event
	for _, e := range n.Events().Since(leverevent.Stamp(0)) {
		out = append(out, leverapi.Event{
			Stamp: int64(e.Stamp), VM: string(e.VM), Kind: string(e.Kind), Subject: e.Subject, Detail: e.Detail,
		})
	}
	return out
}

// Settle waits until every node is ready.
func (s *System) Settle() {
	for {
		ready := true
		for _, n := range s.Nodes() {
			ready = ready && n.Ready()
		}
		if ready {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// heldStore is the platform as one host reaches it.
type heldStore struct {
	*leverplatform.Memory
	net  *Net
	host string
}

// platformHost names the platform in cuts.
const platformHost = "platform"

func (h *heldStore) reach(ctx context.Context) error {
	if err := h.net.Wait(ctx, h.host); err != nil {
		return leverstore.ErrUnavailable
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.cuts[[2]string{h.host, platformHost}] {
		return leverstore.ErrUnavailable
	}
	return nil
}

// through makes one call to the platform; the host may stand still before it
// and after it.
func through[T any](ctx context.Context, h *heldStore, call func() (T, error)) (T, error) {
	var none T
	if err := h.reach(ctx); err != nil {
		return none, err
	}
	v, err := call()
	if reached := h.reach(ctx); err == nil && reached != nil {
		return none, leverstore.ErrUnknown
	}
	return v, err
}

// Get returns an object.
func (h *heldStore) Get(ctx context.Context, k leverid.ObjectKey) (leverstore.Object, error) {
	return through(ctx, h, func() (leverstore.Object, error) { return h.Memory.Get(ctx, k) })
}

// Put writes an object.
func (h *heldStore) Put(ctx context.Context, k leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error) {
	return through(ctx, h, func() (leverstore.Revision, error) { return h.Memory.Put(ctx, k, value, match) })
}

// List returns the objects below a prefix.
func (h *heldStore) List(ctx context.Context, p leverid.ObjectKey) (leverstore.Changes, error) {
	return through(ctx, h, func() (leverstore.Changes, error) { return h.Memory.List(ctx, p) })
}

// Watch waits for a change.
func (h *heldStore) Watch(ctx context.Context, p leverid.ObjectKey, since leverstore.Revision, wait time.Duration) (leverstore.Changes, error) {
	return through(ctx, h, func() (leverstore.Changes, error) { return h.Memory.Watch(ctx, p, since, wait) })
}

// VMs waits for a newer list.
func (h *heldStore) VMs(ctx context.Context, since leverstore.Revision, wait time.Duration) (leverstore.VMList, error) {
	return through(ctx, h, func() (leverstore.VMList, error) { return h.Memory.VMs(ctx, since, wait) })
}
