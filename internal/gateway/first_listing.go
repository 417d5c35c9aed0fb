package gateway

import (
	"sync/atomic"
	"time"
)

// firstListing is how far a node that starts has come to know the store. It is written with Gateway.mu held and read without.
type firstListing struct {
	// read: a whole listing was read, or told by another node.
	read atomic.Bool
	// readAt is when that was, as a time.Duration on the node's clock; 0 before.
	readAt atomic.Int64
	// complete is closed once it was read and a configuration is in force.
	complete chan struct{}
}

// markRead takes in that the node knows the whole content of the store. Requests that wait for it go on once there is a
// configuration.
func (l *firstListing) markRead(now time.Duration, configured bool) {
	if l.read.CompareAndSwap(false, true) {
		l.readAt.Store(int64(now))
	}
	select {
	case <-l.complete:
	default:
		if configured {
			close(l.complete)
		}
	}
}

// markListed takes in that the node knows the whole content of the store.
func (g *Gateway) markListed() { g.firstListing.markRead(g.now(), g.table.Load() != nil) }
