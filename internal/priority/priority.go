// Package priority decides which of the shards that wait for capacity of the same service is asked next, when an
// attempt ends or a back end gets room in another way. Capacity is short where a back end accepts few connections from
// each node, or where attempts take long.
//
// The order, from first to last (Queue.Order):
//
//  1. In one turn out of overdueInterval the waiters of less urgent ranks that are overdue (Waiter.overdueAt), and in
//     another one those of the same rank; the one that has been overdue for the longest time first. So nobody starves
//     while others keep coming that go first by the rules below.
//  2. The more urgent rank.
//  3. The tenant that holds no more than an equal share of the node's attempts in flight (Shares).
//  4. The request that can still be answered within its target latency.
//  5. The request that has too few answers before one that only becomes more complete; then the one with the fewest
//     unanswered shards, since it soonest becomes an answer.
//  6. The oldest.
//
// The package owns Queue, the waiters of one service, and Shares, the attempts in flight by tenant. Its caller tells it
// of waiters and of attempts. It does no I/O, takes no lock and reads no clock. All times are readings of the caller's
// clock.
package priority

import "stiletrail/internal/clock"

const (
	// overdueShare is the share of its target latency after which a waiter is overdue. It is half of the time after
	// which a request of which nothing has run is refused, so that there is a turn before the refusal.
	overdueShare = 0.1
	// overdueInterval is the number of turns of a service of which one goes to an overdue waiter of a less urgent rank,
	// and one to an overdue waiter of the same rank.
	overdueInterval = 4
)

// Request is what the order goes by for all waiting shards of one request.
type Request struct {
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// Tenant is the name of the tenant on whose behalf the request is sent; empty if there are no tenants.
	Tenant string
	// TargetLatency is the time within which the request should be answered, and AnswerBy the latest time at which an
	// answer is still within it.
	TargetLatency clock.Ms
	AnswerBy      clock.Ms
	// Lacking is the number of shards that must still answer before the request can succeed. Open is the number of
	// shards without an answer.
	Lacking int
	Open    int
}

// Waiter is a shard that waits for capacity.
type Waiter struct {
	Request *Request
	Shard   int
	// Since is when the wait began.
	Since clock.Ms
}

// overdueAt returns from when on the waiter has been passed over for too long.
func (w *Waiter) overdueAt() clock.Ms {
	return w.Since + clock.Ms(overdueShare*float64(w.Request.TargetLatency))
}
