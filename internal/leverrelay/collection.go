package leverrelay

import (
	"arbutuslever.dev/lever/internal/leverfeed"
)

// collection holds the items of one collection of the store and the change that
// last affected each, so that a child is sent only what is new to it.
type collection[T any] struct {
	revision leverfeed.Revision
	byName   map[string]entry[T]
	equal    func(a, b T) bool
}

// entry is one item. Entries of deleted items stay until trimDeleted drops
// them, so that the deletion reaches the children that have the item.
type entry[T any] struct {
	value   T
	deleted bool
	seq     uint64
}

// Delta lists the changed items of one collection.
type Delta[T any] struct {
	Revision leverfeed.Revision  `msgpack:"r"`
	Items    []leverfeed.Item[T] `msgpack:"i"`
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
	c.revision = rev
	changed := false
	for name, v := range items {
		changed = c.set(leverfeed.Item[T]{Name: name, Value: v}, seq) || changed
	}
	for name, old := range c.byName {
		if _, ok := items[name]; !ok && !old.deleted {
			c.byName[name] = entry[T]{deleted: true, seq: seq}
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
	if !ok && it.Gone || ok && old.deleted == it.Gone && (it.Gone || c.equal(old.value, it.Value)) {
		return false
	}
	c.byName[it.Name] = entry[T]{value: it.Value, deleted: it.Gone, seq: seq}
	return true
}

// merge applies changes unless they are of an older revision than the
// collection. It reports whether an item changed.
func (c *collection[T]) merge(delta Delta[T], reset bool, seq uint64) bool {
	if delta.Revision < c.revision {
		return false
	}
	if reset {
		items := make(map[string]T, len(delta.Items))
		for _, it := range delta.Items {
			if !it.Gone {
				items[it.Name] = it.Value
			}
		}
		return c.replace(items, delta.Revision, seq)
	}
	c.revision = delta.Revision
	changed := false
	for _, it := range delta.Items {
		changed = c.set(it, seq) || changed
	}
	return changed
}

// since returns the items that changed after seq. Deletions are left out at seq
// 0, as the update then replaces the receiver's items.
func (c *collection[T]) since(seq uint64) Delta[T] {
	delta := Delta[T]{Revision: c.revision}
	for name, v := range c.byName {
		if v.seq > seq && (seq > 0 || !v.deleted) {
			delta.Items = append(delta.Items, leverfeed.Item[T]{Name: name, Value: v.value, Gone: v.deleted})
		}
	}
	return delta
}

// items returns the items by name, without the deleted ones.
func (c *collection[T]) items() map[string]T {
	out := make(map[string]T, len(c.byName))
	for name, v := range c.byName {
		if !v.deleted {
			out[name] = v.value
		}
	}
	return out
}

// values returns the items without the deleted ones.
func (c *collection[T]) values() []T {
	out := make([]T, 0, len(c.byName))
	for _, v := range c.byName {
		if !v.deleted {
			out = append(out, v.value)
		}
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
