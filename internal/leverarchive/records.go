package leverarchive

import (
	"cmp"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
)

// Record is the crash level of one content as the store holds it. The times of its entry
// are those of the local clock.
type Record struct {
	Entry levercrash.Entry
	// Revision is that of the last change of the store's object. It is 0 if not known.
	Revision leverfeed.Revision
}

// Action is what a Change does to the store.
type Action uint8

// The actions.
const (
	Create Action = iota
	Replace
	Remove
)

var actionNames = [...]string{Create: "create", Replace: "replace", Remove: "remove"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// Change is one write to the store. Replace and Remove hold for the revision only.
type Change struct {
	Action   Action
	Entry    levercrash.Entry
	Revision leverfeed.Revision
}

const (
	// suspicionDelay is how long a suspicion must stand to be written. When a VM starts
	// or upstreams reset many connections, dozens of contents are suspect until their
	// next request, which clears them.
	suspicionDelay = 2 * time.Second
	// minLifetime is the time for which a level must last at least to be written. A bar
	// that is not confirmed ends sooner.
	minLifetime = 5 * time.Second
	// renewThreshold is how much later an entry must expire than a record of the same
	// level to replace it. The times of an entry vary with the way that it took.
	renewThreshold = time.Minute
	// maxNoted bounds the records of contents that are only noted. When many upstreams
	// crash at once they are those of innocent contents.
	maxNoted = 32
)

// Records decides how the store's records have to change so that they agree with the
// crash levels in force. The zero value stands for a store without records. It does no
// I/O and is not safe for concurrent use.
type Records struct {
	byContent map[leverid.Fingerprint]Record
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byContent) }

// Set notes a record that the store holds.
func (r *Records) Set(rec Record) {
	if r.byContent == nil {
		r.byContent = make(map[leverid.Fingerprint]Record)
	}
	r.byContent[rec.Entry.Fingerprint] = rec
}

// Drop notes that the store holds no record of a content, or that what it holds is not
// known.
func (r *Records) Drop(f leverid.Fingerprint) { delete(r.byContent, f) }

// Next returns the next change to make, given the levels in force, or false if there is
// none. The highest levels come first. Without a change, wait is the time after which one
// may be due although no level changes, or 0.
func (r *Records) Next(levels []levercrash.Entry, now time.Time) (c Change, ok bool, wait time.Duration) {
	levels = slices.SortedFunc(slices.Values(levels), func(a, b levercrash.Entry) int {
		return cmp.Or(cmp.Compare(b.Level.Severity(), a.Level.Severity()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	noted := 0
	for _, rec := range r.byContent {
		if rec.Entry.Level == levercrash.Noted {
			noted++
		}
	}
	inForce := make(map[leverid.Fingerprint]bool, len(levels))
	for _, e := range levels {
		inForce[e.Fingerprint] = true
		young := suspicionDelay - now.Sub(e.Since)
		switch c, ok := r.change(e, now); {
		case ok && e.Level == levercrash.Noted && noted >= maxNoted:
		case ok && e.Level == levercrash.Suspect && young > 0:
			if wait == 0 || young < wait {
				wait = young
			}
		case ok:
			return c, true, 0
		}
	}
	for f, rec := range r.byContent {
		// A record without a level in force has expired, here or in the store.
		if _, lasts := rec.Entry.Current(now); !inForce[f] && !lasts {
			return Change{Remove, rec.Entry, rec.Revision}, true, 0
		}
	}
	return Change{}, false, wait
}

// change returns how the record of one content has to change.
func (r *Records) change(e levercrash.Entry, now time.Time) (Change, bool) {
	rec, stored := r.byContent[e.Fingerprint]
	old, lasts := rec.Entry.Current(now)
	switch {
	case e.Level == levercrash.Clear:
		return Change{Remove, e, rec.Revision}, stored && (!lasts || e.Supersedes(old))
	case e.Until.Sub(now) < minLifetime:
		return Change{}, false
	case !stored:
		return Change{Create, e, 0}, true
	case lasts && (!e.Supersedes(old) || e.Level == old.Level && e.Until.Sub(old.Until) < renewThreshold):
		return Change{}, false
	}
	return Change{Replace, e, rec.Revision}, true
}
