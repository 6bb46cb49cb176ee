package levertest

import (
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// clock makes the waits of the fakes.
var clock levertimer.Service

// Fleet is a set of modelled upstreams that VMs call directly, with delays,
// connections that cost time, and a limit on them. It is safe for concurrent
// use.
type Fleet struct {
	Net *Net

	mu        sync.Mutex
	upstreams map[leverid.UpstreamID]*fleetUpstream
}

type fleetUpstream struct {
	model *levermodel.Upstream
	limit int
	cost  time.Duration

	mu   sync.Mutex
	open int
	most int
	idle map[leverid.VMID]int
	// refused counts connections beyond the limit.
	refused int
}

// Add puts an upstream into the fleet.
func (f *Fleet) Add(id leverid.UpstreamID, model *levermodel.Upstream, connections int, cost time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.upstreams == nil {
		f.upstreams = make(map[leverid.UpstreamID]*fleetUpstream)
	}
	f.upstreams[id] = &fleetUpstream{model: model, limit: connections, cost: cost, idle: make(map[leverid.VMID]int)}
}

// Model returns the model of an upstream.
func (f *Fleet) Model(id leverid.UpstreamID) *levermodel.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[id].model
}

// All calls do with each upstream.
func (f *Fleet) All(do func(id leverid.UpstreamID, m *levermodel.Upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		do(id, u.model)
	}
}

// Connections returns the most connections that any upstream had open at a
// time, as a part of its limit, and how many were refused.
func (f *Fleet) Connections() (most float64, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.mu.Lock()
		most = max(most, float64(u.most)/float64(max(u.limit, 1)))
		refused += u.refused
		u.mu.Unlock()
	}
	return most, refused
}

// Client returns the calls of one VM.
func (f *Fleet) Client(vm leverid.VMID, d leverid.Domain) leverupstream.Client {
	return &fleetClient{fleet: f, vm: vm, domain: d}
}

type fleetClient struct {
	fleet  *Fleet
	vm     leverid.VMID
	domain leverid.Domain
}

// Do makes one attempt.
func (c *fleetClient) Do(ctx context.Context, u leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) levermsg.Result {
	c.fleet.mu.Lock()
	up := c.fleet.upstreams[u.ID]
	c.fleet.mu.Unlock()
	if up == nil {
		return levermsg.Result{Outcome: levermsg.Unreachable}
	}
	host, far := string(c.vm), string(u.ID)
	way := c.fleet.Net.delay(host, far)
	fresh, ok := up.connect(c.vm)
	if !ok {
		return levermsg.Result{Outcome: levermsg.Unreachable, Detail: "connection limit"}
	}
	defer up.release(c.vm)
	if fresh && !clock.Sleep(ctx, up.cost+2*way) {
		return levermsg.Result{Outcome: levermsg.Expired}
	}
	if err := c.fleet.Net.Wait(ctx, host); err != nil {
		return levermsg.Result{Outcome: levermsg.Expired}
	}
	if c.cut(host, far) {
		<-ctx.Done()
		return ended(ctx)
	}
	if !clock.Sleep(ctx, way) {
		return ended(ctx)
	}
	reply, end := up.model.Do(ctx, it.Shard, newRequest(q, it))
	back := clock.Sleep(ctx, way)
	if end == levermodel.Refused {
		return levermsg.Result{Outcome: levermsg.Unreachable}
	}
	if !back || ctx.Err() != nil || c.cut(host, far) {
		<-ctx.Done()
		return ended(ctx)
	}
	if end == levermodel.Broken {
		return levermsg.Result{Outcome: levermsg.Reset, Run: leverid.MayHaveRun}
	}
	return reply.Result(q, it)
}

func (c *fleetClient) cut(a, b string) bool {
	c.fleet.Net.mu.Lock()
	defer c.fleet.Net.mu.Unlock()
	return c.fleet.Net.cuts[[2]string{a, b}]
}

// ended is the end of an attempt whose context ended after the send.
func ended(ctx context.Context) levermsg.Result {
	out := levermsg.Result{Outcome: levermsg.TimedOut, Run: leverid.MayHaveRun}
	if context.Cause(ctx) == context.Canceled {
		out.Outcome = levermsg.Withdrawn
	}
	return out
}

func newRequest(q *levermsg.Query, it levermsg.Item) *leverupstream.Request {
	return &leverupstream.Request{
		Attempt: it.Attempt, Service: q.Service, Version: q.Version, Rank: q.Rank, Request: q.Request,
		DeadlineMS: q.Deadline.UnixMilli(), Repeatable: !q.Once, After: q.After, Limit: q.Limit, Body: q.Body,
	}
}

// connect takes an idle connection of the VM, or opens one within the limit.
func (u *fleetUpstream) connect(vm leverid.VMID) (fresh, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idle[vm] > 0 {
		u.idle[vm]--
		return false, true
	}
	if u.open >= u.limit {
		u.refused++
		return false, false
	}
	u.open++
	u.most = max(u.most, u.open)
	return true, true
}

func (u *fleetUpstream) release(vm leverid.VMID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle[vm]++
}

// Forget closes the connections of a VM that is gone.
func (f *Fleet) Forget(vm leverid.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.mu.Lock()
		u.open -= max(u.idle[vm], 0)
		delete(u.idle, vm)
		u.mu.Unlock()
	}
}
