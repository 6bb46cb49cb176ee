package leverkernel

import (
	"context"
	"fmt"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

type claimMessage struct {
	ID    leverclaim.ID    `msgpack:"i"`
	Nonce leverclaim.Nonce `msgpack:"n"`
}

// claimResult is the code of a claim's end. It is part of the peer protocol.
type claimResult uint8

const (
	claimStands claimResult = iota
	claimTaken
	claimFull
	claimUnsettled
	claimUnavailable
)

type claimReply struct {
	Result claimResult `msgpack:"r"`
}

func (r claimReply) err() error {
	switch r.Result {
	case claimStands:
		return nil
	case claimTaken:
		return leverclaim.ErrTaken
	case claimFull:
		return leverclaim.ErrFull
	case claimUnsettled:
		return leverclaim.ErrUnsettled
	}
	return leverstore.ErrUnavailable
}

// claims brings claims to the VM that groups the writes of their range. If that
// VM can't be reached, this VM writes itself: two writers meet in the
// conditional update.
type claims struct{ node *Node }

// Claim claims a request's id.
func (c *claims) Claim(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error {
	return c.send(ctx, leverpeer.KindClaim, claimMessage{id, n}, c.node.ledger.Claim)
}

// Release gives a claim up.
func (c *claims) Release(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error {
	return c.send(ctx, leverpeer.KindRelease, claimMessage{id, n}, c.node.ledger.Release)
}

type ledgerCall func(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error

func (c *claims) send(ctx context.Context, kind leverpeer.Kind, m claimMessage, local ledgerCall) error {
	n := c.node
	key := fmt.Sprintf("claim-range-%d", leverclaim.RangeOf(m.ID))
	vm, ok := levermember.Owner(key, n.Members().Live(n.Timer().Now()))
	if !ok || vm.ID == n.opts.Self.ID {
		return local(ctx, m.ID, m.Nonce)
	}
	var r claimReply
	err := n.node.Peers().Ask(ctx, vm, kind, m, &r)
	switch {
	case err == nil:
		return r.err()
	case ctx.Err() != nil:
		return errors.Annotate(leverclaim.ErrUnsettled, err.Error())
	}
	// The nonce makes the second call safe if the first took effect.
	n.Counters().Add("claim-home-lost", 1)
	return local(ctx, m.ID, m.Nonce)
}
