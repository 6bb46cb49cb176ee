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

// System runs nodes, upstreams and a platform in one process. It is created by
// NewSystem.
type System struct {
	Deployment  levermodel.Deployment
	Platform    *leverplatform.Memory
	Network     *Network
	UpstreamSet *UpstreamSet
	History     *leverhistory.History

	mu         sync.Mutex
	nodes      map[leverid.VMID]*leverkernel.Node
	lifetimes  map[leverid.VMID]*lifetime
	order      []leverid.VMID
	domains    map[string]leverid.Domain
	pastEvents []leverapi.Event
	started    int
	seed       uint64
	noVMList   bool
	log        leverlog.Logger
}

// lifetime holds a context that ends when the node is killed.
type lifetime struct {
	ctx context.Context
	end context.CancelFunc
}

const key = "key-for-tests-only"

// Options configure a System.
type Options struct {
	Deployment levermodel.Deployment
	VMs        int
	Seed       uint64
	// Document is the initial configuration document. If it is empty, none is
	// stored.
	Document string
	// Behaviour applies to every upstream, except that slots, median processing
	// time, versions and shards come from the deployment.
	Behaviour levermodel.Behaviour
	// Backlog is the maximum number of requests that wait at an upstream.
	Backlog int
	// Log receives the logs of the nodes; it may be nil.
	Log io.Writer
	// NoVMList keeps the platform's list of VMs empty.
	NoVMList bool
}

// NewSystem creates a system and starts its nodes.
func NewSystem(o Options) *System {
	s := &System{
		Deployment: o.Deployment, Platform: &leverplatform.Memory{}, Network: &Network{}, History: &leverhistory.History{},
		nodes: make(map[leverid.VMID]*leverkernel.Node), domains: make(map[string]leverid.Domain), seed: o.Seed,
		lifetimes: make(map[leverid.VMID]*lifetime), noVMList: o.NoVMList,
	}
	s.Network.Delay = s.delay
	if o.Log != nil {
		s.log = leverlog.New(o.Log, "info", "test")
	}
	s.UpstreamSet = &UpstreamSet{Network: s.Network}
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

// delay returns the one-way delay between two hosts: the deployment's delay if
// they are in different failure domains, otherwise a small constant.
func (s *System) delay(from, to string) time.Duration {
	const within = 100 * time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains[from] != s.domains[to] {
		return s.Deployment.DomainDelay
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
		b.Shards = map[leverid.IndexVersion]int{first: a.ShardCount}
		s.domains[string(u.ID)] = u.Domain
		s.UpstreamSet.Add(u.ID, levermodel.NewUpstream(u.ID, b, o.Seed, s.History.AddRun), a.Connections, a.ConnectCost)
	}
	s.Publish(x)
}

// Publish writes an index object to the store.
func (s *System) Publish(x *leversnapshot.Index) {
	s.mustPut(leverstore.IndexPrefix+leverid.ObjectKey(x.Service), x)
}

// Unpublish deletes the index object of a service from the store.
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

// Index returns the stored index object of a service.
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

// maxSeeds is the maximum number of seeds in a VM's settings.
const maxSeeds = 7

// AddVM starts another node and adds it to the platform's list of VMs.
func (s *System) AddVM() *leverkernel.Node {
	s.mu.Lock()
	i := s.started
	s.started++
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
		Store: &hostStore{Memory: s.Platform, net: s.Network, host: vm.Peer},
		Dial:  func(ctx context.Context, to string) (net.Conn, error) { return s.Network.Dial(ctx, vm.Peer, to) },
	})
	s.mu.Lock()
	s.nodes[vm.ID] = node
	s.lifetimes[vm.ID] = newLifetime()
	s.order = append(s.order, vm.ID)
	s.mu.Unlock()
	s.UpdateVMList()
	node.Start(s.Network.Listener(vm.Peer))
	return node
}

func newLifetime() *lifetime {
	ctx, end := context.WithCancel(context.Background())
	return &lifetime{ctx, end}
}

func (s *System) lifetime(id leverid.VMID) *lifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifetimes[id]
}

