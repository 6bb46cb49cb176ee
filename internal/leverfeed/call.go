package leverfeed

import (
	"cmp"
	"context"
	"time"
)

const (
	// defaultWatchWait is how long the store holds a watch without changes,
	// unless the follower sets another time.
	defaultWatchWait = 20 * time.Second
	// defaultWatchGrace is how much longer than that a watch may take.
	defaultWatchGrace = 2 * time.Second
	// holdGrace is the maximum of that while objects are missing, so that they are
	// dropped in time.
	holdGrace = 300 * time.Millisecond
	// probeGrace is the maximum for a watch that should return at once.
	probeGrace = 600 * time.Millisecond
	// minListTimeout bounds a list of a complete collection. It doubles, up to
	// maxListTimeout, with each list that takes too long: a store that lost the call
	// never answers, while one that is slow needs more time.
	minListTimeout = 750 * time.Millisecond
	maxListTimeout = 3 * time.Second
)

func (f *Follower[T]) list(ctx context.Context) error {
	f.listTimeout = max(f.listTimeout, minListTimeout)
	ctx, cancel := context.WithTimeout(ctx, f.listTimeout)
	defer cancel()
	f.mu.Lock()
	// A call to Relist from here on requests another list.
	f.relist = false
	f.mu.Unlock()
	err := f.read(ctx)
	switch {
	case err == nil:
		f.listTimeout = minListTimeout
	case ctx.Err() == context.DeadlineExceeded:
		f.listTimeout = min(2*f.listTimeout, maxListTimeout)
	}
	if err != nil {
		f.mu.Lock()
		f.relist = true
		f.mu.Unlock()
	}
	return err
}

// read lists the collection and replaces the copy.
func (f *Follower[T]) read(ctx context.Context) error {
	b, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.recordReconnect()
	old := f.items
	if f.Base != nil {
		old = f.Base()
	}
	if f.returned(b.Revision) {
		old = nil
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
	f.setRevision(b.Revision)
	f.apply()
	return nil
}

// returned reports whether the store has come back from an older copy before a revision.
func (f *Follower[T]) returned(rev Revision) bool {
	return rev.Returned(f.revision) || f.BaseRevision != nil && rev.Returned(f.BaseRevision())
}

func (f *Follower[T]) watch(ctx context.Context) error {
	wait := defaultWatchWait
	if f.WatchWait > 0 {
		wait = f.WatchWait
	}
	grace := cmp.Or(f.WatchGrace, defaultWatchGrace)
	if len(f.missing) > 0 {
		wait, grace = max(f.holdEnd().Sub(f.Timer.Now()), time.Millisecond), min(grace, holdGrace)
	}
	if f.takeProbe() {
		wait, grace = time.Millisecond, min(grace, probeGrace)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	b, err := f.Source.Watch(ctx, f.revision, wait)
	if err != nil {
		// The hold ends even if the store can no longer be reached.
		if f.dropMissing() {
			f.apply()
		}
		return err
	}
	for _, it := range b.Items {
		if it.Gone {
			f.remove(it.Name)
		} else {
			f.set(it)
		}
	}
	f.setRevision(b.Revision)
	if f.dropMissing() || len(b.Items) > 0 {
		f.apply()
	}
	return nil
}

func (f *Follower[T]) set(it Item[T]) {
	f.items[it.Name] = it.Value
	delete(f.missing, it.Name)
}

// Confirm compares the copy with the store's revision as another follower has just
// seen it. If the copy is older, the watch may be on a connection that went silent, and
// another one that returns at once replaces it.
func (f *Follower[T]) Confirm(rev Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil || f.listing || f.revision >= rev {
		return
	}
	f.probe = true
	f.cancel()
}

// takeProbe reports whether Confirm has requested a watch that returns at once.
func (f *Follower[T]) takeProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	probe := f.probe
	f.probe = false
	return probe
}
