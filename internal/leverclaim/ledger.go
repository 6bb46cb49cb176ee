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

// ObjectStore is the subset of the store's operations that a Ledger uses.
type ObjectStore interface {
	Get(ctx context.Context, key leverid.ObjectKey) (leverstore.Object, error)
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error)
}

const (
	// minWriteInterval is the minimum time between two writes of one range.
	// Claims that arrive in between share the next write.
	minWriteInterval = 5 * time.Millisecond
	// maxCommitAttempts bounds the attempts to write one batch when writes
	// conflict or their outcome is unknown.
	maxCommitAttempts = 6
	// maxQueued bounds the changes queued for one range.
	maxQueued = 4096
)

// ErrIndeterminate means that it is unknown whether the claim was stored. If the
// request is sent all the same, it may run twice.
const ErrIndeterminate = errors.ConstError("outcome of the claim is unknown")

// Ledger stores claims. Ledgers on several VMs may write the same range
// concurrently; conditional updates resolve their conflicts. The exported
// fields must be set before the first use. A Ledger is safe for concurrent
// use.
type Ledger struct {
	Store    ObjectStore
	Timer    *levertimer.Service
	Counters *leverevent.Counters
	// Retention returns how long a new claim is retained.
	Retention func() time.Duration
	// Timeout bounds the reads and writes for one batch.
	Timeout time.Duration

	mu      sync.Mutex
	writers map[RangeID]*rangeWriter
}

// change is a queued claim, or the release of one if remove is set. Its result
// is sent to done.
type change struct {
	id     ID
	nonce  Nonce
	remove bool
	ctx    context.Context
	done   chan error
}

// Claim claims an id. A nil error means that the claim is stored. Otherwise
// the error is [ErrTaken], [ErrFull], [leverstore.ErrUnavailable] or
// [ErrIndeterminate], which is also returned if ctx ends first.
func (l *Ledger) Claim(ctx context.Context, id ID, n Nonce) error {
	return l.submit(ctx, change{id: id, nonce: n})
}

// Release deletes the claim of a request that is known not to have run.
func (l *Ledger) Release(ctx context.Context, id ID, n Nonce) error {
	return l.submit(ctx, change{id: id, nonce: n, remove: true})
}

func (l *Ledger) submit(ctx context.Context, c change) error {
	c.ctx = ctx
	c.done = make(chan error, 1)
	if !l.enqueue(RangeOf(c.id), c) {
		return errors.Annotatef(leverstore.ErrUnavailable, "%d changes are queued for range %d", maxQueued, RangeOf(c.id))
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errors.Annotate(ErrIndeterminate, ctx.Err().Error())
	}
}

func (l *Ledger) enqueue(r RangeID, c change) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writers == nil {
		l.writers = make(map[RangeID]*rangeWriter)
	}
	w := l.writers[r]
	if w == nil {
		w = &rangeWriter{ledger: l, key: leverid.ObjectKey(fmt.Sprintf("%s%02d", leverstore.ClaimPrefix, r))}
		l.writers[r] = w
	}
	if len(w.queue) >= maxQueued {
		return false
	}
	w.queue = append(w.queue, c)
	if !w.running {
		w.running = true
		go w.run()
	}
	return true
}

// rangeWriter writes the claims of one range. Its goroutine exits when the
// queue is empty. The ledger's mutex guards queue and running.
type rangeWriter struct {
	ledger  *Ledger
	key     leverid.ObjectKey
	queue   []change
	running bool

	// cached is the stored object as last read or written, nil if that is
	// unknown. revision is the revision of cached. Only the goroutine of run uses
	// these two.
	cached   *Range
	revision leverstore.Revision
}

func (w *rangeWriter) run() {
	for {
		batch := w.nextBatch()
		if batch == nil {
			return
		}
		w.commit(batch)
		w.ledger.Timer.Sleep(context.Background(), minWriteInterval)
	}
}

func (w *rangeWriter) nextBatch() []change {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	batch := w.queue
	w.queue = nil
	w.running = len(batch) > 0
	return batch
}

