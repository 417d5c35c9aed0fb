package scatter

import (
	"testing"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// wideEnvironment is an Environment with a service of 1,400 back ends in 22 groups, one shard per back end.
type wideEnvironment struct {
	routing  Routing
	sequence uint64
}

func (w *wideEnvironment) Routing(string) Routing { return w.routing }
func (w *wideEnvironment) PickDispatcher(_ string, _ uint32, excluded []string, _ bool) (string, bool) {
	return "dispatcher", len(excluded) == 0
}
func (w *wideEnvironment) NextID() query.ID {
	w.sequence++
	return query.ID{Generation: 1, Sequence: w.sequence}
}
func (w *wideEnvironment) Region() string                 { return "north" }
func (w *wideEnvironment) SubQueryLatency() time.Duration { return time.Millisecond }
func (w *wideEnvironment) SpendReissue(int) bool          { return true }
func (w *wideEnvironment) MarkSuspect(string)             {}

func newWideEnvironment() *wideEnvironment {
	w := &wideEnvironment{}
	const backEnds, groupSize = 1400, 64
	for i := range uint32(backEnds) {
		if i%groupSize == 0 {
			w.routing.Groups = append(w.routing.Groups, GroupHoldings{Number: i / groupSize, Region: "north"})
		}
		group := &w.routing.Groups[i/groupSize]
		group.Holdings = append(group.Holdings, query.Holding{State: query.StateServing, Epoch: 1, ShardsTotal: backEnds, Shards: []uint32{i}, OldestVersion: 1, NewestVersion: 1})
	}
	return w
}

// BenchmarkWideQuery measures a root's work on one query over 1,400 shards: the plan, 22 sub-queries and the merge of
// their answers.
func BenchmarkWideQuery(b *testing.B) {
	environment := newWideEnvironment()
	b.ReportAllocs()
	for b.Loop() {
		q, actions := Start(0, Request{Service: "wide", Deadline: time.Second}, environment)
		for _, action := range actions {
			send, ok := action.(Send)
			if !ok {
				continue
			}
			sub := send.Message.(*message.SubQuery)
			answer := &message.SubAnswer{ID: sub.ID, Snapshot: sub.Snapshot, Done: true}
			for _, shard := range sub.Shards {
				answer.Results = append(answer.Results, query.ShardDocuments{Shard: shard})
			}
			q.Receive(time.Millisecond, send.To, answer)
		}
		if !q.Done() {
			b.Fatal("the query is not done")
		}
	}
}
