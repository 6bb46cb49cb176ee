package leverkernel

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

const (
	bootTimeout = 2 * time.Second
	bootPause   = 300 * time.Millisecond
	bootNoise   = 0.3
	// askedSeeds is the number of seeds that one round asks.
	askedSeeds = 7
	// loneTime is how long a VM may hear neither the store nor a peer before
	// it says that it is not ready.
	loneTime = 10 * time.Second
	// pulse is how often the watchdog looks; a gap of freezeGap more means
	// that the process stood still.
	pulse     = 200 * time.Millisecond
	freezeGap = time.Second
)

// boot brings the first configuration.
type boot struct{ node *Node }

// run asks the store and the seeds until one of them has answered, then starts
// the spreader. What is installed is the newest of all answers.
func (b *boot) run(ctx context.Context) {
	n := b.node
	for ctx.Err() == nil {
		if b.once(ctx) {
			break
		}
		n.timer.Sleep(ctx, n.timer.Jitter(bootPause, bootNoise))
	}
	if ctx.Err() != nil {
		return
	}
	n.contact.Store(n.timer.Now().UnixNano())
	n.caughtUp.Store(true)
	n.booted.Store(true)
	n.spreader.Run(ctx)
	n.log.For("boot").Info("the VM has a configuration", "version", n.ConfigVersion())
}

// once asks the seeds and the store. It reports whether one had all there is.
func (b *boot) once(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	fromPeers := b.askSeeds(ctx)
	err := b.node.spreader.Fetch(ctx)
	if err != nil {
		b.node.log.For("boot").Warn("the store does not answer", "err", err)
	}
	return err == nil || fromPeers
}

// askSeeds asks some of the seeds. It reports whether one of them is ready, and
// so has all that there is.
func (b *boot) askSeeds(ctx context.Context) bool {
	n := b.node
	var wg sync.WaitGroup
	var found atomic.Bool
	for _, i := range rand.Perm(len(n.opts.Seeds))[:min(len(n.opts.Seeds), askedSeeds)] {
		vm := n.opts.Seeds[i]
		if vm.ID == n.opts.Self.ID {
			continue
		}
		a := &seedAsk{node: n, vm: vm, wg: &wg, found: &found}
		wg.Add(1)
		go a.run(ctx)
	}
	wg.Wait()
	return found.Load()
}

// seedAsk compares the board with one seed and asks whether it is ready.
type seedAsk struct {
	node  *Node
	vm    levermsg.VM
	wg    *sync.WaitGroup
	found *atomic.Bool
}

func (a *seedAsk) run(ctx context.Context) {
	defer a.wg.Done()
	if !a.node.spreader.Beat(ctx, a.vm) {
		return
	}
	var r statusReply
	err := a.node.peers.Ask(ctx, a.vm, leverpeer.KindStatus, &statusMessage{}, &r)
	if err == nil && len(r.States) > 0 && r.States[0].Ready {
		a.found.Store(true)
	}
}

// Ready reports whether the VM should get requests: it has a configuration, is
// not leaving, and heard from the store or a peer lately.
func (n *Node) Ready() bool {
	if n.leaving.Load() || !n.booted.Load() {
		return false
	}
	if len(n.members.List()) < 2 {
		return true
	}
	quiet := time.Duration(n.timer.Now().UnixNano() - n.contact.Load())
	return quiet < loneTime
}

// watchdog notes changes of readiness and standstills.
type watchdog struct{ node *Node }

func (w *watchdog) run(ctx context.Context) {
	n := w.node
	last := n.timer.Now()
	ticks := n.timer.Every(pulse)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now := n.timer.Now()
		// The wall clock shows a standstill also where the monotonic one
		// stops with the VM.
		gap := max(levertimer.Gap(last, now, pulse), now.Round(0).Sub(last.Round(0))-pulse)
		last = now
		if gap > freezeGap {
			w.woke(ctx, gap)
		}
		w.note()
		w.probe(ctx, now)
	}
}

// probe asks the peers that count as down whether they answer again.
func (w *watchdog) probe(ctx context.Context, now time.Time) {
	for _, vm := range w.node.members.Probes(now) {
		p := &peerProbe{node: w.node, vm: vm}
		go p.run(ctx)
	}
}

// peerProbe asks one peer. Its answer, or its silence, reaches the view of the
// VMs through the connection's hooks.
type peerProbe struct {
	node *Node
	vm   levermsg.VM
}

func (p *peerProbe) run(ctx context.Context) {
	p.node.counters.Add("peer-probes", 1)
	p.node.spreader.Beat(ctx, p.vm)
}

// woke compares notes with a peer at once: much may have changed.
func (w *watchdog) woke(ctx context.Context, gap time.Duration) {
	n := w.node
	n.events.Add(leverevent.Frozen, string(n.opts.Self.ID), gap.Round(time.Millisecond).String())
	n.log.For("boot").Warn("the process stood still", "gap", gap)
	for _, vm := range n.members.Live(n.timer.Now()) {
		if vm.ID != n.opts.Self.ID && n.spreader.Beat(ctx, vm) {
			return
		}
	}
}

func (w *watchdog) note() {
	n := w.node
	ready := n.Ready()
	if n.wasReady.Swap(ready) == ready {
		return
	}
	kind := leverevent.NotReady
	if ready {
		kind = leverevent.Ready
	}
	n.events.Add(kind, string(n.opts.Self.ID), "")
}

// Leaving reports whether a planned stop has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave begins a planned stop: the VM says that it is not ready, its peers give
// its homes to others, and requests are still taken in.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.events.Add(leverevent.Stopping, string(n.opts.Self.ID), "")
	n.members.LeaveSelf()
	var wg sync.WaitGroup
	for _, vm := range n.members.Live(n.timer.Now()) {
		f := &farewell{node: n, vm: vm, wg: &wg}
		wg.Add(1)
		go f.run()
	}
	wg.Wait()
}

// farewell tells one VM that this one is leaving.
type farewell struct {
	node *Node
	vm   levermsg.VM
	wg   *sync.WaitGroup
}

func (f *farewell) run() {
	defer f.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	// Frames carry the same word; a VM that misses this one hears it then.
	_ = f.node.peers.Ask(ctx, f.vm, leverpeer.KindLeave, nil, nil)
}

const (
	drainLook  = 20 * time.Millisecond
	drainQuiet = 200 * time.Millisecond
)

// ErrCut means that a stop's limit passed with requests in flight.
const ErrCut = errors.ConstError("requests were in flight at the end of the stop")

// Drain waits until nothing is in flight, neither for callers nor for peers.
// It returns ErrCut if ctx ends first.
func (n *Node) Drain(ctx context.Context) error {
	quiet := time.Duration(0)
	ticks := n.timer.Every(drainLook)
	defer ticks.Stop()
	for quiet < drainQuiet {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ErrCut
		}
		quiet += drainLook
		if n.engine.InFlight() > 0 || n.server.Busy() > 0 {
			quiet = 0
		}
	}
	return nil
}

// Stop ends the loops and the connections.
func (n *Node) Stop() {
	n.events.Add(leverevent.Stopped, string(n.opts.Self.ID), "")
	n.mu.Lock()
	cancel := n.cancel
	n.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	n.peers.Close()
	n.server.Close()
}

// Usable reports whether the VM can answer a request that reaches it, ready or
// not: it has a configuration.
func (n *Node) Usable() bool { return n.booted.Load() }
