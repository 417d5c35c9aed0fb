package gateway

import (
	"context"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/history"
	"stiletrail/internal/message"
)

// Page is a part of a listing.
type Page struct {
	Records []message.StoreRecord
	// LastKey key of the page, from which the next one goes on.
	LastKey string
	// Revision is the revision of the store when the page was read; More says that other pages follow.
	Revision history.Revision
	More     bool
}

// StoreWrite is something that a node keeps in the store: a quarantine or a claim.
type StoreWrite struct {
	Key   string
	Value []byte
	// Lease is how long it stays at most.
	Lease clock.Ms
	// IfAbsent: it is written only where there is nothing yet.
	IfAbsent bool
}

// Store is read for the configuration, the back ends and evacuated zones; nodes keep quarantines and claims of retrials there.
// Failures have the code STORE_UNAVAILABLE or, where an answer cannot be read, MALFORMED; FailureKind tells their kind.
type Store interface {
	// List reads the page of keys after one. Known is the revision that the node knows, by which the answer is told from one of an
	// earlier era.
	List(ctx context.Context, known history.Revision, after string) (Page, error)
	// Watch waits for changes after a revision and returns them with the revision to go on from.
	Watch(ctx context.Context, revision history.Revision, wait time.Duration) ([]message.StoreRecord, history.Revision, error)
	// Decode says what a record means. A value that cannot be read is noted in the item.
	Decode(record message.StoreRecord) Item
	// Write writes something that nodes keep in the store themselves, and reports whether it did: not where it is there already
	// and the write is to be the first.
	Write(ctx context.Context, w StoreWrite) (written bool, err error)
	// Remove takes something away that nodes keep there.
	Remove(ctx context.Context, key string) error
	// FailureKind is the kind of a failure of this store.
	FailureKind(err error) follow.FailureKind
}
