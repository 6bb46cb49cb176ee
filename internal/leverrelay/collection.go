package leverrelay

import (
	"time"

	"arbutuslever.dev/lever/internal/levercopy"
	"arbutuslever.dev/lever/internal/leverfeed"
)

// collection holds the items of one collection of the store, as the store holds them, and
// the change that last affected each, so that a child is sent only what is new to it. After
// the store has come back from an older copy, each VM decides by what it knew before which
// of the items count.
type collection[T any] struct {
	revision leverfeed.Revision
	byName   map[string]entry[T]
	rules    levercopy.Rules[T]
	returned levercopy.Return[T]
}

// entry is one item. Entries of deleted items stay, with their last values, until
// trimDeleted drops them, so that the deletion reaches the children that have the item.
type entry[T any] struct {
	value   T
	deleted bool
	seq     uint64
	// deletedAt is when the item was deleted.
	deletedAt time.Time
}

// tombstoneAge is how long complete updates say that an item was deleted: a store may come
// back from a copy some seconds old that has the item, and the receiver may have started
// since the deletion.
const tombstoneAge = 30 * time.Second

// Delta lists the changed items of one collection.
type Delta[T any] struct {
	// Revision is the number of the collection's revision. Its era, which earlier builds do
	// not know, is apart. It is 0 if the sender does not know it.
	Revision leverfeed.Revision  `msgpack:"r"`
	Era      leverfeed.Era       `msgpack:"w,omitempty"`
	Items    []leverfeed.Item[T] `msgpack:"i"`
	// Judgements, in complete updates, are those of the sender since the store has come
	// back from an older copy.
	Judgements []levercopy.Judgement[T] `msgpack:"j,omitempty"`
}

// revision returns the revision of a delta for a receiver at an earlier one.
func (d *Delta[T]) revision(own leverfeed.Revision) leverfeed.Revision {
	return leverfeed.At(d.Era, d.Revision.Number()).In(own.Era())
}

// maxDeleted bounds the entries of deleted items. A child that is further behind
// gets the complete collection.
const maxDeleted = 4096

// init makes an empty collection known. It reports whether it was not known before.
func (c *collection[T]) init() bool {
	if c.byName != nil {
		return false
	}
	c.byName = make(map[string]entry[T])
	return true
}

// replace sets the complete collection unless rev is older than the present
// revision. It reports whether an item changed.
func (c *collection[T]) replace(items map[string]T, rev leverfeed.Revision, seq uint64) bool {
	if rev < c.revision {
		return false
	}
	return c.advance(rev, func() bool { return c.setAll(items, seq) })
}

// advance makes changes of the store's items that lead to a revision, and judges them if
// the store has come back since the present one. It reports whether an item changed.
func (c *collection[T]) advance(rev leverfeed.Revision, set func() bool) bool {
	var known map[string]levercopy.Item[T]
	returned := rev.Returned(c.revision)
	if returned {
		known = c.known()
	}
	c.revision = rev
	changed := set()
	now := time.Now()
	if returned {
		c.returned.Begin(uint16(rev.Era()), &c.rules, known, c.items(), now)
		return true
	}
	return c.update(now) || changed
}

// update ends the judgements that are over. It reports whether there were any.
func (c *collection[T]) update(now time.Time) bool {
	return c.returned.Update(&c.rules, func(name string) (T, bool) {
		e, ok := c.byName[name]
		return e.value, ok && !e.deleted
	}, now)
}

// known returns what counts, and the items that have been removed.
func (c *collection[T]) known() map[string]levercopy.Item[T] {
	out := make(map[string]levercopy.Item[T], len(c.byName))
	for name, e := range c.byName {
		if e.deleted {
			out[name] = levercopy.Item[T]{Value: e.value, Removed: true}
		}
	}
	for _, j := range c.returned.Judgements() {
		if j.Removed {
			out[j.Name] = levercopy.Item[T]{Value: j.Known, Removed: true}
		}
	}
	for name, v := range c.counting() {
		out[name] = levercopy.Item[T]{Value: v}
	}
	return out
}

// counting returns the items that count by name.
func (c *collection[T]) counting() map[string]T {
	out := c.items()
	c.returned.Apply(out)
	return out
}

// adopt takes over what the sender of a complete update has judged since the store came
// back, if this VM has not seen that. It reports whether there is any judgement.
func (c *collection[T]) adopt(delta *Delta[T], age time.Duration) bool {
	if age == 0 || delta.Era == 0 || delta.Era != c.revision.Era() || len(delta.Judgements) == 0 {
		return false
	}
	var list []levercopy.Judgement[T]
	for _, j := range delta.Judgements {
		// What this VM has seen in the era, and seen removed, is not missing.
		if _, seen := c.byName[j.Name]; !seen || !j.Missing {
			list = append(list, j)
		}
	}
	now := time.Now()
	c.returned.Adopt(uint16(delta.Era), list, age, now)
	c.update(now)
	return true
}

