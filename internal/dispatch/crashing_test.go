package dispatch

import (
	"testing"
	"time"

	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// These tests guard against a query that crashes every back end that runs it. If a dispatcher retried the shards of a
// crashed back end at another replica at once, and forgot the query after answering it, one query that is sent again
// and again would crash all back ends. Package gateway has more tests of such requests.

// submitBody submits a search with the given body over some shards.
func (h *harness) submitBody(body string, shards []uint32) {
	h.sequence++
	h.record(h.core.Submit(h.now, "root", &message.SubQuery{
		ID: query.ID{Generation: 1, Sequence: h.sequence}, Service: service, Shards: shards, Body: []byte(body),
		Snapshot: query.Snapshot{Version: 5, Epoch: 1}, RemainingMicroseconds: uint64((2 * time.Second).Microseconds()),
	}))
}

// endAttempts ends all attempts in flight, and those that are started in consequence, until there are none. Attempts
// with the body crashing crash their back ends; the others are answered. It returns the number of crashes.
func (h *harness) endAttempts(crashing string) (crashes int) {
	for len(h.started) > 0 {
		a := h.started[0]
		h.started = h.started[1:]
		h.now += time.Millisecond
		if string(a.Body) != crashing {
			h.answer(a, query.StatusOK)
			continue
		}
		crashes++
		h.record(h.core.AttemptEnded(h.now, query.AttemptResult{Attempt: a.Number, Status: query.StatusLost, BackEndCrashed: true}))
	}
	return crashes
}

// TestCrashingQueryIsContained sends a query that crashes every back end that runs it several times. It may crash each
// back end that it is first sent to and a few more. Other queries must be served all the while.
func TestCrashingQueryIsContained(t *testing.T) {
	const backEnds, tries = 12, 10
	h := newHarness(backEnds, 4, DefaultSettings())
	var shards []uint32
	for i := range uint32(backEnds) {
		shards = append(shards, i)
	}
	crashes := 0
	for range tries {
		h.submitBody("bad", shards)
		crashes += h.endAttempts("bad")
		if got := h.last(); !got.Done || len(got.Missing) != backEnds {
			t.Fatalf("crashing query: got answer %+v, want a final one with all shards missing", got)
		}
		h.advance(4 * time.Second)
		for i := range backEnds {
			h.describe(i, query.StateServing)
		}
		h.submitBody("good", shards)
		h.endAttempts("bad")
		if got := h.last(); !got.Done || len(got.Missing) > 0 {
			t.Errorf("other query: got answer %+v, want a final one without missing shards", got)
		}
	}
	if most := backEnds/2 + 3; crashes > most {
		t.Errorf("%d back ends crashed in %d tries, want at most %d", crashes, tries, most)
	}
	if got := h.last(); got.NotRun {
		t.Errorf("other query: got answer %+v, want one that is not reported as not run", got)
	}
}

// TestQuarantinedQueryIsRefused checks that a quarantined query is refused as not run, with a retry-after time, and
// that no attempt is started for it.
func TestQuarantinedQueryIsRefused(t *testing.T) {
	h := newHarness(12, 4, DefaultSettings())
	for range 6 {
		h.submitBody("bad", []uint32{0})
		h.endAttempts("bad")
		h.advance(4 * time.Second)
		for i := range 12 {
			h.describe(i, query.StateServing)
		}
	}
	h.submitBody("bad", []uint32{0})
	if got := h.last(); len(h.started) > 0 || !got.Done || !got.NotRun || got.RetryAfterMilliseconds == 0 {
		t.Errorf("got %d attempts and answer %+v, want no attempt and a refusal as not run with a retry-after time", len(h.started), got)
	}
}
