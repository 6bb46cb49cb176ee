package leverkernel

import (
	"context"
	"net"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

const (
	// loneTime is how long a VM may hear neither the store nor a peer before
	// it says that it is not ready.
	loneTime = 10 * time.Second
	// pulse is how often the watchdog looks; a gap of freezeGap more means
	// that the process stood still.
	pulse     = 200 * time.Millisecond
	freezeGap = time.Second
	// farewellTime bounds how long a stopping VM waits for its peers to hear of
	// it.
	farewellTime = 100 * time.Millisecond
)

// Start fetches the configuration and begins to follow it, and serves peers on a
// listener. It returns at once; Ready tells when the node can take requests.
func (n *Node) Start(peers net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.started = n.Timer().Now()
	n.node.Start(peers)
	w := &watchdog{node: n}
	go w.run(ctx)
}

// Ready reports whether the VM should get requests: it has a configuration, is
// not leaving, and heard from the store or a peer lately.
func (n *Node) Ready() bool {
	if n.leaving.Load() || !n.Usable() {
		return false
	}
	return len(n.Members().List()) < 2 || n.node.Silence() < loneTime
}

// Usable reports whether the VM can answer a request that reaches it, ready or
// not: it has a configuration.
func (n *Node) Usable() bool { return n.node.Engine().Directory.View().Usable() }

// watchdog notes changes of readiness and standstills.
type watchdog struct{ node *Node }

func (w *watchdog) run(ctx context.Context) {
	n := w.node
	last := n.Timer().Now()
	ticks := n.Timer().Every(pulse)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now := n.Timer().Now()
		// The wall clock shows a standstill also where the monotonic one
		// stops with the VM.
		gap := max(levertimer.Gap(last, now, pulse), now.Round(0).Sub(last.Round(0))-pulse)
		last = now
		if gap > freezeGap {
			n.Events().Add(leverevent.Frozen, string(n.opts.Self.ID), gap.Round(time.Millisecond).String())
			n.log.Warn("the process stood still", "gap", gap)
		}
		n.claimStore.SetRate(n.claimRate())
		w.note()
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
	n.Events().Add(kind, string(n.opts.Self.ID), "")
}

// Leaving reports whether a planned stop has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave begins a planned stop: the VM says that it is not ready, its peers hear
// of it, and requests are still taken in.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.Events().Add(leverevent.Stopping, string(n.opts.Self.ID), "")
	n.node.Leave()
	var wg sync.WaitGroup
	for _, vm := range n.Members().Live(n.Timer().Now()) {
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
	ctx, cancel := context.WithTimeout(context.Background(), farewellTime)
	defer cancel()
	// Frames carry the same word; a VM that misses this one hears it then.
	_ = f.node.node.Peers().Ask(ctx, f.vm, leverpeer.KindPing, nil, nil)
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
	ticks := n.Timer().Every(drainLook)
	defer ticks.Stop()
	for quiet < drainQuiet {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ErrCut
		}
		quiet += drainLook
		if n.engine.InFlight() > 0 || n.node.Busy() > 0 {
			quiet = 0
		}
	}
	return nil
}

// Stop ends the loops and the connections.
func (n *Node) Stop() {
	n.Events().Add(leverevent.Stopped, string(n.opts.Self.ID), "")
	n.cancel()
	n.node.Stop()
}
