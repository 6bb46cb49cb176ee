package leverstore

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// RateLimited is a Store that limits the rate of calls to another Store. A call
// waits until the limit allows it. It fails with ErrUnavailable if its context
// ends before that, and at once if the context's deadline is too early.
type RateLimited struct {
	store   Store
	limiter *rate.Limiter
}

// NewRateLimited limits the calls to s to perSecond per second. At the
// start and after a pause, up to one second's calls, at least one, pass at
// once. With 0, only one call passes: later ones fail at once if their context
// has a deadline, and wait for its end if it has none.
func NewRateLimited(s Store, perSecond float64) *RateLimited {
	return &RateLimited{store: s, limiter: rate.NewLimiter(rate.Limit(perSecond), burstFor(perSecond))}
}

func burstFor(perSecond float64) int { return max(int(perSecond), 1) }

// SetRate changes the limit to perSecond calls per second. With 0, at most one
// new call passes.
func (r *RateLimited) SetRate(perSecond float64) {
	r.limiter.SetLimit(rate.Limit(perSecond))
	r.limiter.SetBurst(burstFor(perSecond))
}

func (r *RateLimited) wait(ctx context.Context) error {
	if err := r.limiter.Wait(ctx); err != nil {
		return errors.Annotate(ErrUnavailable, err.Error())
	}
	return nil
}

// Get returns an object.
func (r *RateLimited) Get(ctx context.Context, key leverid.ObjectKey) (Object, error) {
	if err := r.wait(ctx); err != nil {
		return Object{}, err
	}
	return r.store.Get(ctx, key)
}

// Put writes an object if its revision is match.
func (r *RateLimited) Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error) {
	if err := r.wait(ctx); err != nil {
		return 0, err
	}
	return r.store.Put(ctx, key, value, match)
}

// List returns the objects whose key begins with prefix.
func (r *RateLimited) List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error) {
	if err := r.wait(ctx); err != nil {
		return Changes{}, err
	}
	return r.store.List(ctx, prefix)
}

// Watch waits up to wait, after the rate limit's own wait, for a change after
// since to the objects whose key begins with prefix.
func (r *RateLimited) Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error) {
	if err := r.wait(ctx); err != nil {
		return Changes{}, err
	}
	return r.store.Watch(ctx, prefix, since, wait)
}

// Delete removes an object if its revision is match.
func (r *RateLimited) Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error {
	if err := r.wait(ctx); err != nil {
		return err
	}
	return r.store.Delete(ctx, key, match)
}

// VMs waits up to wait, after the rate limit's own wait, for a list of VMs
// newer than since.
func (r *RateLimited) VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error) {
	if err := r.wait(ctx); err != nil {
		return VMList{}, err
	}
	return r.store.VMs(ctx, since, wait)
}
