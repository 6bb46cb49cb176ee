package leverrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

const (
	// offerInterval is the time between two offers of a VM that watches the store
	// for lack of a parent.
	offerInterval = time.Second
	// offerTimeout limits the time to send one.
	offerTimeout = 200 * time.Millisecond
	// offerTTL is how long an offer is valid.
	offerTTL = 500 * time.Millisecond
)

// offers holds the VM that has offered itself as a parent. Without offers, each VM
// would watch the store itself while the store turns the watch candidates away.
// The zero value is ready to use. It is safe for concurrent use.
type offers struct {
	mu    sync.Mutex
	vm    levermsg.VM
	until time.Time
	// interrupt ends the call by which this VM follows a VM without a path.
	interrupt context.CancelFunc
	// sentAt is when this VM has made its last offer.
	sentAt time.Time
}

// add records an offer.
func (o *offers) add(vm levermsg.VM, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vm, o.until = vm, now.Add(offerTTL)
	if o.interrupt != nil {
		o.interrupt()
	}
}

// take returns the VM that has offered itself, if any, and forgets it.
func (o *offers) take(now time.Time) []levermsg.VM {
	o.mu.Lock()
	defer o.mu.Unlock()
	valid := now.Before(o.until)
	o.until = time.Time{}
	if !valid {
		return nil
	}
	return []levermsg.VM{o.vm}
}

// waiting reports whether there is an offer.
func (o *offers) waiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.until.IsZero()
}

func (o *offers) setInterrupt(f context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interrupt = f
}

// due reports whether this VM should make an offer now.
func (o *offers) due(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.sentAt) < offerInterval {
		return false
	}
	o.sentAt = now
	return true
}

// ServeOffer records the offer of a peer, unless this VM has a path to the store.
func (r *Relay) ServeOffer(req *leverpeer.Request) error {
	if !r.Mirror.Current() {
		r.offers.add(req.From, r.Timer.Now())
	}
	return req.Reply(nil, true)
}

// offerPath offers this VM as a parent to the watch candidates, through which the
// others follow it.
func (r *Relay) offerPath(ctx context.Context) {
	if !r.offers.due(r.Timer.Now()) {
		return
	}
	for _, vm := range r.WatchCandidates() {
		o := &offerSender{relay: r, to: vm}
		go o.run(ctx)
	}
}

type offerSender struct {
	relay *Relay
	to    levermsg.VM
}

func (o *offerSender) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if err := o.relay.Peers.Invoke(ctx, o.to, leverpeer.KindOffer, nil, nil); err != nil {
		o.relay.Log.Debug("offer to a watch candidate failed", "to", o.to.ID, "err", err)
	}
}

// followUntilOffer follows a VM. While that has no path to the store, an offer of
// another VM ends it.
func (r *Relay) followUntilOffer(ctx context.Context, vm levermsg.VM, f *FollowRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.offers.setInterrupt(cancel)
	defer r.offers.setInterrupt(nil)
	r.follow(ctx, vm, f)
}

// parentHasPath asks the preferred parent whether it has a path to the store that
// does not lead through this VM.
func (r *Relay) parentHasPath(ctx context.Context) bool {
	parents := r.parents()
	if len(parents) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	call, err := r.Peers.Call(ctx, parents[0], leverpeer.KindFollow, &FollowRequest{OnlyPath: true, Packed: true})
	if err != nil {
		return false
	}
	defer call.Close()
	body, _, err := call.Next(ctx)
	if err != nil {
		return false
	}
	u, err := DecodeUpdate(body)
	return err == nil && len(u.Path) > 0 && !slices.Contains(u.Path, r.Self)
}
