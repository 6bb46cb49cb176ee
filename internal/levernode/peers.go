package levernode

import (
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/juju/errors"
)

// hooks attaches this VM's state to the frames it sends, and updates the node
// from the frames it receives.
type hooks struct{ node *Node }

// LocalInfo returns this VM's SenderInfo for an outgoing frame.
func (h *hooks) LocalInfo() leverpeer.SenderInfo {
	info := leverpeer.SenderInfo{Stamp: h.node.events.Stamp(), Leaving: h.node.stopping.Load()}
	if c := h.node.engine.Directory.View().Config; c != nil {
		info.Config = c.Version
	}
	return info
}

// FrameReceived updates the node from the SenderInfo of a peer's frame.
func (h *hooks) FrameReceived(vm levermsg.VM, info leverpeer.SenderInfo) {
	n := h.node
	now := n.timer.Now()
	n.events.Observe(info.Stamp)
	n.lastContact.Store(now.UnixNano())
	n.members.MarkSeen(vm, now)
	if n.members.MarkUp(vm.ID) {
		n.log.Info("a peer answers again", "peer", vm.ID)
		n.events.Add(leverevent.PeerUp, string(vm.ID), "")
	}
	if !info.Leaving {
		n.members.ClearLeaving(vm.ID)
	} else if n.members.MarkLeaving(vm.ID, now) {
		n.log.Info("a peer is leaving", "peer", vm.ID)
		n.events.Add(leverevent.PeerLeaving, string(vm.ID), "")
	}
}

// PeerUnreachable records that a peer does not answer.
func (h *hooks) PeerUnreachable(id leverid.VMID, reason error) {
	if h.node.members.MarkDown(id, h.node.timer.Now()) {
		h.node.log.Warn("a peer is down", "peer", id, "err", reason)
		h.node.events.Add(leverevent.PeerDown, string(id), reason.Error())
	}
}

// dispatcher routes peer requests to the part that serves them.
type dispatcher struct{ node *Node }

// Serve serves one request of a peer.
func (d *dispatcher) Serve(r *leverpeer.Request) error {
	switch r.Kind {
	case leverpeer.KindFollow:
		return d.node.relay.Serve(r)
	case leverpeer.KindRun:
		return d.node.delegate.Serve(r)
	case leverpeer.KindOffer:
		return d.node.relay.ServeOffer(r)
	case leverpeer.KindBranch:
		return d.node.branches.Serve(r)
	case leverpeer.KindCall:
		if d.node.homes != nil {
			return d.node.homes.Serve(r)
		}
	case leverpeer.KindPing:
		return r.Reply(nil, true)
	case leverpeer.KindAllowance:
		return d.node.allowance.Serve(r)
	case leverpeer.KindCrashes:
		return d.node.serveCrashes(r)
	}
	if d.node.opts.PeerHandler != nil {
		return d.node.opts.PeerHandler.Serve(r)
	}
	return errors.NotSupportedf("peer request of kind %d", r.Kind)
}
