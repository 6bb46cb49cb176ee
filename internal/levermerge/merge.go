// Package levermerge merges the records of shards into one answer. The merge is
// associative and commutative, so the order of the parts does not matter.
package levermerge

import (
	"slices"
	"strings"

	"arbutuslever.dev/lever/internal/levermsg"
)

// Set collects records by key. The zero value is ready to use. It is not safe
// for concurrent use.
type Set struct {
	byKey map[string]levermsg.Record
}

// Add adds records to the set. Of two records with the same key it keeps the
// one with the higher revision. At equal revisions it keeps the larger value,
// so that the result does not depend on the order of arrival.
func (s *Set) Add(records []levermsg.Record) {
	if s.byKey == nil {
		s.byKey = make(map[string]levermsg.Record, len(records))
	}
	for _, r := range records {
		old, ok := s.byKey[r.Key]
		if !ok || newer(r, old) {
			s.byKey[r.Key] = r
		}
	}
}

func newer(a, b levermsg.Record) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return strings.Compare(string(a.Value), string(b.Value)) > 0
}

// Len returns the number of distinct keys.
func (s *Set) Len() int { return len(s.byKey) }

// Page returns the records in key order and whether more follow. A positive
// limit bounds their number.
func (s *Set) Page(limit int) (records []levermsg.Record, more bool) {
	records = make([]levermsg.Record, 0, len(s.byKey))
	for _, r := range s.byKey {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b levermsg.Record) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(records) > limit {
		return records[:limit], true
	}
	return records, false
}
