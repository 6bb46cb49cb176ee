package leverclaim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// Keeper is the part of the store that the ledger needs.
type Keeper interface {
	Get(ctx context.Context, key leverid.ObjectKey) (leverstore.Object, error)
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error)
}

const (
	// commitGap is the least time between two writes of one range; the claims
	// that come meanwhile share the next write.
	commitGap = 5 * time.Millisecond
	// commitTries bounds how often one batch meets a conflict before it is
	// refused.
	commitTries = 6
	// queueLength bounds the claims that wait for one range.
	queueLength = 4096
)

// ErrUnsettled means that it could not be found out whether the claim stands.
// The request must not be sent.
const ErrUnsettled = errors.ConstError("claim could not be settled")

// Ledger claims ids in the store. Several VMs may run ledgers for one range at
// once; the conditional update settles between them. Its exported fields must
// be set before its first use. It is safe for concurrent use.
type Ledger struct {
	Store    Keeper
	Timer    *levertimer.Service
	Counters *leverevent.Counters
	// Keep returns how long a new claim stands.
	Keep func() time.Duration
	// Timeout bounds the settling of one batch.
	Timeout time.Duration

	mu      sync.Mutex
	workers map[RangeID]*worker
}

type change struct {
	id     ID
	nonce  Nonce
	remove bool
	ctx    context.Context
	done   chan error
}

// Claim claims an id. A nil error means that the claim stands in the store.
// The errors are ErrTaken, ErrFull, ErrUnsettled, leverstore.ErrUnavailable
// and those of the context.
func (l *Ledger) Claim(ctx context.Context, id ID, n Nonce) error {
	return l.submit(ctx, change{id: id, nonce: n})
}

// Release gives up a claim whose request was certainly not run.
func (l *Ledger) Release(ctx context.Context, id ID, n Nonce) error {
	return l.submit(ctx, change{id: id, nonce: n, remove: true})
}

func (l *Ledger) submit(ctx context.Context, c change) error {
	c.ctx = ctx
	c.done = make(chan error, 1)
	if !l.enqueue(RangeOf(c.id), c) {
		return errors.Annotate(leverstore.ErrUnavailable, "too many claims wait")
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errors.Annotate(ErrUnsettled, ctx.Err().Error())
	}
}

func (l *Ledger) enqueue(r RangeID, c change) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workers == nil {
		l.workers = make(map[RangeID]*worker)
	}
	w := l.workers[r]
	if w == nil {
		w = &worker{ledger: l, key: leverid.ObjectKey(fmt.Sprintf("%s%02d", leverstore.ClaimPrefix, r))}
		l.workers[r] = w
	}
	if len(w.waiting) >= queueLength {
		return false
	}
	w.waiting = append(w.waiting, c)
	if !w.running {
		w.running = true
		go w.run()
	}
	return true
}

// worker writes the claims of one range. It runs only while claims wait.
type worker struct {
	ledger  *Ledger
	key     leverid.ObjectKey
	waiting []change
	running bool

	// known is the stored object as last seen; it is only used by run.
	known    *Range
	revision leverstore.Revision
}

func (w *worker) run() {
	for {
		batch := w.take()
		if batch == nil {
			return
		}
		w.commit(batch)
		w.ledger.Timer.Sleep(context.Background(), commitGap)
	}
}

func (w *worker) take() []change {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	batch := w.waiting
	w.waiting = nil
	w.running = len(batch) > 0
	return batch
}

// commit settles a batch with one conditional update, again after a conflict.
func (w *worker) commit(batch []change) {
	ctx, cancel := context.WithTimeout(context.Background(), w.ledger.Timeout)
	defer cancel()
	batch = dropExpired(batch)
	for range commitTries {
		if len(batch) == 0 {
			return
		}
		if err := w.load(ctx); err != nil {
			settleAll(batch, err)
			return
		}
		next, open := w.apply(batch)
		batch = open
		if len(batch) == 0 {
			return
		}
		err := w.write(ctx, next)
		switch {
		case err == nil:
			settleAll(batch, nil)
			return
		case errors.Is(err, leverstore.ErrConflict):
			w.known = nil
		case errors.Is(err, leverstore.ErrUnknown):
			// The next turn reads back: a claim that took effect is found
			// under its nonce, and one that did not is written again.
			w.known = nil
			w.count("claim-read-back")
		default:
			w.known = nil
			settleAll(batch, err)
			return
		}
	}
	settleAll(batch, ErrUnsettled)
}

func dropExpired(batch []change) []change {
	var open []change
	for _, c := range batch {
		if err := c.ctx.Err(); err != nil {
			c.done <- errors.Annotate(ErrUnsettled, err.Error())
			continue
		}
		open = append(open, c)
	}
	return open
}

func settleAll(batch []change, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

func (w *worker) load(ctx context.Context) error {
	if w.known != nil {
		return nil
	}
	o, err := w.ledger.Store.Get(ctx, w.key)
	if errors.Is(err, errors.NotFound) {
		w.known, w.revision = &Range{}, 0
		return nil
	}
	if err != nil {
		return errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	r, err := ParseRange(o.Value)
	if err != nil {
		return errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	w.known, w.revision = r, o.Revision
	return nil
}

// apply returns the range with the batch applied and the changes that still
// need a write. Those that can be settled without one are settled.
func (w *worker) apply(batch []change) (*Range, []change) {
	next := &Range{Claims: append([]Claim(nil), w.known.Claims...)}
	now := w.ledger.Timer.Now()
	next.Expire(now)
	expires := now.Add(w.ledger.Keep()).Unix()
	var open []change
	for _, c := range batch {
		held := next.Holds(c.id, c.nonce)
		switch {
		case c.remove && !held, !c.remove && held && w.known.Holds(c.id, c.nonce):
			c.done <- nil
		case c.remove:
			next.Remove(c.id, c.nonce)
			open = append(open, c)
		default:
			if err := next.Add(Claim{ID: c.id, Nonce: c.nonce, Expires: expires}); err != nil {
				c.done <- err
				continue
			}
			open = append(open, c)
		}
	}
	return next, open
}

func (w *worker) write(ctx context.Context, next *Range) error {
	value, err := next.Encode()
	if err != nil {
		return errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	w.count("claim-writes")
	rev, err := w.ledger.Store.Put(ctx, w.key, value, w.revision)
	if err != nil {
		return err
	}
	w.known, w.revision = next, rev
	return nil
}

func (w *worker) count(name string) {
	if w.ledger.Counters != nil {
		w.ledger.Counters.Add(name, 1)
	}
}
