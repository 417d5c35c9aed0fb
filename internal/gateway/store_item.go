package gateway

import (
	"stiletrail/internal/history"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Item is one thing the store holds, in the product's own terms.
type Item struct {
	// Key is opaque.
	Key string
	// Revision of the item's last change.
	Revision history.Revision
	Deleted  bool
	// Content is what the item says; nil where that is of no interest.
	Content Content
	// Err says why an item could not be read. A configuration that was known before stays in force; a back end gets nothing more.
	Err error
}

// Content is what an item says: a Configuration, a BackEnd or an Evacuation.
type Content interface{ content() }

// Configuration is the operator's. An item that is gone has none.
type Configuration struct{ *routing.Configuration }

// BackEnd is about a back end.
type BackEnd struct {
	ID string
	// Entry is nil on an item that is gone or cannot be read.
	Entry *replica.Entry
}

// Evacuation asks for nothing more to be sent to a zone; the zone gets requests again when the item is gone.
type Evacuation struct{ Zone string }

func (Configuration) content() {}
func (BackEnd) content()       {}
func (Evacuation) content()    {}
