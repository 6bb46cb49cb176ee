package leverrelay

import (
	"context"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
)

const (
	// retryDelay is the mean delay before the parents are tried again.
	retryDelay = 100 * time.Millisecond
	// fallbackParents is the number of other VMs that a VM follows in turn while
	// no parent has a path to the store. It follows each for fallbackTimeout.
	fallbackParents = 2
	fallbackTimeout = 2 * time.Second
	// minReplyInterval is the minimum time between two updates for one child.
	minReplyInterval = 20 * time.Millisecond
)

// FollowRequest is the request for all updates after a position.
type FollowRequest struct {
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
	// Packed says that the child accepts compressed updates.
	Packed bool `msgpack:"k,omitempty"`
	// OnlyVMs asks for the list of VMs only, in one update.
	OnlyVMs bool `msgpack:"v,omitempty"`
	// OnlyPath asks for the path to the store only, in one update.
	OnlyPath bool `msgpack:"p,omitempty"`
}

// runFollow follows one parent after the other until ctx ends.
func (r *Relay) runFollow(ctx context.Context) {
	positions := make(map[leverid.VMID]FollowRequest)
	if r.Members.Len() == 0 {
		r.learnVMs(ctx)
	}
	for ctx.Err() == nil {
		if r.isLeader() {
			r.Timer.Sleep(ctx, checkInterval)
			continue
		}
		for _, vm := range append(r.offers.take(r.Timer.Now()), append(r.parents(), r.fallbackParents()...)...) {
			f := positions[vm.ID]
			f.Packed = true
			r.followUntilOffer(ctx, vm, &f)
			if len(positions) > maxSavedPositions {
				clear(positions)
			}
			positions[vm.ID] = f
			if r.IsWatching() && r.StoreCurrent() || r.offers.waiting() {
				break
			}
		}
		r.Timer.Sleep(ctx, r.Timer.Jitter(retryDelay, 0.5))
	}
}

// isLeader reports whether this VM has the first rank and its watch is connected
// to the store. It then needs no parent.
func (r *Relay) isLeader() bool { return r.rank() == 0 && r.IsWatching() && r.StoreCurrent() }

// follow applies a parent's updates until the call fails or the parent has no
// path to the store. A VM that is not the preferred parent is left after
// fallbackTimeout, as soon as the preferred one has a path.
func (r *Relay) follow(ctx context.Context, vm levermsg.VM, f *FollowRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.setParent("", nil)
	started := r.Timer.Now()
	call, err := r.Peers.Call(ctx, vm, leverpeer.KindFollow, f)
	if err != nil {
		r.Log.Debug("request to follow a parent failed", "parent", vm.ID, "err", err)
		return
	}
	defer call.Close()
	for {
		waitCtx, stop := context.WithTimeout(ctx, parentCheckInterval)
		body, _, err := call.Next(waitCtx)
		timedOut := waitCtx.Err() != nil
		stop()
		if err != nil && timedOut && ctx.Err() == nil {
			if !r.hasPath() || r.isLeader() {
				return
			}
			if !r.isParent(vm) && r.Timer.Now().Sub(started) >= fallbackTimeout {
				if r.parentHasPath(ctx) {
					return
				}
				started = r.Timer.Now()
			}
			continue
		}
		if err != nil {
			r.Log.Debug("updates from the parent ended", "parent", vm.ID, "err", err)
			return
		}
		u, err := DecodeUpdate(body)
		if err != nil {
			r.Log.Error("update from the parent could not be decoded", "parent", vm.ID, "err", err)
			return
		}
		r.Mirror.Merge(u)
		f.Epoch, f.Seq = u.Epoch, u.Seq
		if slices.Contains(u.Path, r.Self) {
			u.Path = nil
		}
		r.setParent(vm.ID, u.Path)
		if len(u.Path) == 0 && !r.isParent(vm) {
			return
		}
	}
}

const (
	// parentCheckInterval is how long a child waits for an update before it
	// checks whether it follows the right parent. It leaves a parent without a
	// path to the store after that time.
	parentCheckInterval = 400 * time.Millisecond
	// maxSavedPositions bounds the parents whose last position a child keeps.
	maxSavedPositions = 16
)

// Serve sends updates to one child until the child ends the call.
func (r *Relay) Serve(req *leverpeer.Request) error {
	var f FollowRequest
	if err := req.Decode(&f); err != nil {
		return err
	}
	if f.OnlyVMs {
		return r.serveVMs(req)
	}
	if f.OnlyPath {
		return req.Reply(&Update{Path: r.Mirror.Path()}, true)
	}
	for {
		body, next, changed, err := r.Mirror.Encoded(f)
		if err != nil {
			return err
		}
		if err := req.Reply(body, false); err != nil {
			return err
		}
		f = next
		if !r.Timer.Sleep(req.Ctx, minReplyInterval) {
			return nil
		}
		select {
		case <-changed:
		case <-req.Ctx.Done():
			return nil
		}
	}
}
