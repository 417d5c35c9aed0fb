package engine

import (
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/gossip"
	"stiletrail/internal/membership"
	"stiletrail/internal/placement"
)

// Settings are the settings of a node. The Placement settings must be the same on all nodes.
type Settings struct {
	Membership membership.Settings
	Gossip     gossip.Settings
	Placement  placement.Settings
	Dispatch   dispatch.Settings
	// MaximumQueries is the maximum number of searches and executes in flight that callers sent to this node.
	MaximumQueries int
	// StoreInterval is the minimum time between two listings of the whole store by a relay.
	StoreInterval time.Duration
	// JoinWait is how long a new node tries to get the configuration from peers only before it reads the store too.
	JoinWait time.Duration
	// RoutingInterval is the time between two requests for the holdings of a service that is in use.
	RoutingInterval time.Duration
	// RoutingWait is the maximum time that a search or an execute waits for the holdings of a service.
	RoutingWait time.Duration
	// ReissueShare is the number of shards that may be asked of a second dispatcher, because the first is silent, per
	// search.
	ReissueShare float64
	// LeaveGrace is how long a leaving node still accepts sub-queries from roots that do not know yet that it leaves.
	LeaveGrace time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Membership:      membership.DefaultSettings(),
		Gossip:          gossip.DefaultSettings(),
		Placement:       placement.DefaultSettings(),
		Dispatch:        dispatch.DefaultSettings(),
		MaximumQueries:  4096,
		StoreInterval:   5 * time.Second,
		JoinWait:        time.Second,
		RoutingInterval: 200 * time.Millisecond,
		RoutingWait:     250 * time.Millisecond,
		ReissueShare:    0.1,
		LeaveGrace:      2 * time.Second,
	}
}
