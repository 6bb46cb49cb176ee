package levernode

import (
	"context"
	"net"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

const (
	// registerPause is the pause before the VM's own entry is written again.
	registerPause = time.Second
	// probePeriod is how often peers that count as down are asked.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds such a question.
	probeTimeout = 300 * time.Millisecond
	// goneAfter is how long a VM must have been silent before its entry in the
	// store is removed.
	goneAfter = 2 * time.Minute
)

// Start begins to follow the store and to serve peers. It returns at once.
func (n *Node) Start(peers net.Listener) {
	n.events.Add(leverevent.Started, string(n.opts.Self.ID), "")
	n.heard.Store(n.timer.Now().UnixNano())
	n.budget.Begin(n.timer.Now())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.listener = peers
	go n.runPeers(peers)
	go n.runRegister(ctx)
	go n.runProbes(ctx)
	go n.runRelay(ctx)
	go n.runShares(ctx)
	go n.runCrashes(ctx)
}

func (n *Node) runRelay(ctx context.Context) { n.relay.Run(ctx) }

func (n *Node) runPeers(ln net.Listener) { n.server.Run(ln) }

// runRegister writes this VM's own entry, and again if it is gone.
func (n *Node) runRegister(ctx context.Context) {
	for {
		if err := n.opts.Store.Register(ctx, n.opts.Self); err != nil {
			n.log.Warn("this VM's entry could not be written", "err", err)
			if !n.timer.Sleep(ctx, n.timer.Jitter(registerPause, 0.3)) {
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

// runShares keeps this VM's part of the slack up to date.
func (n *Node) runShares(ctx context.Context) {
	for {
		fanout, _ := n.shares()
		n.budget.SetShare(fanout)
		if !n.timer.Sleep(ctx, probePeriod) {
			return
		}
	}
}

// runProbes asks the peers that count as down whether they answer again.
func (n *Node) runProbes(ctx context.Context) {
	silent := make(map[leverid.VMID]time.Time)
	for n.timer.Sleep(ctx, probePeriod) {
		for _, vm := range n.members.Probes(n.timer.Now()) {
			if n.probe(ctx, vm) {
				delete(silent, vm.ID)
				continue
			}
			since, ok := silent[vm.ID]
			if !ok {
				silent[vm.ID] = n.timer.Now()
			} else if n.relay.Watches() && n.timer.Now().Sub(since) > goneAfter {
				n.removeGone(ctx, vm.ID)
				delete(silent, vm.ID)
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, vm levermsg.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := n.relays.Ask(ctx, vm, leverpeer.KindPing, nil, nil); err != nil {
		n.members.Failed(vm.ID, n.timer.Now())
		return false
	}
	return true
}

// removeGone removes the entry of a VM that has long been silent. If it lives
// after all, it writes its entry again.
func (n *Node) removeGone(ctx context.Context, id leverid.VMID) {
	err := n.opts.Store.Deregister(ctx, id)
	n.log.Info("the entry of a silent VM is removed", "vm", id, "silent-for", goneAfter, "err", err)
}

// SetTerms changes the bound of extra attempts.
func (n *Node) SetTerms(t leverbudget.Terms) { n.budget.SetTerms(t) }

// Leave tells the balancer and the peers that the VM is stopping.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.members.LeaveSelf()
}

// Busy returns the number of requests that are being run, those of other VMs and
// their calls included.
func (n *Node) Busy() int {
	if n.homes == nil {
		return n.engine.InFlight()
	}
	return n.engine.InFlight() + n.homes.Busy()
}

// Stop ends what Start began.
func (n *Node) Stop() {
	n.cancel()
	n.relays.Close()
	n.runs.Close()
	// An error means that the listener is closed already.
	_ = n.listener.Close()
	n.server.Close()
	n.engine.Pool.Close()
}
