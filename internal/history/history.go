// Package history orders what the store says: which of two revisions is later, also where the store was restored from a backup
// of its data. It holds no state and does no I/O.
package history

import "cmp"

// Revision is a moment in the history of the store. Its numbers rise with each change within an era. When the store is restored
// from a backup, which lacks its latest changes, it gives numbers out again, and a new era begins: what is said in a later era
// is newer, whatever its number.
type Revision struct {
	// Era rises by one each time that the store is restored; 0 where the store does not tell it.
	Era uint64
	// Number of changes up to this one, in the history that the era goes on from.
	Number uint64
}

// At is a revision of an era.
func At(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare is negative where r is before other, positive where it is after, and 0 where they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Unknown reports whether r stands for knowing nothing of the store.
func (r Revision) Unknown() bool { return r == Revision{} }

// InferEra is the revision of an answer that gives a number and no era, to a call made when r was known. A store that answers
// linearizably gives a lower number than was known before the call only if it was restored since.
func (r Revision) InferEra(number uint64) Revision {
	if number < r.Number {
		return At(r.Era+1, number)
	}
	return At(r.Era, number)
}

// Latest is the later one of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
