// Package quota decides how much of a limit that all nodes share each node may use. The limits of tenants and the slack
// of the retry budgets are such limits.
//
// Each limit is divided into a few pools. The accountant of a pool is one node, chosen by a hash from the known members
// of one region. A node that needs tokens borrows them from an accountant, by preference one of its own region, and
// reports what it has used. An accountant counts, for its pool, what was used in the window and what is lent. Pools
// need nothing of each other, so their sum stays within the limit whichever nodes can reach each other. The protocol is
// in docs/design/quotas.md.
//
//   - holder.go, asking.go, usage.go, ledger.go: the node that borrows and uses tokens
//   - accountant.go, pool.go, sliding.go: the node that lends them
//   - ranking.go: which node that is
//
// The package does no I/O, starts no goroutine and reads no clock. Messages and times go in, messages and verdicts come
// out. It is not safe for concurrent use.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/clock"
)

// LimitID identifies a limit among nodes. It is a hash of the kind and the name of what is limited.
type LimitID uint64

// LimitIDOf returns the key of the limit of a named thing of a kind, such as a tenant.
func LimitIDOf(kind, name string) LimitID { return LimitID(xxhash.Sum64String(kind + "/" + name)) }

// Limit is how much may be used by all nodes together.
type Limit struct {
	// Window is the length of the sliding window, in milliseconds.
	Window clock.Ms
	// Allowed is how much may be used in any window. Requests within it should not be refused.
	Allowed float64
	// Bound is how much must not be exceeded in any window, whichever nodes can reach each other. It is at least Allowed.
	Bound float64
}

const (
	// poolCount is the number of pools of a limit. With three regions each has one or two, so that the loss of one
	// accountant leaves four fifths of the limit, and that of two three fifths.
	poolCount = 5
	// workingMargin is the part of what lies between Allowed and Bound that is lent as well as Allowed. It makes up for
	// tokens that lie unused at nodes. The rest is the reserve: the only part that an accountant lends while it does not
	// know what its predecessor has lent.
	workingMargin = 0.6
	// leasesPerWindow is the number of leases that fit into a window. A short lease soon frees what a lost node held.
	leasesPerWindow = 10
	// roundingError is added before a limit is rounded down to whole tokens.
	roundingError = 1e-9
)

// working returns how many tokens all accountants together lend.
func (l Limit) working() int {
	return int(math.Floor(l.Allowed + workingMargin*(l.Bound-l.Allowed) + roundingError))
}

// total returns how many tokens there are, including the reserve.
func (l Limit) total() int { return int(math.Floor(l.Bound + roundingError)) }

// poolShare returns the part of a number of tokens that belongs to a pool. The parts of all pools add up to the number.
func poolShare(tokens int, pool uint8) int {
	before := tokens * int(pool) / poolCount
	return tokens*(int(pool)+1)/poolCount - before
}

// leaseDuration returns for how long a token may be used after it was lent. It counts from the request for it at the
// node that borrows, and from the grant at the accountant, so that the node stops first.
func (l Limit) leaseDuration() clock.Ms { return l.Window / leasesPerWindow }

// TakeResult says whether a token was taken. It is one of Granted, Pending and Exceeded.
type TakeResult interface{ takeResult() }

// Granted means that the token was taken.
type Granted struct{ Token Token }

// Pending means that this node has no token left and has asked for more. Until is when it is worth while to try again
// although no answer has come.
type Pending struct{ Until clock.Ms }

// Exceeded means that no accountant has tokens. There will be some after RetryAfter.
type Exceeded struct {
	RetryAfter clock.Ms
	// InUse is how many tokens all accountants have last reported as used or lent, and Age the time since the oldest of
	// these reports.
	InUse int
	Age   clock.Ms
	// Below is set if InUse is below what is allowed, so that the refusal is a fault of this system.
	Below bool
}

func (Granted) takeResult()  {}
func (Pending) takeResult()  {}
func (Exceeded) takeResult() {}

// Token is what was taken. It can be returned if nothing was done with it.
type Token struct {
	pool    uint8
	granter uint32
	count   int
	takenAt clock.Ms
	until   clock.Ms
}
