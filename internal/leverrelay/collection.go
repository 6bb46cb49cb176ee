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

// replace sets the complete collection unless rev is older than the present
// revision. It reports whether an item changed.
func (s *collection[T]) replace(items map[string]T, rev leverfeed.Revision, seq uint64) bool {
	if rev < s.revision {
		return false
	}
	s.revision = rev
	changed := false
	for name, v := range items {
		changed = s.set(leverfeed.Item[T]{Name: name, Value: v}, seq) || changed
	}
	for name, old := range s.byName {
		if _, ok := items[name]; !ok && !old.deleted {
			s.byName[name] = entry[T]{deleted: true, seq: seq}
			changed = true
		}
	}
	return changed
}

func (s *collection[T]) set(it leverfeed.Item[T], seq uint64) bool {
	if s.byName == nil {
		s.byName = make(map[string]entry[T])
	}
	old, ok := s.byName[it.Name]
	if !ok && it.Gone || ok && old.deleted == it.Gone && (it.Gone || s.equal(old.value, it.Value)) {
		return false
	}
	s.byName[it.Name] = entry[T]{value: it.Value, deleted: it.Gone, seq: seq}
	return true
}

// merge applies changes unless they are of an older revision than the
// collection. It reports whether an item changed.
func (s *collection[T]) merge(c Delta[T], reset bool, seq uint64) bool {
	if c.Revision < s.revision {
		return false
	}
	if reset {
		items := make(map[string]T, len(c.Items))
		for _, it := range c.Items {
			if !it.Gone {
				items[it.Name] = it.Value
			}
		}
		return s.replace(items, c.Revision, seq)
	}
	s.revision = c.Revision
	changed := false
	for _, it := range c.Items {
		changed = s.set(it, seq) || changed
	}
	return changed
}

// since returns the items that changed after seq. Deletions are left out at seq
// 0, as the update then replaces the receiver's items.
func (s *collection[T]) since(seq uint64) Delta[T] {
	c := Delta[T]{Revision: s.revision}
	for name, v := range s.byName {
		if v.seq > seq && (seq > 0 || !v.deleted) {
			c.Items = append(c.Items, leverfeed.Item[T]{Name: name, Value: v.value, Gone: v.deleted})
		}
	}
	return c
}

// items returns the items by name, without the deleted ones.
func (s *collection[T]) items() map[string]T {
	out := make(map[string]T, len(s.byName))
	for name, v := range s.byName {
		if !v.deleted {
			out[name] = v.value
		}
	}
	return out
}

// values returns the items without the deleted ones.
func (s *collection[T]) values() []T {
	out := make([]T, 0, len(s.byName))
	for _, v := range s.byName {
		if !v.deleted {
			out = append(out, v.value)
		}
	}
	return out
}

// trimDeleted drops the entries of deleted items if there are more than
// maxDeleted. It returns the number of the newest dropped change, or 0: a child
// at an older position needs the complete collections.
func (s *collection[T]) trimDeleted() uint64 {
	deleted, lastSeq := 0, uint64(0)
	for _, v := range s.byName {
		if v.deleted {
			deleted++
			lastSeq = max(lastSeq, v.seq)
		}
	}
	if deleted <= maxDeleted {
		return 0
	}
	for name, v := range s.byName {
		if v.deleted {
			delete(s.byName, name)
		}
	}
	return lastSeq
}
