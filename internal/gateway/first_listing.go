package gateway

import (
	"sync/atomic"
	"time"
)

// firstListing tracks whether a node that has started has learned the whole content of the store. It is written with
// Gateway.mu held and read without the lock.
type firstListing struct {
	// read is set once a whole listing was read from the store, or was received from another node.
	read atomic.Bool
	// readAt is the moment at which read was set, as a time.Duration on the node's clock; 0 before.
	readAt atomic.Int64
	// complete is closed once read is set and a configuration is in force.
	complete chan struct{}
}

// markRead records that the node knows the whole content of the store. Requests that wait for it continue once there is
// also a configuration.
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

// markListed records that the node knows the whole content of the store.
func (g *Gateway) markListed() { g.firstListing.markRead(g.now(), g.table.Load() != nil) }
