package dispatch

import (
	"testing"
	"time"

	"stiletrail/internal/query"
)

// BenchmarkSubQuery measures a dispatcher's work on one sub-query over 64 shards in a group of 64 back ends, from the
// request to the last answer.
func BenchmarkSubQuery(b *testing.B) {
	h := newHarness(64, 16, DefaultSettings())
	var shards []uint32
	for shard := range uint32(64) {
		shards = append(shards, shard)
	}
	attempts := 0
	b.ReportAllocs()
	for b.Loop() {
		h.started, h.answers, h.cancels = h.started[:0], h.answers[:0], h.cancels[:0]
		h.submit(false, shards...)
		for _, a := range h.started {
			h.answer(a, query.StatusOK)
		}
		attempts += len(h.started)
		h.now += time.Millisecond
		h.record(h.core.Tick(h.now))
	}
	b.ReportMetric(float64(attempts)/float64(b.N), "attempts/op")
}
