package leverstore

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// RateLimited is a Store that limits the rate of calls to another Store. A call
// waits until the limit allows it; if its context would end before that, it
// fails at once with ErrUnavailable.
type RateLimited struct {
	store   Store
	limiter *rate.Limiter
}

// NewRateLimited limits the calls to s to perSecond per second.
func NewRateLimited(s Store, perSecond float64) *RateLimited {
	return &RateLimited{store: s, limiter: rate.NewLimiter(rate.Limit(perSecond), burstFor(perSecond))}
}

func burstFor(perSecond float64) int { return max(int(perSecond), 1) }

// SetRate changes the limit to perSecond calls per second.
func (l *RateLimited) SetRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(burstFor(perSecond))
}

func (l *RateLimited) wait(ctx context.Context) error {
	if err := l.limiter.Wait(ctx); err != nil {
		return errors.Annotate(ErrUnavailable, err.Error())
	}
	return nil
}

// Get returns an object.
func (l *RateLimited) Get(ctx context.Context, key leverid.ObjectKey) (Object, error) {
	if err := l.wait(ctx); err != nil {
		return Object{}, err
	}
	return l.store.Get(ctx, key)
}

// Put writes an object if its revision is match.
func (l *RateLimited) Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error) {
	if err := l.wait(ctx); err != nil {
		return 0, err
	}
	return l.store.Put(ctx, key, value, match)
}

// List returns the objects whose key begins with prefix.
func (l *RateLimited) List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error) {
	if err := l.wait(ctx); err != nil {
		return Changes{}, err
	}
	return l.store.List(ctx, prefix)
}

// Watch waits up to wait for a change after since to the objects whose key
// begins with prefix.
func (l *RateLimited) Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error) {
	if err := l.wait(ctx); err != nil {
		return Changes{}, err
	}
	return l.store.Watch(ctx, prefix, since, wait)
}

// Delete removes an object if its revision is match.
func (l *RateLimited) Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error {
	if err := l.wait(ctx); err != nil {
		return err
	}
	return l.store.Delete(ctx, key, match)
}

// VMs waits up to wait for a list of VMs newer than since.
func (l *RateLimited) VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error) {
	if err := l.wait(ctx); err != nil {
		return VMList{}, err
	}
	return l.store.VMs(ctx, since, wait)
}
