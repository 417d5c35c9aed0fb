package dispatch

import (
	"testing"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// A dispatcher that asks another replica at once for what a back end that ended was asked for, and keeps nothing of the query
// once it is answered, lets one query end all back ends. The gateway's tests of requests that end back ends say more of it.

// ask submits a search with a body over some shards.
func (h *harness) ask(body string, shards []uint32) {
	h.sequence++
	h.take(h.core.Submit(h.now, "root", &message.SubQuery{
		ID: query.ID{Generation: 1, Sequence: h.sequence}, Service: service, Shards: shards, Body: []byte(body),
		Snapshot: query.Snapshot{Version: 5, Epoch: 1}, RemainingMicroseconds: uint64((2 * time.Second).Microseconds()),
	}))
}

// settle ends all attempts that have started, and those that start by that, until there are none. Those for a certain body end
// their back ends.
func (h *harness) settle(crashing string) (ended int) {
	for len(h.started) > 0 {
		a := h.started[0]
		h.started = h.started[1:]
		h.now += time.Millisecond
		if string(a.Body) != crashing {
			h.answer(a, query.StatusOK)
			continue
		}
		ended++
		h.take(h.core.AttemptEnded(h.now, query.AttemptResult{Attempt: a.Number, Status: query.StatusLost, BackEndCrashed: true}))
	}
	return ended
}

// TestQueryThatEndsBackEnds: a query that ends each back end that runs it, and comes again and again, ends one of those asked at
// first each and a few more; others are served all the while.
func TestQueryThatEndsBackEnds(t *testing.T) {
	const backEnds, tries = 12, 10
	h := newHarness(backEnds, 4, DefaultSettings())
	var shards []uint32
	for i := range uint32(backEnds) {
		shards = append(shards, i)
	}
	ended := 0
	for range tries {
		h.ask("bad", shards)
		ended += h.settle("bad")
		if got := h.last(); !got.Done || len(got.Missing) != backEnds {
			t.Fatalf("answered %+v", got)
		}
		h.pass(4 * time.Second)
		for i := range backEnds {
			h.describe(i, query.StateServing)
		}
		h.ask("good", shards)
		h.settle("bad")
		if got := h.last(); !got.Done || len(got.Missing) > 0 {
			t.Errorf("a sound query is answered %+v", got)
		}
	}
	if most := backEnds/2 + 3; ended > most {
		t.Errorf("%d back ends ended in %d tries, at most %d were expected", ended, tries, most)
	}
	if got := h.last(); got.NotRun {
		t.Errorf("%+v", got)
	}
}

// TestQuarantinedQueryIsRefused: what is refused for it has not run, and says when to come back.
func TestQuarantinedQueryIsRefused(t *testing.T) {
	h := newHarness(12, 4, DefaultSettings())
	for range 6 {
		h.ask("bad", []uint32{0})
		h.settle("bad")
		h.pass(4 * time.Second)
		for i := range 12 {
			h.describe(i, query.StateServing)
		}
	}
	h.ask("bad", []uint32{0})
	if got := h.last(); len(h.started) > 0 || !got.Done || !got.NotRun || got.RetryAfterMilliseconds == 0 {
		t.Errorf("%d attempts, answered %+v", len(h.started), got)
	}
}
