package query

import "slices"

// State is the state of a back end.
type State uint8

// The states that a back end reports.
const (
	StateUnknown State = iota
	// StateCold is the state of a back end that is still warming up.
	StateCold
	StateServing
	// StateDraining is the state of a back end that accepts no new work.
	StateDraining
)

// Holding is what a back end reports about itself for one service: its state, and the shards and versions that it
// holds.
type Holding struct {
	State State
	Epoch uint64
	// ShardsTotal is the number of shards in the epoch, Shards the numbers of those that the back end holds.
	ShardsTotal uint32
	Shards      []uint32
	// The back end can answer at all versions from OldestVersion to NewestVersion.
	OldestVersion uint64
	NewestVersion uint64
}

// HasSnapshot reports whether the back end can answer at a snapshot for the shards that it holds.
func (h Holding) HasSnapshot(at Snapshot) bool {
	return h.Epoch == at.Epoch && at.Version >= h.OldestVersion && at.Version <= h.NewestVersion
}

// HasShardAt reports whether the back end can answer for a shard at a snapshot.
func (h Holding) HasShardAt(shard uint32, at Snapshot) bool {
	return h.HasSnapshot(at) && h.HasShard(shard)
}

// HasShard reports whether the back end holds a shard, whatever the version.
func (h Holding) HasShard(shard uint32) bool {
	return slices.Contains(h.Shards, shard)
}
