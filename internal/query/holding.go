package query

import "slices"

// State is the state a back end is in.
type State uint8

// The states a back end states of itself.
const (
	StateUnknown State = iota
	StateCold
	StateServing
	StateDraining
)

// Holding is what a back end says of itself for one service.
type Holding struct {
	State         State
	Epoch         uint64
	ShardsTotal   uint32
	Shards        []uint32
	OldestVersion uint64
	NewestVersion uint64
}

// HasSnapshot reports whether the back end can answer at a snapshot, for the shards it holds.
func (h Holding) HasSnapshot(at Snapshot) bool {
	return h.Epoch == at.Epoch && at.Version >= h.OldestVersion && at.Version <= h.NewestVersion
}

// HasShardAt reports whether the back end can answer for a shard at a snapshot.
func (h Holding) HasShardAt(shard uint32, at Snapshot) bool {
	return h.HasSnapshot(at) && h.HasShard(shard)
}

// HasShard reports whether the shard is among those held.
func (h Holding) HasShard(shard uint32) bool {
	return slices.Contains(h.Shards, shard)
}
