package levermerge

import (
	"bytes"
	"slices"
)

// Top collects the greatest records of a fixed size, compared byte by byte. It
// keeps duplicates. It is not safe for concurrent use.
type Top struct {
	// Size is the size of a record in bytes.
	Size int
	// Limit is the number of records to keep.
	Limit   int
	records [][]byte
}

// Add adds the records of one part, in any order. It ignores a remainder shorter
// than a record. It keeps references to b, which must not be modified later.
func (t *Top) Add(b []byte) {
	t.records = slices.Grow(t.records, len(b)/t.Size)
	for ; len(b) >= t.Size; b = b[t.Size:] {
		t.records = append(t.records, b[:t.Size])
	}
}

// Bytes returns the greatest records in descending order.
func (t *Top) Bytes() []byte {
	slices.SortFunc(t.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(t.records[:min(t.Limit, len(t.records))], nil)
}
