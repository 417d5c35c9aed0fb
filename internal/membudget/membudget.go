// Package membudget bounds the memory that the bodies of requests and answers take in a process.
//
// A limit for one body bounds the process only times the bodies that may be there at once. A Budget is shared by all
// requests. Each request has an Account, out of which the bodies of the request and of its answers are read
// (read.go); closing the account returns all that it has taken. The package does no I/O of its own. Budgets and
// accounts are safe for concurrent use.
package membudget

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ErrExhausted is returned if the budget has too little left for a body, or the account is closed.
var ErrExhausted = errors.New("this node has no memory left for the body")

// reservedDivisor is n where one n-th of a budget is reserved for small bodies, so that large ones cannot keep requests with
// small ones from being served.
const reservedDivisor = 4

// Budget is the number of bytes that bodies may take at the same time.
type Budget struct {
	limit     int64
	used      atomic.Int64
	exhausted atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that open accounts have taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Exhausted returns how often since the start the budget had too little left.
func (b *Budget) Exhausted() int64 { return b.exhausted.Load() }

// Open returns an account that has taken nothing yet.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// take takes bytes and reports whether there were enough.
func (b *Budget) take(bytes int64, small bool) bool {
	limit := b.limit
	if !small {
		limit -= b.limit / reservedDivisor
	}
	if b.used.Add(bytes) <= limit {
		return true
	}
	b.used.Add(-bytes)
	b.exhausted.Add(1)
	return false
}

// Account holds what one request has taken out of a budget. A nil Account takes whatever is asked for.
type Account struct {
	budget *Budget
	mutex  sync.Mutex
	taken  int64
	closed bool
}

// take takes bytes out of the budget and reports whether there were enough. A closed account takes none.
func (a *Account) take(bytes int64, small bool) bool {
	if a == nil {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed || !a.budget.take(bytes, small) {
		return false
	}
	a.taken += bytes
	return true
}

// giveBack returns bytes that were taken for a body which was not read to its end.
func (a *Account) giveBack(bytes int64) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.closed {
		a.taken -= bytes
		a.budget.used.Add(-bytes)
	}
}

// Close returns all that the account has taken. The bodies that were read out of it must not be used afterwards.
func (a *Account) Close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.budget.used.Add(-a.taken)
	a.taken, a.closed = 0, true
}
