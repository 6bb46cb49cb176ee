package leverkernel

import (
	"context"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/juju/errors"
)

// peerHandler serves the requests from peers that belong to the native API.
type peerHandler struct{ node *Node }

// Serve handles one request from a peer.
func (h *peerHandler) Serve(r *leverpeer.Request) error {
	switch r.Kind {
	case leverpeer.KindClaim, leverpeer.KindRelease:
		return h.claim(r)
	case leverpeer.KindStatus:
		return h.status(r)
	}
	return errors.NotSupportedf("peer request of kind %d", r.Kind)
}

func (h *peerHandler) claim(r *leverpeer.Request) error {
	var m claimMessage
	if err := r.Decode(&m); err != nil {
		return err
	}
	apply := h.node.ledger.Claim
	if r.Kind == leverpeer.KindRelease {
		apply = h.node.ledger.Release
	}
	ctx, cancel := context.WithTimeout(r.Ctx, claimTimeout)
	defer cancel()
	return r.Reply(claimReply{Result: claimResultOf(apply(ctx, m.ID, m.Nonce))}, true)
}

func (h *peerHandler) status(r *leverpeer.Request) error {
	var m statusMessage
	if err := r.Decode(&m); err != nil {
		return err
	}
	return r.Reply(h.node.collectStatus(r.Ctx, &m), true)
}

// claimResultOf returns the result code of a ledger's error.
func claimResultOf(err error) claimResult {
	switch {
	case err == nil:
		return claimGranted
	case errors.Is(err, leverclaim.ErrTaken):
		return claimTaken
	case errors.Is(err, leverclaim.ErrFull):
		return claimFull
	case errors.Is(err, leverclaim.ErrIndeterminate):
		return claimIndeterminate
	}
	return claimUnavailable
}
