// Package leverspread brings the platform's objects to every VM: a few VMs
// watch the store, the others get changes over a tree of peers, and a slow read
// of the store is the backstop. No VM ever goes back to a lower revision.
package leverspread

import (
	"cmp"
	"slices"
	"sync"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// ListKey is the key under which the platform's list of VMs is spread.
const ListKey leverid.ObjectKey = "vms"

// Item is one object at one revision.
type Item struct {
	Key      leverid.ObjectKey   `msgpack:"k"`
	Revision leverstore.Revision `msgpack:"r"`
	Value    []byte              `msgpack:"v"`
	// From, if not zero, says that Value is a JSON merge patch against that
	// revision, and Sum is the hash of the result.
	From leverstore.Revision `msgpack:"f"`
	Sum  uint64              `msgpack:"s"`
	// Deleted marks an object that is gone.
	Deleted bool `msgpack:"d"`
}

// Mark is the revision at which a VM has an object.
type Mark struct {
	Key      leverid.ObjectKey   `msgpack:"k"`
	Revision leverstore.Revision `msgpack:"r"`
}

// Board holds the newest revision of each object that the VM has seen. The
// zero value is empty and ready to use. It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	items map[leverid.ObjectKey]Item
	sum   uint64
}

// Install takes in an item if it is newer than what the board has. It returns
// the whole item as installed, and whether it was news. A delta whose base the
// board does not have is no news; missing is then true.
func (b *Board) Install(it Item) (whole Item, news, missing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.items[it.Key]
	if ok && old.Revision >= it.Revision {
		return old, false, false
	}
	if it.From != 0 {
		full, applied := expand(old, it)
		if !applied {
			return old, false, true
		}
		it = full
	}
	if b.items == nil {
		b.items = make(map[leverid.ObjectKey]Item)
	}
	b.items[it.Key] = it
	b.sum ^= markHash(old.Key, old.Revision) ^ markHash(it.Key, it.Revision)
	return it, true, false
}

// expand applies a delta to the item it is based on.
func expand(old, delta Item) (Item, bool) {
	if old.Revision != delta.From || old.Deleted {
		return Item{}, false
	}
	value, err := jsonpatch.MergePatch(old.Value, delta.Value)
	if err != nil || xxhash.Sum64(value) != delta.Sum {
		return Item{}, false
	}
	return Item{Key: delta.Key, Revision: delta.Revision, Value: value}, true
}

// Delta returns next as a merge patch against old, or next itself if that is
// not possible or not shorter.
func Delta(old, next Item) Item {
	if old.Revision == 0 || old.Deleted || next.Deleted {
		return next
	}
	patch, err := jsonpatch.CreateMergePatch(old.Value, next.Value)
	if err != nil || len(patch) >= len(next.Value) {
		return next
	}
	d := Item{Key: next.Key, Revision: next.Revision, Value: patch, From: old.Revision, Sum: xxhash.Sum64(next.Value)}
	full, ok := expand(old, d)
	if !ok || !slices.Equal(full.Value, next.Value) {
		return next
	}
	return d
}

func markHash(k leverid.ObjectKey, r leverstore.Revision) uint64 {
	if r == 0 {
		return 0
	}
	return leverid.Hash(string(k)) * (uint64(r)*2 + 1)
}

// Sum returns a hash of all keys and revisions. Boards with equal sums hold
// the same.
func (b *Board) Sum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// Get returns the item with a key; its revision is 0 if there is none.
func (b *Board) Get(k leverid.ObjectKey) Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.items[k]
}

// Marks returns the revisions of all items, ordered by key.
func (b *Board) Marks() []Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Mark, 0, len(b.items))
	for _, it := range b.items {
		out = append(out, Mark{it.Key, it.Revision})
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Compare returns the items that are newer here than in marks, and the marks
// that are newer than here.
func (b *Board) Compare(marks []Mark) (newer []Item, behind []Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	theirs := make(map[leverid.ObjectKey]leverstore.Revision, len(marks))
	for _, m := range marks {
		theirs[m.Key] = m.Revision
		if m.Revision > b.items[m.Key].Revision {
			behind = append(behind, m)
		}
	}
	for k, it := range b.items {
		if it.Revision > theirs[k] {
			newer = append(newer, it)
		}
	}
	return newer, behind
}