// UpdateVMList replaces the platform's list of VMs by the running nodes.
func (s *System) UpdateVMList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noVMList {
		return
	}
	var list []levermsg.VM
	for _, id := range s.order {
		list = append(list, s.nodes[id].Self())
	}
	s.Platform.SetVMs(list)
}

// Nodes returns the running nodes in starting order.
func (s *System) Nodes() []*leverkernel.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*leverkernel.Node, len(s.order))
	for i, id := range s.order {
		out[i] = s.nodes[id]
	}
	return out
}

// Kill stops a node abruptly, like the failure of its VM. The platform's list
// of VMs still contains it.
func (s *System) Kill(id leverid.VMID) {
	s.lifetime(id).end()
	s.Network.Kill(string(id))
	s.remove(id).Stop()
}

// StopVM shuts a node down gracefully: the node announces that it leaves, and
// after wait it leaves the platform's list, drains and stops.
func (s *System) StopVM(id leverid.VMID, wait time.Duration) error {
	s.mu.Lock()
	node := s.nodes[id]
	s.mu.Unlock()
	node.Leave()
	time.Sleep(wait)
	s.remove(id)
	s.UpdateVMList()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := node.Drain(ctx)
	node.Stop()
	s.Network.Kill(string(id))
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
	s.pastEvents = append(s.pastEvents, events(node)...)
	return node
}

// Close stops all nodes and adds their events to the history.
func (s *System) Close() {
	for _, n := range s.Nodes() {
		s.History.AddEvents(events(n))
		n.Stop()
	}
	s.History.AddEvents(s.pastEvents)
	s.UpstreamSet.Close()
	// Virtual time stops when the test returns, so work in progress has to end
	// before.
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

// WaitReady waits until all nodes are ready.
func (s *System) WaitReady() {
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

// hostStore is the platform's store as a host reaches it over the network.
type hostStore struct {
	*leverplatform.Memory
	net  *Network
	host string
}

// platformHost is the host name of the platform in network partitions.
const platformHost = "platform"

func (h *hostStore) checkReachable(ctx context.Context) error {
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

// callStore calls the platform. The host may be frozen or partitioned before the
// call, so that the call is not made, or after it, so that its result is lost.
func callStore[T any](ctx context.Context, s *hostStore, call func() (T, error)) (T, error) {
	var none T
	if err := s.checkReachable(ctx); err != nil {
		return none, err
	}
	v, err := call()
	if reached := s.checkReachable(ctx); err == nil && reached != nil {
		return none, leverstore.ErrOutcomeUnknown
	}
	return v, err
}

// Get returns the object with the given key.
func (h *hostStore) Get(ctx context.Context, k leverid.ObjectKey) (leverstore.Object, error) {
	return callStore(ctx, h, func() (leverstore.Object, error) { return h.Memory.Get(ctx, k) })
}

// Put writes an object.
func (h *hostStore) Put(ctx context.Context, k leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error) {
	return callStore(ctx, h, func() (leverstore.Revision, error) { return h.Memory.Put(ctx, k, value, match) })
}

// List returns the objects whose keys have the prefix.
func (h *hostStore) List(ctx context.Context, p leverid.ObjectKey) (leverstore.Changes, error) {
	return callStore(ctx, h, func() (leverstore.Changes, error) { return h.Memory.List(ctx, p) })
}

// Watch waits for changes of objects whose keys have the prefix.
func (h *hostStore) Watch(ctx context.Context, p leverid.ObjectKey, since leverstore.Revision, wait time.Duration) (leverstore.Changes, error) {
	return callStore(ctx, h, func() (leverstore.Changes, error) { return h.Memory.Watch(ctx, p, since, wait) })
}

// VMs waits for a list of VMs that is newer than since.
func (h *hostStore) VMs(ctx context.Context, since leverstore.Revision, wait time.Duration) (leverstore.VMList, error) {
	return callStore(ctx, h, func() (leverstore.VMList, error) { return h.Memory.VMs(ctx, since, wait) })
}
