package engine

import (
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/gossip"
	"stiletrail/internal/membership"
	"stiletrail/internal/placement"
)

// Settings of a node's decisions. All nodes must have the same placement settings.
type Settings struct {
	Membership membership.Settings
	Gossip     gossip.Settings
	Placement  placement.Settings
	Dispatch   dispatch.Settings
	// MaximumQueries bounds the searches and executes under way at this root.
	MaximumQueries int
	// StoreInterval is the time between two readings of the whole store by a relay.
	StoreInterval time.Duration
	// JoinWait is how long a fresh node tries peers alone before it asks the store too.
	JoinWait time.Duration
	// RoutingInterval is the time between two refreshes of what the shards of an active service hold.
	RoutingInterval time.Duration
	// RoutingWait bounds the wait of a first search for what the shards hold.
	RoutingWait time.Duration
	// ReissueShare is the part of shards that may be asked of a second dispatcher while the first is silent.
	ReissueShare float64
	// LeaveGrace is how long a leaving node still takes sub-queries from roots that have not heard of it yet.
	LeaveGrace time.Duration
}

// DefaultSettings gives the settings used where nothing else is said.
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