// setAll makes the store's items the given ones.
func (c *collection[T]) setAll(items map[string]T, seq uint64) bool {
	changed := false
	for name, v := range items {
		changed = c.set(leverfeed.Item[T]{Name: name, Value: v}, seq) || changed
	}
	for name, old := range c.byName {
		if _, ok := items[name]; !ok && !old.deleted {
			c.byName[name] = entry[T]{value: old.value, deleted: true, seq: seq, deletedAt: time.Now()}
			changed = true
		}
	}
	return changed
}

func (c *collection[T]) set(it leverfeed.Item[T], seq uint64) bool {
	if c.byName == nil {
		c.byName = make(map[string]entry[T])
	}
	old, ok := c.byName[it.Name]
	if !ok && it.Gone || ok && old.deleted == it.Gone && (it.Gone || c.rules.Equal(old.value, it.Value)) {
		return false
	}
	e := entry[T]{value: it.Value, deleted: it.Gone, seq: seq}
	if it.Gone {
		e.value, e.deletedAt = old.value, time.Now()
	}
	c.byName[it.Name] = e
	return true
}

// merge applies changes unless they are of an older revision than the
// collection. It reports whether an item changed.
func (c *collection[T]) merge(delta Delta[T], reset bool, seq uint64) bool {
	rev := delta.revision(c.revision)
	if rev < c.revision {
		return false
	}
	if reset {
		items := make(map[string]T, len(delta.Items))
		for _, it := range delta.Items {
			if !it.Gone {
				items[it.Name] = it.Value
			}
		}
		changed := c.replace(items, rev, seq)
		c.noteDeleted(delta.Items, seq)
		return changed
	}
	return c.advance(rev, func() bool {
		changed := false
		for _, it := range delta.Items {
			changed = c.set(it, seq) || changed
		}
		return changed
	})
}

// noteDeleted notes the deleted items of a complete update that are not known.
func (c *collection[T]) noteDeleted(items []leverfeed.Item[T], seq uint64) {
	for _, it := range items {
		if _, ok := c.byName[it.Name]; !ok && it.Gone {
			c.byName[it.Name] = entry[T]{value: it.Value, deleted: true, seq: seq, deletedAt: time.Now()}
		}
	}
}

// since returns the items that changed after seq. At seq 0, as the update then replaces
// the receiver's items, deletions are left out unless they are recent.
func (c *collection[T]) since(seq uint64) Delta[T] {
	delta := Delta[T]{Revision: leverfeed.At(0, c.revision.Number()), Era: c.revision.Era()}
	if seq == 0 {
		delta.Judgements = c.returned.Judgements()
	}
	for name, v := range c.byName {
		switch {
		case v.seq <= seq:
		case !v.deleted:
			delta.Items = append(delta.Items, leverfeed.Item[T]{Name: name, Value: v.value})
		case seq > 0:
			delta.Items = append(delta.Items, leverfeed.Item[T]{Name: name, Gone: true})
		case time.Since(v.deletedAt) < tombstoneAge && !c.returned.Holds(name):
			delta.Items = append(delta.Items, leverfeed.Item[T]{Name: name, Value: v.value, Gone: true})
		}
	}
	return delta
}

// items returns the store's items by name, without the deleted ones.
func (c *collection[T]) items() map[string]T {
	out := make(map[string]T, len(c.byName))
	for name, v := range c.byName {
		if !v.deleted {
			out[name] = v.value
		}
	}
	return out
}

// values returns the items that count.
func (c *collection[T]) values() []T {
	counting := c.counting()
	out := make([]T, 0, len(counting))
	for _, v := range counting {
		out = append(out, v)
	}
	return out
}

// trimDeleted drops the entries of deleted items if there are more than
// maxDeleted. It returns the number of the newest dropped change, or 0: a child
// at an older position needs the complete collections.
func (c *collection[T]) trimDeleted() uint64 {
	deleted, lastSeq := 0, uint64(0)
	for _, v := range c.byName {
		if v.deleted {
			deleted++
			lastSeq = max(lastSeq, v.seq)
		}
	}
	if deleted <= maxDeleted {
		return 0
	}
	for name, v := range c.byName {
		if v.deleted {
			delete(c.byName, name)
		}
	}
	return lastSeq
}
