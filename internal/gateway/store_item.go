package gateway

import (
	"stiletrail/internal/history"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Item is the decoded form of one record of the store.
type Item struct {
	// Key is the key of the record. The gateway does not interpret it.
	Key string
	// Revision is the revision of the item's last change.
	Revision history.Revision
	Deleted  bool
	// Content is the meaning of the item. It is nil if the gateway has no use for it.
	Content Content
	// Err says why an item could not be read. If it is a configuration, the one in force stays in force. If it is the
	// entry of a back end, that back end gets no more requests.
	Err error
}

// Content is the content of an item: a Configuration, a BackEnd or an Evacuation.
type Content interface{ content() }

// Configuration is the operator's configuration. The pointer is nil if the item was deleted.
type Configuration struct{ *routing.Configuration }

// BackEnd is the entry of a back end.
type BackEnd struct {
	ID string
	// Entry is nil if the item was deleted or cannot be read.
	Entry *replica.Entry
}

// Evacuation makes a zone get no requests for as long as the item is in the store.
type Evacuation struct{ Zone string }

func (Configuration) content() {}
func (BackEnd) content()       {}
func (Evacuation) content()    {}
