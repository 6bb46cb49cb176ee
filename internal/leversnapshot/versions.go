package leversnapshot

import "arbutuslever.dev/lever/internal/leverid"

// VersionRange is the range of index versions that several upstreams all serve.
// The zero value is unbounded.
type VersionRange struct {
	oldest, newest leverid.IndexVersion
}

// Intersect restricts the range to the versions of one upstream. A bound of 0 is
// unknown and has no effect.
func (r *VersionRange) Intersect(oldest, newest leverid.IndexVersion) {
	r.oldest = max(r.oldest, oldest)
	if newest == 0 {
		return
	}
	if r.newest == 0 || newest < r.newest {
		r.newest = newest
	}
}

// Restart returns the shard map of the newest version in the range other
// than the pinned one. It returns false if there is none.
func (r *VersionRange) Restart(x *Index, pinned leverid.IndexVersion) (Map, bool) {
	for i := len(x.Maps) - 1; i >= 0; i-- {
		m := x.Maps[i]
		if m.Version == pinned || m.Version < r.oldest {
			continue
		}
		if r.newest != 0 && m.Version > r.newest {
			continue
		}
		return m, true
	}
	return Map{}, false
}
