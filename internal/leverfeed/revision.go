package leverfeed

import "math"

// Era counts how often the store has come back from an older copy. It is 0 if it is not
// known, otherwise one more than the number that the store states, which may be 0.
type Era uint16

// MaxStated is the largest number of an era that a store may state.
const MaxStated = math.MaxUint16 - 1

// EraOf returns the era with the number, at most MaxStated, that the store states.
func EraOf(stated uint64) Era { return Era(stated + 1) }

// Stated returns the number that the store states, or -1 if the era is not known.
func (e Era) Stated() int { return int(e) - 1 }

// Revision is the number of a change in the store, with the store's era in its upper 16
// bits: the order of revisions is that of changes, also after the store has come back from
// an older copy and gives numbers out again.
type Revision uint64

const (
	numberBits = 48
	// MaxNumber is the largest number of a change.
	MaxNumber = 1<<numberBits - 1
)

// At returns the revision with a number, at most MaxNumber, in an era.
func At(era Era, number uint64) Revision { return Revision(era)<<numberBits | Revision(number) }

// Number returns the number as the store states it.
func (r Revision) Number() uint64 { return uint64(r & MaxNumber) }

// Era returns the era.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// In returns the revision in an era if its own is not known.
func (r Revision) In(era Era) Revision {
	if r.Era() != 0 {
		return r
	}
	return At(era, r.Number())
}

// Returned reports whether the store has come back from an older copy between an earlier
// revision and r.
func (r Revision) Returned(earlier Revision) bool {
	return earlier.Era() != 0 && r.Era() > earlier.Era()
}
