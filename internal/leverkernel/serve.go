package leverkernel

import (
	"context"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverspread"

	"github.com/juju/errors"
)

// handler serves the requests of peers.
type handler struct{ node *Node }

// Serve handles one request.
func (h *handler) Serve(r *leverpeer.Request) error {
	switch r.Kind {
	case leverpeer.KindBatch:
		return h.batch(r)
	case leverpeer.KindClaim, leverpeer.KindRelease:
		return h.claim(r)
	case leverpeer.KindSpread:
		return h.spread(r)
	case leverpeer.KindCrash:
		return h.crash(r)
	case leverpeer.KindStatus:
		return h.status(r)
	case leverpeer.KindLeave:
		h.node.left(r.From.ID)
		return r.Reply(nil, true)
	}
	return errors.NotSupportedf("request kind %d", r.Kind)
}

// maxItems bounds the attempts of one batch.
const maxItems = 20000

func (h *handler) batch(r *leverpeer.Request) error {
	var b levermsg.Batch
	if err := r.Decode(&b); err != nil {
		return err
	}
	if len(b.Items) == 0 || len(b.Items) > maxItems || !b.Query.Rank.Valid() {
		return errors.BadRequestf("batch of %d attempts, rank %d", len(b.Items), b.Query.Rank)
	}
	c := newCollector(&b)
	run := h.node.home.Start(r.Ctx, &b, c.add)
	for {
		select {
		case <-c.signal:
			h.gather(c)
			res, last := c.take()
			if err := r.Reply(res, last); err != nil || last {
				run.WithdrawAll()
				return err
			}
		case body := <-r.Signals:
			h.withdraw(run, body)
		case <-r.Ctx.Done():
			run.WithdrawAll()
			return r.Ctx.Err()
		}
	}
}

// gather lets results that come close together share a message.
func (h *handler) gather(c *collector) {
	if c.done() {
		return
	}
	t := h.node.timer.After(gatherTime)
	defer t.Stop()
	<-t.C
}

func (h *handler) withdraw(run *leverhome.Run, body []byte) {
	var w levermsg.Withdraw
	if err := leverpeer.Decode(body, &w); err != nil {
		h.node.counters.Add("peer-bad-signals", 1)
		return
	}
	run.Withdraw(w.Attempts)
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

func (h *handler) spread(r *leverpeer.Request) error {
	var m leverspread.Message
	if err := r.Decode(&m); err != nil {
		return err
	}
	return r.Reply(h.node.spreader.Serve(r.From.ID, &m), true)
}

func (h *handler) crash(r *leverpeer.Request) error {
	var m crashMessage
	if err := r.Decode(&m); err != nil {
		return err
	}
	h.node.crashes.merge(m.Entries, r.From.ID)
	return r.Reply(nil, true)
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
