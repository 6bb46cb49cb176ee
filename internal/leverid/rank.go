package leverid

import "github.com/juju/errors"

// Rank is the priority class of a request. A lower value has the higher
// priority.
type Rank uint8

// The ranks, from the highest to the lowest priority.
const (
	Urgent Rank = iota
	Routine
	Bulk
	// RankCount is the number of ranks, for arrays indexed by Rank.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "routine", "bulk"}

// Ranks returns all ranks, the highest priority first.
func Ranks() [RankCount]Rank { return [RankCount]Rank{Urgent, Routine, Bulk} }

// ParseRank returns the rank with the given name, or a BadRequest error if
// there is none.
func ParseRank(s string) (Rank, error) {
	for i, n := range rankNames {
		if n == s {
			return Rank(i), nil
		}
	}
	return 0, errors.BadRequestf("rank %q (want urgent, routine or bulk)", s)
}

// Valid reports whether r is one of the ranks.
func (r Rank) Valid() bool { return r < RankCount }

// String returns the rank's name, or "invalid".
func (r Rank) String() string {
	if !r.Valid() {
		return "invalid"
	}
	return rankNames[r]
}

// MarshalText returns the rank's name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses a rank's name.
func (r *Rank) UnmarshalText(b []byte) error {
	v, err := ParseRank(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}
