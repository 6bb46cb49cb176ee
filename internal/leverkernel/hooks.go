package leverkernel

import (
	"context"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverspread"
)

// hooks learns from the frames that pass between VMs.
type hooks struct{ node *Node }

// Say returns what goes with a frame to send.
func (h *hooks) Say() leverpeer.Remark {
	n := h.node
	return leverpeer.Remark{Stamp: n.events.Stamp(), Config: n.ConfigVersion(), Leaving: n.leaving.Load()}
}

// Heard takes in what a peer's frame said.
func (h *hooks) Heard(vm levermsg.VM, r leverpeer.Remark) {
	n := h.node
	now := n.timer.Now()
	n.events.Observe(r.Stamp)
	n.contact.Store(now.UnixNano())
	n.members.Met(vm, now)
	if n.members.Answered(vm.ID) {
		n.events.Add(leverevent.PeerUp, string(vm.ID), "")
	}
	if r.Leaving {
		n.left(vm.ID)
	} else {
		n.members.Stays(vm.ID)
	}
	if r.Config > n.ConfigVersion() {
		n.catchUp(vm)
	}
}

// Down takes in that a peer does not answer.
func (h *hooks) Down(id leverid.VMID, reason error) {
	n := h.node
	if n.members.Failed(id, n.timer.Now()) {
		n.events.Add(leverevent.PeerDown, string(id), reason.Error())
	}
}

func (n *Node) left(id leverid.VMID) {
	if n.members.Left(id, n.timer.Now()) {
		n.events.Add(leverevent.PeerLeaving, string(id), "")
	}
}

// catchUp asks a peer that has a newer configuration, one such question at a
// time.
func (n *Node) catchUp(vm levermsg.VM) {
	if !n.caughtUp.CompareAndSwap(true, false) {
		return
	}
	c := &catcher{node: n, vm: vm}
	go c.run()
}

// catcher fetches what a peer has and this VM lacks.
type catcher struct {
	node *Node
	vm   levermsg.VM
}

func (c *catcher) run() {
	defer c.node.caughtUp.Store(true)
	c.node.counters.Add("config-catch-ups", 1)
	c.node.spreader.Beat(context.Background(), c.vm)
}

// exchanger carries the spreader's messages.
type exchanger struct{ node *Node }

// Exchange sends one message to a VM and returns its reply.
func (e *exchanger) Exchange(ctx context.Context, vm levermsg.VM, m *leverspread.Message) (*leverspread.Reply, error) {
	var r leverspread.Reply
	if err := e.node.peers.Ask(ctx, vm, leverpeer.KindSpread, m, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
