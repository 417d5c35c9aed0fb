// Package history orders revisions of the store: which of two is later, also if the store was restored from a backup
// in between. It holds no state and does no I/O.
package history

import "cmp"

// Revision is a point in the history of the store. Within an era, its number rises with each change. A backup lacks
// the latest changes, so a store that is restored from one gives out numbers a second time. A new era begins then,
// and a revision of a later era is newer, whatever its number.
type Revision struct {
	// Era rises by one each time the store is restored. It is 0 if the store does not report eras.
	Era uint64
	// Number is the number of changes up to this revision, in the history that the era continues.
	Number uint64
}

// At returns the revision with a number in an era.
func At(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare returns a negative number if r is before other, a positive one if it is after, and 0 if they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Unknown reports whether r is the zero revision, which means that nothing is known of the store.
func (r Revision) Unknown() bool { return r == Revision{} }

// InferEra returns the revision of an answer that has a number but no era, where r was known when the call was made.
// A store that answers linearizably returns a number below one known before the call only if it was restored since.
func (r Revision) InferEra(number uint64) Revision {
	if number < r.Number {
		return At(r.Era+1, number)
	}
	return At(r.Era, number)
}

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
