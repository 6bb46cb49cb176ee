package leverkernel

import (
	"context"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/juju/errors"
)

// handler serves the requests of peers that are the own face's.
type handler struct{ node *Node }

// Serve handles one request.
func (h *handler) Serve(r *leverpeer.Request) error {
	switch r.Kind {
	case leverpeer.KindClaim, leverpeer.KindRelease:
		return h.claim(r)
	case leverpeer.KindStatus:
		return h.status(r)
	}
	return errors.NotSupportedf("request kind %d", r.Kind)
}

func (h *handler) claim(r *leverpeer.Request) error {
	var m claimMessage
	if err := r.Decode(&m); err != nil {
		return err
	}
	act := h.node.ledger.Claim
	if r.Kind == leverpeer.KindRelease {
		act = h.node.ledger.Release
	}
	ctx, cancel := context.WithTimeout(r.Ctx, claimTimeout)
	defer cancel()
	return r.Reply(claimReply{Result: resultOf(act(ctx, m.ID, m.Nonce))}, true)
}

func (h *handler) status(r *leverpeer.Request) error {
	var m statusMessage
	if err := r.Decode(&m); err != nil {
		return err
	}
	return r.Reply(h.node.gatherStatus(r.Ctx, &m), true)
}

// resultOf turns a ledger's error into its code.
func resultOf(err error) claimResult {
	switch {
	case err == nil:
		return claimStands
	case errors.Is(err, leverclaim.ErrTaken):
		return claimTaken
	case errors.Is(err, leverclaim.ErrFull):
		return claimFull
	case errors.Is(err, leverclaim.ErrUnsettled):
		return claimUnsettled
	}
	return claimUnavailable
}
