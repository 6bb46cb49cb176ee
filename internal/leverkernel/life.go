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
	// isolationTimeout is the time without a response from the store or a
	// peer after which the VM reports that it is not ready.
	isolationTimeout = 10 * time.Second
	// watchdogInterval is the interval between the watchdog's checks. If one
	// is late by more than freezeThreshold, the process was suspended.
	watchdogInterval = 200 * time.Millisecond
	suspendThreshold = time.Second
	// leaveNoticeTimeout bounds how long a stopping VM waits for its peers to
	// acknowledge the notice.
	leaveNoticeTimeout = 100 * time.Millisecond
)

// Start fetches the configuration, watches it for changes, and serves peers on
// the listener. It returns immediately; Ready reports when the node can receive
// requests.
func (n *Node) Start(peers net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.started = n.Timer().Now()
	n.node.Start(peers)
	w := &watchdog{node: n}
	go w.run(ctx)
}

// Ready reports whether the VM should receive requests: it has a configuration,
// is not leaving, and the store or a peer has responded within
// isolationTimeout. The last condition does not apply while fewer than two VMs
// are listed.
func (n *Node) Ready() bool {
	if n.leaving.Load() || !n.Usable() {
		return false
	}
	return len(n.Members().List()) < 2 || n.node.IsolatedFor() < isolationTimeout
}

// Usable reports whether the VM has a configuration. If so, it answers the
// requests that it receives even while it is not ready.
func (n *Node) Usable() bool { return n.node.Engine().Directory.View().Usable() }

// watchdog records changes of readiness and suspensions of the process. It also
// updates the rate limit for claims.
type watchdog struct{ node *Node }

func (w *watchdog) run(ctx context.Context) {
	n := w.node
	last := n.Timer().Now()
	ticks := n.Timer().Every(watchdogInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now := n.Timer().Now()
		// The monotonic clock may stop while the VM is suspended, so the
		// wall clock is compared too.
		gap := max(levertimer.Overrun(last, now, watchdogInterval), now.Round(0).Sub(last.Round(0))-watchdogInterval)
		last = now
		if gap > suspendThreshold {
			n.Events().Add(leverevent.Frozen, string(n.opts.Self.ID), gap.Round(time.Millisecond).String())
			n.log.Warn("the process was suspended", "gap", gap)
		}
		n.claimStore.SetRate(n.claimRate())
		w.recordReadiness()
	}
}

func (w *watchdog) recordReadiness() {
	n := w.node
	ready := n.Ready()
	if n.lastReady.Swap(ready) == ready {
		return
	}
	kind := leverevent.NotReady
	if ready {
		kind = leverevent.Ready
	}
	n.Events().Add(kind, string(n.opts.Self.ID), "")
}

// Leaving reports whether a planned stop has started.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave starts a planned stop: the VM reports that it is not ready and notifies
// its peers, but still accepts requests.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.Events().Add(leverevent.Stopping, string(n.opts.Self.ID), "")
	n.node.Leave()
	var wg sync.WaitGroup
	for _, vm := range n.Members().Live(n.Timer().Now()) {
		l := &leaveNotice{node: n, vm: vm, wg: &wg}
		wg.Add(1)
		go l.run()
	}
	wg.Wait()
}

// leaveNotice notifies one VM that this VM is leaving.
type leaveNotice struct {
	node *Node
	vm   levermsg.VM
	wg   *sync.WaitGroup
}

func (l *leaveNotice) run() {
	defer l.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), leaveNoticeTimeout)
	defer cancel()
	// An error can be ignored: each frame to a peer states that this VM is
	// leaving.
	_ = l.node.node.Peers().Invoke(ctx, l.vm, leverpeer.KindPing, nil, nil)
}

// EndBy makes all requests end by a time, with the answer that they have then,
// and refuses those that arrive too late to be answered by then.
func (n *Node) EndBy(at time.Time) {
	n.engine.EndBy(at)
	n.node.EndBy(at)
}

const (
	drainPollInterval = 20 * time.Millisecond
	// drainIdleTime is how long no request may be in flight before the VM
	// counts as drained.
	drainIdleTime = 200 * time.Millisecond
)

// ErrDrainTimeout means that requests were still in flight at the time limit of
// a stop.
const ErrDrainTimeout = errors.ConstError("requests were still in flight when the stop timed out")

// Drain waits until no request of a caller or a peer is in flight. It returns
// [ErrDrainTimeout] if ctx ends first.
func (n *Node) Drain(ctx context.Context) error {
	idle := time.Duration(0)
	ticks := n.Timer().Every(drainPollInterval)
	defer ticks.Stop()
	for idle < drainIdleTime {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ErrDrainTimeout
		}
		idle += drainPollInterval
		if n.engine.InFlight() > 0 || n.node.Busy() > 0 {
			idle = 0
		}
	}
	return nil
}

// Stop stops the background work and closes the connections.
func (n *Node) Stop() {
	n.Events().Add(leverevent.Stopped, string(n.opts.Self.ID), "")
	n.cancel()
	n.node.Stop()
}
