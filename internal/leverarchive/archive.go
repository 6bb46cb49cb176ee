// Package leverarchive keeps the crash levels of contents in the platform's store, so
// that they outlive the processes of all VMs. The VMs that watch the store write it; all
// others learn the levels from them.
package leverarchive

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// ErrConflict means that a write was not made because the store's record is another one
// than expected. The record that is returned with it is the store's; its Revision is 0 if
// there is none.
const ErrConflict = errors.ConstError("the store holds another record")

// Store reads and writes the records. Times of entries are those of the wall clock. A
// write whose error is not ErrConflict may have been made.
type Store interface {
	// List returns all records that can be read.
	List(ctx context.Context) ([]Record, error)
	// Create writes the record of a content that has none.
	Create(ctx context.Context, e levercrash.Entry) (Record, error)
	// Replace replaces the record that has the revision.
	Replace(ctx context.Context, e levercrash.Entry, rev leverfeed.Revision) (Record, error)
	// Remove removes the record that has the revision.
	Remove(ctx context.Context, f leverid.Fingerprint, rev leverfeed.Revision) (Record, error)
}

const (
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. It grows with each
	// further one.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// jitter is the fraction by which the pause varies.
	jitter = 0.3
	// reviewInterval is how often the records are compared with the levels without a
	// change, so that expired ones are removed.
	reviewInterval = 30 * time.Second
	// maxLifetime bounds the time for which a record may say that its level lasts, as
	// the clock of the VM that wrote it may have been wrong.
	maxLifetime = time.Hour
)

// Archive reads the store's records when it begins to run, and keeps them in agreement
// with the levels in force while it runs. Its exported fields must be set before. It is
// safe for concurrent use.
type Archive struct {
	Store Store
	// Levels returns the levels in force.
	Levels func(now time.Time) []levercrash.Entry
	// Merge merges the levels that were read into those in force.
	Merge func(entries []levercrash.Entry)
	// OnRead is called when all records have been read and merged.
	OnRead func()
	// Pause returns the least time between two writes.
	Pause   func() time.Duration
	Timer   *levertimer.Service
	Log     leverlog.Logger
	Metrics *levermetric.Set

	records atomic.Int64
	// wake receives a value when a level has changed. It is nil unless the archive runs.
	wake atomic.Pointer[chan struct{}]
	// outdated says that the store may hold other records than those that were read.
	outdated atomic.Bool
}

// Len returns the number of records that the store was seen to hold.
func (a *Archive) Len() int { return int(a.records.Load()) }

// Changed makes a running archive write changes of the levels. It does not block.
func (a *Archive) Changed() {
	if w := a.wake.Load(); w != nil {
		select {
		case *w <- struct{}{}:
		default:
		}
	}
}

// Reread makes a running archive read all records again, because the store has come back
// from an older copy, and write those that differ. It does not block.
func (a *Archive) Reread() {
	a.outdated.Store(true)
	a.Changed()
}

// Run reads the records and writes changes until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	wake := make(chan struct{}, 1)
	a.wake.Store(&wake)
	defer a.wake.Store(nil)
	r := &run{Archive: a}
	if !r.read(ctx) {
		return
	}
	a.OnRead()
	for {
		if a.outdated.Load() && !r.read(ctx) {
			return
		}
		wait, ok := r.write(ctx)
		if !ok {
			return
		}
		if a.outdated.Load() {
			continue
		}
		review := a.Timer.After(cmp.Or(wait, reviewInterval))
		select {
		case <-wake:
		case <-review.C:
		case <-ctx.Done():
		}
		review.Stop()
	}
}

// run is one run of an archive.
type run struct {
	*Archive
	state   Records
	backoff time.Duration
}

// read reads all records, again until that succeeds. It returns false if ctx ends.
func (r *run) read(ctx context.Context) bool {
	for {
		r.outdated.Store(false)
		records, err := r.list(ctx)
		if err == nil {
			r.state, r.backoff = Records{}, 0
			r.take(records)
			r.Log.Info("the crash levels were read from the store", "records", len(records))
			return true
		}
		if !r.failed(ctx, err, "the crash levels could not be read from the store") {
			return false
		}
	}
}

func (r *run) list(ctx context.Context) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.List(ctx)
}

// take merges records of the store into the levels in force.
func (r *run) take(records []Record) {
	now := r.Timer.Now()
	entries := make([]levercrash.Entry, 0, len(records))
	for _, rec := range records {
		rec.Entry = fromWall(rec.Entry, now)
		r.state.Set(rec)
		if e, ok := rec.Entry.Current(now); ok {
			entries = append(entries, e)
		}
	}
	r.records.Store(int64(r.state.Len()))
	r.Merge(entries)
}

// write makes all changes that are due, unless the records become outdated, and returns the
// time until others may be due, or 0. It returns false if ctx ends.
func (r *run) write(ctx context.Context) (wait time.Duration, ok bool) {
	for ctx.Err() == nil && !r.outdated.Load() {
		now := r.Timer.Now()
		c, due, wait := r.state.Next(r.Levels(now), now)
		if !due {
			return wait, true
		}
		if err := r.apply(ctx, c); err != nil {
			r.failed(ctx, err, "a crash level could not be written to the store")
			continue
		}
		r.backoff = 0
		r.Timer.Sleep(ctx, r.Pause())
	}
	return 0, ctx.Err() == nil
}

// apply makes a change and notes the record that the store then holds. A conflict is not
// an error.
func (r *run) apply(ctx context.Context, c Change) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f := c.Entry.Fingerprint
	var rec Record
	var err error
	switch c.Action {
	case Create:
		rec, err = r.Store.Create(call, toWall(c.Entry, r.Timer.Now()))
	case Replace:
		rec, err = r.Store.Replace(call, toWall(c.Entry, r.Timer.Now()), c.Revision)
	case Remove:
		rec, err = r.Store.Remove(call, f, c.Revision)
	}
	conflict := errors.Is(err, ErrConflict)
	if err != nil && !conflict {
		return err
	}
	r.Metrics.Add(levermetric.Name("crash-records-written"), 1)
	r.Log.Info("the record of a crash level was written", "fingerprint", f, "level", c.Entry.Level, "action", c.Action, "conflict", conflict)
	rec.Entry.Fingerprint = f
	if rec.Revision == 0 {
		r.state.Drop(f)
		r.records.Store(int64(r.state.Len()))
		return nil
	}
	r.take([]Record{rec})
	return nil
}

// failed logs the first of a series of errors and waits. It returns false if ctx ends.
func (r *run) failed(ctx context.Context, err error, message string) bool {
	if ctx.Err() != nil {
		return false
	}
	r.Metrics.Add(levermetric.Name("crash-record-calls-failed"), 1)
	if r.backoff == 0 {
		r.Log.Warn(message, "err", err)
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	return r.Timer.Sleep(ctx, r.Timer.Jitter(r.backoff, jitter))
}

// toWall returns an entry whose times are those of the wall clock, from an entry of the
// local clock at now. The two part when the wall clock jumps.
func toWall(e levercrash.Entry, now time.Time) levercrash.Entry {
	wall := now.Round(0)
	e.Since, e.Until = wall.Add(e.Since.Sub(now)), wall.Add(e.Until.Sub(now))
	return e
}

// fromWall is the inverse of toWall. Times that can't be right are replaced by the nearest
// ones that may be.
func fromWall(e levercrash.Entry, now time.Time) levercrash.Entry {
	wall := now.Round(0)
	e.Since, e.Until = now.Add(min(e.Since.Sub(wall), 0)), now.Add(min(e.Until.Sub(wall), maxLifetime))
	return e
}
