// Package leverfeed follows collections of objects in the platform's store:
// it lists them once, then watches for changes, through outages and lost
// history.
package leverfeed

import (
	"cmp"
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// Revision numbers the store's changes.
type Revision uint64

// ErrHistoryLost means that the changes since the given revision can't be had
// any more. The collection must be listed anew.
const ErrHistoryLost = errors.ConstError("the store's history is gone")

// Item is one object, or the news that it is gone.
type Item[T any] struct {
	Name  string
	Value T
	Gone  bool
}

// Batch is the answer of a list or a watch.
type Batch[T any] struct {
	// Revision is what the next watch starts from.
	Revision Revision
	Items    []Item[T]
}

// Source reads one collection.
type Source[T any] interface {
	// List returns all objects.
	List(ctx context.Context) (Batch[T], error)
	// Watch waits up to wait for changes after since. The error is
	// ErrHistoryLost or one of the store.
	Watch(ctx context.Context, since Revision, wait time.Duration) (Batch[T], error)
}

const (
	// watchWait is how long the store holds a watch without news, unless the
	// follower says otherwise.
	watchWait = 20 * time.Second
	// watchGrace is how much longer than its wait a watch may take.
	watchGrace = 2 * time.Second
	// listTimeout bounds the reading of a whole collection.
	listTimeout = 3 * time.Second
	// firstPause and longestPause bound the pauses between failed calls.
	firstPause   = 150 * time.Millisecond
	longestPause = time.Second
	// pauseJitter spreads the calls of several VMs.
	pauseJitter = 0.3
)

// Follower keeps a copy of one collection. Its exported fields must be set
// before Run. It is safe for concurrent use.
type Follower[T any] struct {
	// Name names the collection in the log.
	Name   string
	Source Source[T]
	Timer  *levertimer.Service
	Log    leverlog.Logger
	// Pace is the least time between two watches: changes that come close
	// together then cost one call.
	Pace time.Duration
	// Hold is how long an object that is missing after an outage is kept: its
	// owner may bring it back.
	Hold time.Duration
	// Wait bounds how long one watch is held by the store, and Grace how much
	// longer it may take.
	Wait, Grace time.Duration
	// MaxPause, if set, returns the bound of the pause between failed calls. The
	// end of an outage is seen that much late, and Hold counts from there.
	MaxPause func() time.Duration
	// Base, if set, returns what is known of the collection, perhaps from
	// elsewhere, before it is listed anew.
	Base func() map[string]T
	// Apply takes in the collection after each change, and the revision up to
	// which it is known. It must not keep the map.
	Apply func(items map[string]T, rev Revision)
	// OnLost, if set, is called when the store has dropped the history. Other
	// followers' watches may then hear nothing either.
	OnLost func()
	// OnFailed, if set, is called when the store is not in touch any more, and
	// OnBack when it is again.
	OnFailed, OnBack func()

	mu     sync.Mutex
	lost   bool
	lostAt time.Time
	known  bool
	// relist asks for a list before the next watch; cancel ends the present
	// watch.
	relist bool
	cancel context.CancelFunc

	items     map[string]T
	missing   map[string]bool
	recovered time.Time
	revision  Revision
	pause     time.Duration
}

// Current reports whether the collection was read and the last call of the
// store went well.
func (f *Follower[T]) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && !f.lost
}

// Run follows the collection until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	f.items = make(map[string]T)
	f.missing = make(map[string]bool)
	f.start()
	defer f.setKnown(false)
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// step makes one call of the store.
func (f *Follower[T]) step(ctx context.Context) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if f.begin(cancel) {
		err = f.list(call)
	} else {
		err = f.watch(call)
	}
	switch {
	case errors.Is(err, ErrHistoryLost):
		f.Log.Warn("the history is lost; the collection is listed anew", "collection", f.Name, "since", f.revision)
		f.Relist()
		if f.OnLost != nil {
			f.OnLost()
		}
	case err != nil && call.Err() != nil:
		// Relist ended the watch.
	case err != nil:
		f.failed(ctx, err)
	default:
		f.well()
		f.Timer.Sleep(ctx, f.Pace)
	}
}

// begin reports whether the next call is a list.
func (f *Follower[T]) begin(cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	return f.relist
}

// Relist has the collection listed anew at once.
func (f *Follower[T]) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relist = true
	if f.cancel != nil {
		f.cancel()
	}
}

