// Package platform defines the interfaces to the platform's services that stiletraild uses: the key-value store and the
// machine list (platform.go). It also has the client that reaches them over the connect protocol (connect.go).
//
// It decides what an error of the store means: that a request had no effect, or that it may have had one. The package
// owns no state. A Client does I/O, limits each request except a watch to RequestTimeout, and may be used by many
// goroutines at once.
package platform

import (
	"context"
	"time"
)

// Stamp identifies a write of a key. Stamps are only compared for equality.
type Stamp struct {
	// Era is the era of the store. It rises when the store was restored from a backup that lacks the latest writes,
	// because the store then assigns the same versions again to other writes.
	Era uint64
	// Version is assigned by the store and rises with each write. It is zero for a key that does not exist.
	Version uint64
}

// Entry is a key of the store with its stamp and value. For a key that does not exist only the era is set.
type Entry struct {
	Key string
	Stamp
	Value []byte
}

// Store is the platform's key-value store. Errors are of type *failure.Failure. Their code is STORE_UNAVAILABLE if the
// request certainly had no effect, and OUTCOME_UNKNOWN if it may have had one.
type Store interface {
	// Get returns the entry of a key. found is false if the key was never written.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List returns all entries whose keys have the prefix. The entries have no values: with many services these would
	// take megabytes.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the value if the key's present stamp is base. A base of version zero means that the key
	// must not exist. If the stamp is another one, swapped is false and entry is the present entry.
	CompareAndSwap(ctx context.Context, key string, base Stamp, value []byte) (entry Entry, swapped bool, err error)
	// Watch calls changed for each write to a key with the prefix, until the context ends or the connection breaks.
	// It may miss writes.
	Watch(ctx context.Context, prefix string, changed func(Entry)) error
}

// Role is the purpose of a machine.
type Role uint8

// The roles of machines.
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
	// Leaving is true for a machine that the platform will remove. A back end on such a machine is treated as draining.
	Leaving bool
}

// MachineList is the platform's list of machines. The list may be out of date by some time.
type MachineList interface {
	// Machines returns the platform's present list.
	Machines(ctx context.Context) ([]Machine, error)
}

// RequestTimeout is the time limit of one request to the platform, except for a watch.
const RequestTimeout = 2 * time.Second

// ServicePrefix is the prefix of the keys of services: the key of a service is the prefix followed by the service's
// name.
const ServicePrefix = "services/"
