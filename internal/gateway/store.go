package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// Page is a part of a listing of the store.
type Page struct {
	Records []message.StoreRecord
	// LastKey is the last key of the page. The next page starts after it.
	LastKey string
	// Revision is the revision of the store at which the page was read. More is set if further pages follow.
	Revision history.Revision
	More     bool
}

// StoreWrite is an entry that a node writes to the store: a quarantine or a claim.
type StoreWrite struct {
	Key   string
	Value []byte
	// Lease is the time after which the store deletes the entry.
	Lease clock.Ms
	// IfAbsent is set if the entry must be written only if its key is not in the store yet.
	IfAbsent bool
}

// LeaseID identifies a lease of the store. 0 is none.
type LeaseID uint64

// Store is the metadata store. The gateway reads the configuration, the back ends and the evacuated zones from it, and
// writes quarantines, claims of retrials and the roster of running nodes. Failed calls return failures with the code STORE_UNAVAILABLE or, if the
// answer cannot be read, MALFORMED. FailureKind tells their kind.
type Store interface {
	// List reads the page of keys that follow the key after. known is the revision that the node knows; the store
	// client uses it to recognize an answer from an earlier era.
	List(ctx context.Context, known history.Revision, after string) (Page, error)
	// Watch waits for changes after a revision. It returns them and the revision from which the next watch continues.
	Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error)
	// Decode returns the meaning of a record. If the value cannot be read, Item.Err says why.
	Decode(record message.StoreRecord) Item
	// Write writes an entry of this node, and reports whether it was written. It is not if w.IfAbsent is set and the key
	// is in the store already.
	Write(ctx context.Context, w StoreWrite) (written bool, err error)
	// GrantLease returns a new lease of the given length.
	GrantLease(ctx context.Context, length clock.Ms) (LeaseID, error)
	// RenewLease makes a lease last for its whole length again. It reports false if the lease is over.
	RenewLease(ctx context.Context, lease LeaseID) (held bool, err error)
	// WriteLeased writes an entry that the store deletes when the lease ends. It reports false if the lease is over; nothing
	// is written then.
	WriteLeased(ctx context.Context, key string, value []byte, lease LeaseID) (held bool, err error)
	// Remove deletes an entry that nodes have written.
	Remove(ctx context.Context, key string) error
	// FailureKind returns the kind of a failure that a call to this store has returned.
	FailureKind(err error) follow.FailureKind
}