// commit applies a batch with one conditional update and retries it after a
// conflict or an unknown outcome.
func (w *rangeWriter) commit(batch []change) {
	ctx, cancel := context.WithTimeout(context.Background(), w.ledger.Timeout)
	defer cancel()
	batch = dropCanceled(batch)
	unknown := false
	for range maxCommitAttempts {
		if len(batch) == 0 {
			return
		}
		fresh, err := w.load(ctx)
		if err != nil {
			if unknown {
				err = errors.Annotate(ErrIndeterminate, err.Error())
			}
			completeAll(batch, err)
			return
		}
		next, pending, rejected := w.apply(batch)
		if len(rejected) > 0 && !fresh {
			// Another VM may have released or expired claims since.
			w.cached = nil
			continue
		}
		completeRejected(rejected)
		batch = pending
		if len(batch) == 0 {
			return
		}
		err = w.write(ctx, next)
		switch {
		case err == nil:
			completeAll(batch, nil)
			return
		case errors.Is(err, leverstore.ErrConflict):
			w.cached = nil
		case errors.Is(err, leverstore.ErrOutcomeUnknown):
			// The next attempt reads the object back: claims that were
			// stored are recognized by their nonces, the others are
			// written again.
			w.cached = nil
			unknown = true
			w.count("claim-read-back")
		default:
			w.cached = nil
			if unknown {
				err = errors.Annotate(ErrIndeterminate, err.Error())
			}
			completeAll(batch, err)
			return
		}
	}
	completeAll(batch, ErrIndeterminate)
}

// dropCanceled returns the changes whose contexts are still active and fails
// the others.
func dropCanceled(batch []change) []change {
	var pending []change
	for _, c := range batch {
		if err := c.ctx.Err(); err != nil {
			c.done <- errors.Annotate(ErrIndeterminate, err.Error())
			continue
		}
		pending = append(pending, c)
	}
	return pending
}

func completeAll(batch []change, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

// load reads the object unless it is cached. It reports whether it was read.
func (w *rangeWriter) load(ctx context.Context) (bool, error) {
	if w.cached != nil {
		return false, nil
	}
	o, err := w.ledger.Store.Get(ctx, w.key)
	if errors.Is(err, errors.NotFound) {
		w.cached, w.revision = &Range{}, 0
		return true, nil
	}
	if err != nil {
		return false, errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	r, err := ParseRange(o.Value)
	if err != nil {
		return false, errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	w.cached, w.revision = r, o.Revision
	return true, nil
}

// rejection is a change that can't be applied, and why. A nil err means that the
// range already is as the change wants it.
type rejection struct {
	change change
	err    error
}

func completeRejected(list []rejection) {
	for _, r := range list {
		r.change.done <- r.err
	}
}

// apply returns the range with the batch applied, the changes that need a write
// and the others.
func (w *rangeWriter) apply(batch []change) (next *Range, pending []change, rejected []rejection) {
	next = &Range{Claims: append([]Claim(nil), w.cached.Claims...)}
	now := w.ledger.Timer.Now()
	next.Expire(now)
	expires := now.Add(w.ledger.Retention()).Unix()
	for _, c := range batch {
		held := next.Contains(c.id, c.nonce)
		switch {
		case c.remove && !held, !c.remove && held && w.cached.Contains(c.id, c.nonce):
			rejected = append(rejected, rejection{change: c})
		case c.remove:
			next.Remove(c.id, c.nonce)
			pending = append(pending, c)
		default:
			if err := next.Add(Claim{ID: c.id, Nonce: c.nonce, Expires: expires}); err != nil {
				rejected = append(rejected, rejection{c, err})
				continue
			}
			pending = append(pending, c)
		}
	}
	return next, pending, rejected
}

func (w *rangeWriter) write(ctx context.Context, next *Range) error {
	value, err := next.Encode()
	if err != nil {
		return errors.Annotate(leverstore.ErrUnavailable, err.Error())
	}
	w.count("claim-writes")
	rev, err := w.ledger.Store.Put(ctx, w.key, value, w.revision)
	if err != nil {
		return err
	}
	w.cached, w.revision = next, rev
	return nil
}

func (w *rangeWriter) count(name string) {
	if w.ledger.Counters != nil {
		w.ledger.Counters.Add(name, 1)
	}
}
