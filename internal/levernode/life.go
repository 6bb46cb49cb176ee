package levernode

import (
	"context"
	"net"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

const (
	// registerRetry is the pause before a failed write of the VM's own entry is
	// retried.
	registerRetry = time.Second
	// listWait is how long a VM that has just started waits for the list of VMs. If
	// the list has its entry from before a restart, it does not write it again.
	listWait = 1500 * time.Millisecond
	// listPollInterval is how often it looks for the list.
	listPollInterval = 50 * time.Millisecond
	// probeInterval is the interval of the probes of peers that are down.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits such a probe.
	probeTimeout = 300 * time.Millisecond
	// removeAfter is how long a VM must have been unresponsive before its entry
	// in the store is removed.
	removeAfter = 2 * time.Minute
)

// Start starts following the store and serving peers, and returns.
func (n *Node) Start(peers net.Listener) {
	n.events.Add(leverevent.Started, string(n.opts.Self.ID), "")
	n.lastContact.Store(n.timer.Now().UnixNano())
	n.budget.SetStart(n.timer.Now())
	ctx, cancel := context.WithCancel(context.Background())
	n.ctx, n.cancel = ctx, cancel
	n.listener = peers
	go n.runPeers(peers)
	go n.runRegister(ctx)
	go n.runProbes(ctx)
	go n.runRelay(ctx)
	go n.runShares(ctx)
	go n.runCrashLevels(ctx)
	go n.runCrashEvidence(ctx)
	go n.runPauses(ctx)
	if n.evacuations != nil {
		go n.runEvacuationsWait(ctx)
	}
	if n.archive != nil {
		go n.runLevelsWait(ctx)
	}
	go n.runAllowance(ctx)
}

func (n *Node) runPauses(ctx context.Context) { n.pauses.Run(ctx) }

func (n *Node) runRelay(ctx context.Context) { n.relay.Run(ctx) }

func (n *Node) runPeers(ln net.Listener) { n.server.Run(ln) }

// awaitList waits for the list of VMs, which has this VM's entry from before a
// restart.
func (n *Node) awaitList(ctx context.Context) {
	until := n.timer.Now().Add(listWait)
	for !n.mirror.VMsKnown() && n.timer.Now().Before(until) && n.timer.Sleep(ctx, listPollInterval) {
	}
}

// ownEntry returns this VM's entry in the list.
func (n *Node) ownEntry() (entry levermsg.VM, listed bool) {
	list := n.members.List()
	if i := indexVM(list, n.opts.Self.ID); i >= 0 {
		return list[i], true
	}
	return levermsg.VM{}, false
}

// indexVM returns the index of a VM in the list, or -1.
func indexVM(list []levermsg.VM, id leverid.VMID) int {
	return slices.IndexFunc(list, func(vm levermsg.VM) bool { return vm.ID == id })
}

// runRegister writes this VM's own entry unless the list has it already, and writes
// it again when it has been removed.
func (n *Node) runRegister(ctx context.Context) {
	n.awaitList(ctx)
	old, listed := n.ownEntry()
	n.isNew.Store(n.mirror.VMsKnown() && !listed)
	n.wasListed.Store(listed && n.timer.Now().Unix()-old.Since > int64(leverallow.JoinSilence/time.Second))
	self := n.opts.Self
	self.Since = n.timer.Now().Unix()
	for first := true; ; first = false {
		entry, listed := n.ownEntry()
		if listed {
			self.Since = entry.Since
		}
		if first && entry == self {
			n.log.Debug("this VM's entry is listed already", "since", self.Since)
		} else if err := n.opts.Store.Register(ctx, self); err != nil {
			n.log.Warn("this VM's entry could not be written", "err", err)
			if !n.timer.Sleep(ctx, n.timer.Jitter(registerRetry, 0.3)) {
				return
			}
			continue
		}
		n.registered.Store(true)
		select {
		case <-n.register:
		case <-ctx.Done():
			return
		}
	}
}

// runProbes probes the peers that are down, and removes the entries of those
// that stay unresponsive.
func (n *Node) runProbes(ctx context.Context) {
	for n.timer.Sleep(ctx, probeInterval) {
		for _, vm := range n.members.Probes(n.timer.Now()) {
			if !n.probe(ctx, vm) && n.relay.IsWatching() && n.members.DownFor(vm.ID, n.timer.Now()) > removeAfter {
				r := &entryRemoval{n, []string{string(vm.ID)}}
				go r.run(ctx)
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, vm levermsg.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := n.controlPeers.Invoke(ctx, vm, leverpeer.KindPing, nil, nil); err != nil {
		n.members.MarkDown(vm.ID, n.timer.Now())
		return false
	}
	return true
}

// SetTerms sets the limits on extra attempts.
func (n *Node) SetTerms(t leverbudget.Terms) { n.budget.SetTerms(t) }

// Leave makes the VM report to the balancer and to its peers that it is
// stopping.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.members.MarkSelfLeaving()
}

// EndBy makes all requests end by a time, and refuses those that arrive too late
// for it.
func (n *Node) EndBy(at time.Time) { n.engine.EndBy(at) }

// Busy returns the number of requests in flight, including those of other VMs
// and the calls that this VM makes for them.
func (n *Node) Busy() int {
	if n.homes == nil {
		return n.engine.InFlight()
	}
	return n.engine.InFlight() + n.homes.Busy()
}

// Stop stops everything that Start started.
func (n *Node) Stop() {
	n.cancel()
	n.controlPeers.Close()
	n.workPeers.Close()
	// An error means that the listener was already closed.
	_ = n.listener.Close()
	n.server.Close()
	n.engine.Pool.Close()
}
