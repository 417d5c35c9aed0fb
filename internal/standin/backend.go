package standin

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/query"
)

// Latency is a log-normal distribution of service times.
type Latency struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	// StragglerChance of a request to take StragglerFactor times as long.
	StragglerChance float64
	StragglerFactor float64
	// PerShard is the part of a request's time that each shard after the first adds.
	PerShard float64
}

// Draw returns a service time for a request over so many shards.
func (l Latency) Draw(random *rand.Rand, shards int) time.Duration {
	drawn := float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64())
	drawn *= 1 + l.PerShard*float64(max(shards-1, 0))
	if l.StragglerChance > 0 && random.Float64() < l.StragglerChance {
		drawn *= l.StragglerFactor
	}
	return time.Duration(drawn)
}

// versionsKept is how many versions of its index a back end holds.
const versionsKept = 4

// coldRequests is how many requests it takes to warm up a cold back end, which works at a third of its speed until then.
const (
	coldRequests = 30
	coldFactor   = 3
)

// shedRetryAfter is what a back end without a free slot tells.
const shedRetryAfter = 5 * time.Millisecond

// BackEnd is a model of one back end of one service.
type BackEnd struct {
	Index   Index
	Address string
	Slots   int
	Latency Latency
	// State it is truly in.
	State query.State
	// ReportedState, where set, is what its health claims instead.
	ReportedState query.State
	// Epoch, Total and Shards say which part of the index it holds.
	Epoch         uint64
	Total         uint32
	Shards        []uint32
	NewestVersion uint64
	OldestVersion uint64
	// CorruptionChance makes the chance of an answer that is broken in some way.
	CorruptionChance float64

	random *rand.Rand
	keys   Keyspace
	busy   int
	warmed int
	// ExecutionCounts counts the executions of each body of a request that is not repeatable.
	ExecutionCounts map[string]int
	// RequestsWhileDraining counts the requests that came while draining.
	RequestsWhileDraining int
}

// NewBackEnd returns a back end that holds version 1 of the given shards.
func NewBackEnd(
	index Index, address string, slots int, latency Latency, total uint32, shards []uint32, random *rand.Rand,
) *BackEnd {
	return &BackEnd{
		Index: index, Address: address, Slots: slots, Latency: latency, State: query.StateServing, Epoch: 1, Total: total,
		Shards: shards, NewestVersion: 1, OldestVersion: 1, random: random, keys: index.Split(total), ExecutionCounts: map[string]int{},
	}
}

// Publish makes a version the newest; older ones beyond those kept go.
func (b *BackEnd) Publish(version uint64) {
	b.NewestVersion = max(b.NewestVersion, version)
	if b.NewestVersion >= versionsKept {
		b.OldestVersion = max(b.OldestVersion, b.NewestVersion-versionsKept+1)
	}
}

// Repartition gives the back end other shards in a new epoch. It holds only the newest version in it.
func (b *BackEnd) Repartition(epoch uint64, total uint32, shards []uint32) {
	b.Epoch, b.Total, b.Shards = epoch, total, shards
	b.OldestVersion = b.NewestVersion
	b.keys = b.Index.Split(total)
}

// Holding is what the back end says of itself.
func (b *BackEnd) Holding() query.Holding {
	state := b.State
	if state == query.StateCold && b.warmed >= coldRequests {
		state = query.StateServing
	}
	if b.ReportedState != query.StateUnknown {
		state = b.ReportedState
	}
	return query.Holding{
		State: state, Epoch: b.Epoch, ShardsTotal: b.Total, Shards: slices.Clone(b.Shards), OldestVersion: b.OldestVersion, NewestVersion: b.NewestVersion,
	}
}

// Arrive takes a request. Where it is refused, the result is final and works is false; otherwise it takes a slot for
// the returned time, after which the caller calls Finish.
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
	b.busy++
	serviceTime = b.Latency.Draw(b.random, len(attempt.Shards))
	if b.State == query.StateCold && b.warmed < coldRequests {
		serviceTime *= coldFactor
	}
	b.warmed++
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
	if b.busy >= b.Slots {
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

// corrupt breaks an answer in a way that must be noticed: another snapshot, a shard that is missing, or crossed shards.
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

// Finish frees the slot of a request, answered or cancelled.
func (b *BackEnd) Finish() {
	if b.busy == 0 {
		panic("standin: a request finished that was not started")
	}
	b.busy--
}
