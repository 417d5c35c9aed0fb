package priority

import (
	"cmp"
	"slices"

	"stiletrail/internal/clock"
)

// Queue holds the waiters of one service. The zero value is empty.
type Queue struct {
	waiters []*Waiter
	// sinceLessUrgent counts the turns since an overdue waiter of a less urgent rank was asked out of order, and sinceEqual
	// those since one of the first rank was. lessUrgentFirst and equalFirst are those that the last Order has put first.
	sinceLessUrgent int
	sinceEqual      int
	lessUrgentFirst []*Waiter
	equalFirst      []*Waiter
}

// Add adds a waiter.
func (q *Queue) Add(w *Waiter) { q.waiters = append(q.waiters, w) }

// Remove removes a waiter. It does nothing if the waiter is not in the queue.
func (q *Queue) Remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }

// Order returns the waiters in the order in which they are to be asked now. The first one that can use the capacity
// gets it, and the caller reports that with Served.
func (q *Queue) Order(now clock.Ms, shares *Shares) []*Waiter {
	ordered := slices.Clone(q.waiters)
	q.lessUrgentFirst, q.equalFirst = nil, nil
	if len(ordered) < 2 {
		return ordered
	}
	slices.SortStableFunc(ordered, func(a, b *Waiter) int { return compare(now, shares, a, b) })
	q.chooseOverdue(now, ordered)
	first := slices.Concat(q.lessUrgentFirst, q.equalFirst)
	rest := slices.DeleteFunc(ordered, func(w *Waiter) bool { return slices.Contains(first, w) })
	return append(first, rest...)
}

// chooseOverdue chooses the overdue waiters that go first in this turn. They are asked one after the other, since the one
// that has been overdue for the longest time may not be able to use the capacity.
func (q *Queue) chooseOverdue(now clock.Ms, ordered []*Waiter) {
	rank := ordered[0].Request.Rank
	if q.sinceLessUrgent+1 >= overdueInterval {
		q.lessUrgentFirst = overdue(now, ordered, func(w *Waiter) bool { return w.Request.Rank > rank })
	}
	if q.sinceEqual+1 >= overdueInterval {
		q.equalFirst = overdue(now, ordered, func(w *Waiter) bool { return w.Request.Rank == rank })
	}
}

// overdue returns the overdue waiters of a kind. The one that has been overdue for the longest time is first.
func overdue(now clock.Ms, waiters []*Waiter, ofKind func(*Waiter) bool) (found []*Waiter) {
	for _, w := range waiters {
		if ofKind(w) && w.overdueAt() <= now {
			found = append(found, w)
		}
	}
	slices.SortStableFunc(found, func(a, b *Waiter) int { return cmp.Compare(a.overdueAt(), b.overdueAt()) })
	return found
}

// Served removes a waiter that was asked, and counts its turn.
func (q *Queue) Served(w *Waiter) {
	q.sinceLessUrgent++
	q.sinceEqual++
	switch {
	case slices.Contains(q.lessUrgentFirst, w):
		q.sinceLessUrgent = 0
	case slices.Contains(q.equalFirst, w):
		q.sinceEqual = 0
	}
	q.Remove(w)
}

// compare returns a negative number if a goes before b by the rules 2 to 6 of the package comment.
func compare(now clock.Ms, shares *Shares, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.Request.Rank, b.Request.Rank),
		compareFlags(!shares.AboveEqual(a.Request.Tenant), !shares.AboveEqual(b.Request.Tenant)),
		compareFlags(now < a.Request.AnswerBy, now < b.Request.AnswerBy),
		compareFlags(a.Request.Lacking > 0, b.Request.Lacking > 0),
		cmp.Compare(a.Request.Open, b.Request.Open),
		cmp.Compare(a.Since, b.Since),
	)
}

// compareFlags orders true before false.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
