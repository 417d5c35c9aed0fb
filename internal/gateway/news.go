package gateway

import (
	"time"

	"stiletrail/internal/clock"
)

// neverConfirmed stands for the age of a copy of the store that was never known to be complete.
const neverConfirmed clock.Ms = -1

// copyAge is how long ago the copy of the store was last known to be complete; the lock is held.
func (g *Gateway) copyAge(now time.Duration) clock.Ms {
	if age, known := g.view.Age(now); known {
		return age
	}
	return neverConfirmed
}

// noteAge has the journal know when the copy turns stale and when it is complete again; the lock is held.
func (g *Gateway) noteAge(now time.Duration) {
	age := g.copyAge(now)
	stale := age > staleAfter
	if stale == g.stale {
		return
	}
	if g.stale = stale; stale {
		g.journal.CopyStale(age)
	} else {
		g.journal.CopyFresh()
	}
}
