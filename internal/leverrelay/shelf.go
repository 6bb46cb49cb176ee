package leverrelay

import (
	"arbutuslever.dev/lever/internal/leverfeed"
)

// shelf holds one collection and remembers when each item changed, so that a
// child gets only what is new to it.
type shelf[T any] struct {
	revision leverfeed.Revision
	slots    map[string]slot[T]
	equal    func(a, b T) bool
}

// slot is one item. Gone items stay, to be told to children that had them.
type slot[T any] struct {
	value T
	gone  bool
	seq   uint64
}

// Change is what is new of one collection.
type Change[T any] struct {
	Revision leverfeed.Revision  `msgpack:"r"`
	Items    []leverfeed.Item[T] `msgpack:"i"`
}

// maxGone bounds the items that are gone but still told of. A child that is
// further behind gets the whole collection.
const maxGone = 4096

// replace takes in the whole collection. It reports whether anything changed.
func (s *shelf[T]) replace(items map[string]T, rev leverfeed.Revision, seq uint64) bool {
	if rev < s.revision {
		return false
	}
	s.revision = rev
	changed := false
	for name, v := range items {
		changed = s.set(leverfeed.Item[T]{Name: name, Value: v}, seq) || changed
	}
	for name, old := range s.slots {
		if _, ok := items[name]; !ok && !old.gone {
			s.slots[name] = slot[T]{gone: true, seq: seq}
			changed = true
		}
	}
	return changed
}

func (s *shelf[T]) set(it leverfeed.Item[T], seq uint64) bool {
	if s.slots == nil {
		s.slots = make(map[string]slot[T])
	}
	old, ok := s.slots[it.Name]
	if !ok && it.Gone || ok && old.gone == it.Gone && (it.Gone || s.equal(old.value, it.Value)) {
		return false
	}
	s.slots[it.Name] = slot[T]{value: it.Value, gone: it.Gone, seq: seq}
	return true
}

// merge takes in changes that are not older than what is known.
func (s *shelf[T]) merge(c Change[T], reset bool, seq uint64) bool {
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

// since returns what changed after seq.
func (s *shelf[T]) since(seq uint64) Change[T] {
	c := Change[T]{Revision: s.revision}
	for name, v := range s.slots {
		if v.seq > seq && (seq > 0 || !v.gone) {
			c.Items = append(c.Items, leverfeed.Item[T]{Name: name, Value: v.value, Gone: v.gone})
		}
	}
	return c
}

// items returns the items that are present, by name.
func (s *shelf[T]) items() map[string]T {
	out := make(map[string]T, len(s.slots))
	for name, v := range s.slots {
		if !v.gone {
			out[name] = v.value
		}
	}
	return out
}

// values returns the items that are present.
func (s *shelf[T]) values() []T {
	out := make([]T, 0, len(s.slots))
	for _, v := range s.slots {
		if !v.gone {
			out = append(out, v.value)
		}
	}
	return out
}

// trim forgets items that are gone, if there are many. It returns the sequence
// number up to which children must be told everything.
func (s *shelf[T]) trim() uint64 {
	gone, last := 0, uint64(0)
	for _, v := range s.slots {
		if v.gone {
			gone++
			last = max(last, v.seq)
		}
	}
	if gone <= maxGone {
		return 0
	}
	for name, v := range s.slots {
		if v.gone {
			delete(s.slots, name)
		}
	}
	return last
}