// Doubt takes in that the store failed elsewhere: a long watch may not notice
// an outage, in which objects were dropped that come back.
func (f *Follower[T]) Doubt() {
	f.setLost()
	f.Relist()
}

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.mu.Lock()
	// A call of Relist that comes from here on asks for one more list.
	f.relist = false
	f.mu.Unlock()
	err := f.read(ctx)
	if err != nil {
		f.mu.Lock()
		f.relist = true
		f.mu.Unlock()
	}
	return err
}

// read lists the collection and takes it in.
func (f *Follower[T]) read(ctx context.Context) error {
	b, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.noteRecovery()
	old := f.items
	if f.Base != nil {
		old = f.Base()
	}
	f.items = make(map[string]T, len(b.Items))
	clear(f.missing)
	for _, it := range b.Items {
		if !it.Gone {
			f.set(it)
		}
	}
	for name, v := range old {
		if _, ok := f.items[name]; !ok {
			f.items[name] = v
			f.remove(name)
		}
	}
	f.revision = b.Revision
	f.apply()
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	wait := watchWait
	if f.Wait > 0 {
		wait = f.Wait
	}
	if len(f.missing) > 0 {
		wait = max(f.holdEnd().Sub(f.Timer.Now()), time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+cmp.Or(f.Grace, watchGrace))
	defer cancel()
	b, err := f.Source.Watch(ctx, f.revision, wait)
	if err != nil {
		return err
	}
	for _, it := range b.Items {
		if it.Gone {
			f.remove(it.Name)
		} else {
			f.set(it)
		}
	}
	f.revision = b.Revision
	if f.dropMissing() || len(b.Items) > 0 {
		f.apply()
	}
	return nil
}

func (f *Follower[T]) set(it Item[T]) {
	f.items[it.Name] = it.Value
	delete(f.missing, it.Name)
}

// remove drops an object, or marks it as missing while the store has just come
// back.
func (f *Follower[T]) remove(name string) {
	if f.Timer.Now().Before(f.holdEnd()) {
		f.missing[name] = true
		return
	}
	delete(f.items, name)
	delete(f.missing, name)
}

func (f *Follower[T]) holdEnd() time.Time { return f.recovered.Add(f.Hold) }

// dropMissing drops what has not come back.
func (f *Follower[T]) dropMissing() bool {
	if len(f.missing) == 0 || f.Timer.Now().Before(f.holdEnd()) {
		return false
	}
	for name := range f.missing {
		delete(f.items, name)
	}
	f.Log.Info("missing objects did not come back", "collection", f.Name, "count", len(f.missing))
	clear(f.missing)
	return true
}

func (f *Follower[T]) apply() { f.Apply(f.items, f.revision) }

// carry is how long an outage counts that a follower saw before it was stopped.
const carry = 5 * time.Second

// start has the collection listed first.
func (f *Follower[T]) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relist = true
	f.lost = f.lost && f.Timer.Now().Sub(f.lostAt) < carry
}

func (f *Follower[T]) setKnown(known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = known
}

// noteRecovery notes the time of the first call that goes well after others
// failed.
func (f *Follower[T]) noteRecovery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		f.recovered = f.Timer.Now()
	}
}

// setLost notes that the store is not in touch. It reports whether it was.
func (f *Follower[T]) setLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !f.lost
	// What was missed meanwhile shows in a list.
	f.lost, f.relist, f.lostAt = true, true, f.Timer.Now()
	return first
}

func (f *Follower[T]) failed(ctx context.Context, err error) {
	first := f.setLost()
	most := longestPause
	if f.MaxPause != nil {
		most = f.MaxPause()
	}
	f.pause = min(max(2*f.pause, firstPause), most)
	if first {
		f.Log.Warn("the store is lost", "collection", f.Name, "revision", f.revision, "err", err)
		if f.OnFailed != nil {
			f.OnFailed()
		}
	}
	f.Timer.Sleep(ctx, f.Timer.Jitter(f.pause, pauseJitter))
}

func (f *Follower[T]) well() {
	f.mu.Lock()
	back := f.lost
	f.lost, f.known = false, true
	f.mu.Unlock()
	f.pause = 0
	if back {
		f.Log.Info("the store is back", "collection", f.Name, "revision", f.revision)
		if f.OnBack != nil {
			f.OnBack()
		}
	}
}
