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

// claimMessage asks a peer to claim or release an id.
type claimMessage struct {
	ID    leverclaim.ID    `msgpack:"i"`
	Nonce leverclaim.Nonce `msgpack:"n"`
}

// claimResult is the result code of a claim or release. It is part of the peer
// protocol.
type claimResult uint8

const (
	claimGranted claimResult = iota
	claimTaken
	claimFull
	claimIndeterminate
	claimUnavailable
)

type claimReply struct {
	Result claimResult `msgpack:"r"`
}

func (r claimReply) err() error {
	switch r.Result {
	case claimGranted:
		return nil
	case claimTaken:
		return leverclaim.ErrTaken
	case claimFull:
		return leverclaim.ErrFull
	case claimIndeterminate:
		return leverclaim.ErrIndeterminate
	}
	return leverstore.ErrUnavailable
}

// claimRouter sends each claim to the VM that batches the writes of its range,
// the stored object that holds the claim. If the call to that VM fails, this VM
// writes the claim itself; conditional updates resolve conflicts between the
// two.
type claimRouter struct{ node *Node }

// Claim claims a request's id.
func (c *claimRouter) Claim(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error {
	return c.route(ctx, leverpeer.KindClaim, claimMessage{id, n}, c.node.ledger.Claim)
}

// Release releases the claim of a request's id.
func (c *claimRouter) Release(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error {
	return c.route(ctx, leverpeer.KindRelease, claimMessage{id, n}, c.node.ledger.Release)
}

// ledgerFunc is a method of [leverclaim.Ledger].
type ledgerFunc func(ctx context.Context, id leverclaim.ID, n leverclaim.Nonce) error

func (c *claimRouter) route(ctx context.Context, kind leverpeer.Kind, m claimMessage, local ledgerFunc) error {
	n := c.node
	key := fmt.Sprintf("claim-range-%d", leverclaim.RangeOf(m.ID))
	vm, ok := levermember.Owner(key, n.Members().Live(n.Timer().Now()))
	if !ok || vm.ID == n.opts.Self.ID {
		return local(ctx, m.ID, m.Nonce)
	}
	var r claimReply
	err := n.node.Peers().Invoke(ctx, vm, kind, m, &r)
	switch {
	case err == nil:
		return r.err()
	case ctx.Err() != nil:
		return errors.Annotate(leverclaim.ErrIndeterminate, err.Error())
	}
	// The nonce makes the second call idempotent if the first took effect.
	n.Counters().Add("claim-home-lost", 1)
	return local(ctx, m.ID, m.Nonce)
}
