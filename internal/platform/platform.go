// Package platform states what the daemon needs of the platform's services, in its own terms (platform.go), and holds the adapter
// that reaches them over connect (connect.go).
//
// It decides what an error of the store proves: that a request took no effect, or that it may have. It owns no state; a Client
// does I/O, bounds each request but a watch by RequestTimeout, and may be used by many goroutines at once.
package platform

import (
	"context"
	"time"
)

// Stamp says which write of a key is meant; only equality is relied on.
type Stamp struct {
	// Era of the service: it rises when the service comes back from a copy that lacks its latest writes, and gives versions out
	// again.
	Era uint64
	// Version is the service's own, raised with each write; zero for a key that is not there.
	Version uint64
}

// Entry is a key of the key-value service with its value. Where the key is not there it has the era alone.
type Entry struct {
	Key string
	Stamp
	Value []byte
}

// Store is the key-value service. Errors are of type *failure.Failure: STORE_UNAVAILABLE where a request certainly took
// no effect, OUTCOME_UNKNOWN where it may have.
type Store interface {
	// Get returns the entry of a key; found is false where it was never written.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List returns all entries with the prefix, without their values, which take megabytes where there are many services.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes if the key is still at the base (version zero: absent). swapped is false, with the present entry, if
	// it is not.
	CompareAndSwap(ctx context.Context, key string, base Stamp, value []byte) (entry Entry, swapped bool, err error)
	// Watch calls changed for each write until the context ends or the connection breaks. Events may be lost.
	Watch(ctx context.Context, prefix string, changed func(Entry)) error
}

// Role is what a machine does.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RoleNode
	RoleBackEnd
)

// Machine is an entry of the machine list.
type Machine struct {
	Address string
	Zone    string
	Role    Role
	Leaving bool
}

// MachineList is the platform's lagging list of machines.
type MachineList interface {
	// Machines returns the list as the platform has it now.
	Machines(ctx context.Context) ([]Machine, error)
}

// RequestTimeout bounds one request to the platform.
const RequestTimeout = 2 * time.Second

// ServicePrefix precedes the name of a service in its key.
const ServicePrefix = "services/"
