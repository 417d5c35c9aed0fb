package spread

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/history"
)

// Store is the Copy.ConfirmedBy of a copy that the store itself has confirmed.
const Store = "store"

// Copy describes what this node's copy of the store is known to contain.
type Copy struct {
	// Revision is the revision up to which the node knows all changes.
	Revision history.Revision
	// ConfirmedBy is who last confirmed that the copy was complete: Store, or the address of a peer. It is empty if
	// nobody has.
	ConfirmedBy string
	// Behind is for how long the node has known of a later revision, or 0 if it knows of none.
	Behind clock.Ms
}

// Copy returns a description of the copy.
func (c *Core) Copy(now time.Duration) Copy {
	described := Copy{Revision: c.revision, ConfirmedBy: c.confirmed.by}
	if c.latestHeard.After(c.revision) {
		described.Behind = clock.FromDuration(now - c.behindSince)
	}
	return described
}

// hear records that a peer knows all changes up to a revision.
func (c *Core) hear(now time.Duration, revision history.Revision) {
	if !revision.After(c.revision) {
		return
	}
	if !c.latestHeard.After(c.revision) {
		c.behindSince = now
	}
	c.latestHeard = history.Latest(c.latestHeard, revision)
}
