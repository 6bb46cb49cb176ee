package leverdirectory

import (
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
)

// Homes are the regions in which requests may be processed. Nil stands for all regions,
// while an empty list that is not nil allows none.
type Homes []leverid.Region

// NewHomes returns the homes that a configuration lists. A list without regions stands
// for all.
func NewHomes(list []leverid.Region) Homes {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Allow reports whether requests may be processed in a region. A region that is not known
// is no home.
func (h Homes) Allow(r leverid.Region) bool {
	return h == nil || r != "" && slices.Contains(h, r)
}

// And returns the regions that both allow.
func (h Homes) And(other Homes) Homes {
	if h == nil {
		return other
	}
	if other == nil {
		return h
	}
	both := Homes{}
	for _, r := range h {
		if other.Allow(r) {
			both = append(both, r)
		}
	}
	return both
}

// Regions holds the region of each failure domain.
type Regions map[leverid.Domain]leverid.Region
