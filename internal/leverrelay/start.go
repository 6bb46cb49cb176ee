package leverrelay

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

const (
	// seedRetryDelay is the delay before a seed that did not answer is asked again.
	seedRetryDelay = 40 * time.Millisecond
	// seedPollInterval is how often a VM checks whether a seed has answered.
	seedPollInterval = 5 * time.Millisecond
)

// learnVMs asks all seeds for the list of VMs, until one has answered or
// seedTimeout has passed. With the list, a VM follows its parent in the tree, so
// that the seeds need not send the complete collections to all VMs.
func (r *Relay) learnVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	for _, s := range r.parents() {
		l := &learner{relay: r, seed: s}
		go l.run(ctx)
	}
	for r.Members.Len() == 0 && r.Timer.Sleep(ctx, seedPollInterval) {
	}
}

// learner asks one seed for the list of VMs.
type learner struct {
	relay *Relay
	seed  levermsg.VM
}

func (l *learner) run(ctx context.Context) {
	for !l.ask(ctx) && l.relay.Timer.Sleep(ctx, seedRetryDelay) {
	}
}

// ask reports whether the seed has answered with VMs.
func (l *learner) ask(ctx context.Context) bool {
	call, err := l.relay.Peers.Call(ctx, l.seed, leverpeer.KindFollow, &FollowRequest{OnlyVMs: true})
	if err != nil {
		l.relay.Log.Debug("asking a seed for the VMs failed", "seed", l.seed.ID, "err", err)
		return false
	}
	defer call.Close()
	body, _, err := call.Next(ctx)
	if err != nil {
		return false
	}
	u, err := DecodeUpdate(body)
	if err != nil {
		l.relay.Log.Error("the list of VMs of a seed could not be decoded", "seed", l.seed.ID, "err", err)
		return false
	}
	if u.Returned > 0 {
		l.askAll(ctx)
	}
	l.relay.Mirror.Merge(u)
	// At the first start of a fleet the list is empty until VMs have written their
	// entries.
	return l.relay.Members.Len() > 0
}

// askAll takes over all that a seed knows, because the store has just come back from an
// older copy and this VM knows nothing of the time before.
func (l *learner) askAll(ctx context.Context) {
	call, err := l.relay.Peers.Call(ctx, l.seed, leverpeer.KindFollow, &FollowRequest{Packed: true})
	if err != nil {
		l.relay.Log.Debug("asking a seed for its collections failed", "seed", l.seed.ID, "err", err)
		return
	}
	defer call.Close()
	body, _, err := call.Next(ctx)
	if err != nil {
		return
	}
	u, err := DecodeUpdate(body)
	if err != nil {
		l.relay.Log.Error("the collections of a seed could not be decoded", "seed", l.seed.ID, "err", err)
		return
	}
	l.relay.Mirror.Merge(u)
}

// serveVMs sends the list of VMs as soon as it is known.
func (r *Relay) serveVMs(req *leverpeer.Request) error {
	for {
		u, changed := r.Mirror.VMs()
		if u != nil {
			return req.Reply(u, true)
		}
		select {
		case <-changed:
		case <-req.Ctx.Done():
			return nil
		}
	}
}

// VMsKnown reports whether the list of VMs has been read, even if it is empty.
func (m *Mirror) VMsKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms.revision > 0
}

// VMs returns an update that holds the VMs only, or nil if they are not known, and
// a channel that is closed at the next change.
func (m *Mirror) VMs() (*Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vms.revision == 0 {
		return nil, m.changed
	}
	return &Update{Reset: true, VMs: m.vms.since(0), Returned: m.returnedFor()}, m.changed
}
