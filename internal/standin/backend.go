package standin

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/query"
)

// Latency is a log-normal distribution of service times, with occasional slow requests (stragglers).
type Latency struct {
	Median time.Duration
	// Sigma is the standard deviation of the natural logarithm of the service time.
	Sigma float64
	// StragglerChance is the probability that a request takes StragglerFactor times as long.
	StragglerChance float64
	StragglerFactor float64
	// PerShard is the fraction of the service time that each shard after the first adds.
	PerShard float64
}

// Draw returns a random service time for a request over the given number of shards.
func (l Latency) Draw(random *rand.Rand, shards int) time.Duration {
	drawn := float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64())
	drawn *= 1 + l.PerShard*float64(max(shards-1, 0))
	if l.StragglerChance > 0 && random.Float64() < l.StragglerChance {
		drawn *= l.StragglerFactor
	}
	return time.Duration(drawn)
}

// retainedVersions is the number of versions of its index that a back end holds.
const retainedVersions = 4

// coldRequests is the number of requests after which a cold back end is warm. Until then its service times are multiplied by
// coldFactor: it works at a third of its speed.
const (
	coldRequests = 30
	coldFactor   = 3
)

// shedRetryAfter is the retry delay that a back end without a free slot returns.
const shedRetryAfter = 5 * time.Millisecond

// BackEnd is a model of a back end of one service.
type BackEnd struct {
	Index   Index
	Address string
	Slots   int
	Latency Latency
	// State is the actual state.
	State query.State
	// ReportedState, where set, is the state that the back end reports instead of the actual one.
	ReportedState query.State
	// Epoch, Total (the number of shards) and Shards say which part of the index the back end holds.
	Epoch         uint64
	Total         uint32
	Shards        []uint32
	NewestVersion uint64
	OldestVersion uint64
	// CorruptionChance is the probability that an answer is corrupted.
	CorruptionChance float64

	random         *rand.Rand
	keys           Keyspace
	slotsInUse     int
	requestsServed int
	// ExecutionCounts holds how often each request that is not repeatable was executed, by its body.
	ExecutionCounts map[string]int
	// RequestsWhileDraining counts the requests that arrived while the back end was draining.
	RequestsWhileDraining int
}

// NewBackEnd returns a back end that is serving and holds version 1 of the given shards, in epoch 1.
func NewBackEnd(
	index Index, address string, slots int, latency Latency, total uint32, shards []uint32, random *rand.Rand,
) *BackEnd {
	return &BackEnd{
		Index: index, Address: address, Slots: slots, Latency: latency, State: query.StateServing, Epoch: 1, Total: total,
		Shards: shards, NewestVersion: 1, OldestVersion: 1, random: random, keys: index.Split(total), ExecutionCounts: map[string]int{},
	}
}

// Publish adds a version as the newest one. Versions older than the newest versionsKept are removed.
func (b *BackEnd) Publish(version uint64) {
	b.NewestVersion = max(b.NewestVersion, version)
	if b.NewestVersion >= retainedVersions {
		b.OldestVersion = max(b.OldestVersion, b.NewestVersion-retainedVersions+1)
	}
}

// Repartition replaces the back end's shards by those of a new epoch, in which it holds only the newest version.
func (b *BackEnd) Repartition(epoch uint64, total uint32, shards []uint32) {
	b.Epoch, b.Total, b.Shards = epoch, total, shards
	b.OldestVersion = b.NewestVersion
	b.keys = b.Index.Split(total)
}

// Holding returns what the back end reports about its state, shards and versions.
func (b *BackEnd) Holding() query.Holding {
	state := b.State
	if state == query.StateCold && b.requestsServed >= coldRequests {
		state = query.StateServing
	}
	if b.ReportedState != query.StateUnknown {
		state = b.ReportedState
	}
	return query.Holding{
		State: state, Epoch: b.Epoch, ShardsTotal: b.Total, Shards: slices.Clone(b.Shards), OldestVersion: b.OldestVersion, NewestVersion: b.NewestVersion,
	}
}

// Arrive handles a request. If the request is refused, works is false and the result is final. Otherwise the request takes a slot:
// the caller calls Finish after serviceTime and then delivers the result.
func (b *BackEnd) Arrive(
	attempt query.Attempt, remaining time.Duration,
) (result query.AttemptResult, serviceTime time.Duration, works bool) {
	result = query.AttemptResult{
		Attempt: attempt.Number, Snapshot: query.Snapshot{Version: attempt.Snapshot.Version, Epoch: b.Epoch},
		Holding: b.Holding(), HasHolding: true,
	}
	result.Status = b.refusal(attempt, remaining)
	if result.Status != query.StatusNone {
		if result.Status == query.StatusShed {
			result.RetryAfter = shedRetryAfter
		}
		return result, 0, false
	}
	b.slotsInUse++
	serviceTime = b.Latency.Draw(b.random, len(attempt.Shards))
	if b.State == query.StateCold && b.requestsServed < coldRequests {
		serviceTime *= coldFactor
	}
	b.requestsServed++
	b.answer(&result, attempt)
	return result, serviceTime, true
}

func (b *BackEnd) refusal(attempt query.Attempt, remaining time.Duration) query.Status {
	switch {
	case b.State == query.StateDraining:
		b.RequestsWhileDraining++
		return query.StatusDraining
	case remaining <= 0:
		return query.StatusExpired
	case attempt.Snapshot.Epoch != b.Epoch:
		return query.StatusVersionUnavailable
	case !attempt.Execute && (attempt.Snapshot.Version < b.OldestVersion || attempt.Snapshot.Version > b.NewestVersion):
		return query.StatusVersionUnavailable
	}
	for _, shard := range attempt.Shards {
		if !slices.Contains(b.Shards, shard) {
			return query.StatusNotHeld
		}
	}
	if b.slotsInUse >= b.Slots {
		return query.StatusShed
	}
	return query.StatusNone
}

func (b *BackEnd) answer(result *query.AttemptResult, attempt query.Attempt) {
	result.Status = query.StatusOK
	for _, shard := range attempt.Shards {
		if attempt.Execute {
			b.ExecutionCounts[string(attempt.Body)]++
			done := query.Document{Key: "done", Body: attempt.Body}
			result.Results = append(result.Results, query.ShardDocuments{Shard: shard, Documents: []query.Document{done}})
			continue
		}
		result.Results = append(result.Results, b.Index.Shard(b.keys, shard, attempt.Snapshot.Version, attempt.Body))
	}
	if b.CorruptionChance > 0 && b.random.Float64() < b.CorruptionChance {
		b.corrupt(result)
	}
}

// corrupt changes an answer in a way that a node must detect: another snapshot version, a missing shard, or a shard number that
// does not exist.
func (b *BackEnd) corrupt(result *query.AttemptResult) {
	switch b.random.IntN(3) {
	case 0:
		result.Snapshot.Version++
	case 1:
		result.Results = result.Results[:len(result.Results)-1]
	default:
		result.Results[0].Shard = b.Total
	}
}

// Finish frees the slot of a request that was answered or cancelled.
func (b *BackEnd) Finish() {
	if b.slotsInUse == 0 {
		panic("standin: Finish was called without a request in flight")
	}
	b.slotsInUse--
}
