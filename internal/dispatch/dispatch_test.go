package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/catalog"
	"stiletrail/internal/message"
	"stiletrail/internal/placement"
	"stiletrail/internal/query"
)

const service = "lookup"

// harness drives a dispatcher that owns one group of back ends. Back end i holds shards i and i+1, modulo the number of
// back ends, so that each shard has two replicas.
type harness struct {
	core     *Core
	now      time.Duration
	sequence uint64
	started  []query.Attempt
	cancels  []uint64
	answers  []*message.SubAnswer
}

// newHarness returns a harness with the given number of back ends, each of which has described itself as serving.
func newHarness(backEnds, slots int, settings Settings) *harness {
	h := &harness{core: New(7, settings, rand.New(rand.NewPCG(1, 2))), now: time.Second}
	group := placement.Group{Service: service}
	for i := range backEnds {
		group.BackEnds = append(group.BackEnds, catalog.BackEnd{Address: address(i), Slots: slots, Connections: 100})
	}
	h.record(h.core.SetGroups(h.now, []placement.Ownership{{Group: group, Version: 1, Dispatchers: 1}}))
	for i := range backEnds {
		h.describe(i, query.StateServing)
	}
	return h
}

func address(number int) string { return fmt.Sprintf("10.0.0.%d:80", number+1) }

// holding returns what a back end reports about itself in the given state.
func (h *harness) holding(number int, state query.State) query.Holding {
	total := uint32(len(h.core.groups[groupKey{service: service}].backEnds))
	return query.Holding{
		State: state, Epoch: 1, ShardsTotal: total, Shards: []uint32{uint32(number), (uint32(number) + 1) % total}, OldestVersion: 1, NewestVersion: 5,
	}
}

// describe reports the description of a back end to the dispatcher.
func (h *harness) describe(number int, state query.State) {
	h.record(h.core.DescribeDone(h.now, service, address(number), h.holding(number, state), true))
}

// record stores the actions of the dispatcher.
func (h *harness) record(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case StartAttempt:
			h.started = append(h.started, action.Attempt)
		case CancelAttempt:
			h.cancels = append(h.cancels, action.Number)
		case Reply:
			if answer, ok := action.Message.(*message.SubAnswer); ok {
				h.answers = append(h.answers, answer)
			}
		}
	}
}

// submit sends a sub-query with a deadline of 200 ms.
func (h *harness) submit(execute bool, shards ...uint32) {
	h.sequence++
	h.record(h.core.Submit(h.now, "root", &message.SubQuery{
		ID: query.ID{Generation: 1, Sequence: h.sequence}, Service: service, Shards: shards, Execute: execute,
		Snapshot: query.Snapshot{Version: 5, Epoch: 1}, RemainingMicroseconds: uint64((200 * time.Millisecond).Microseconds()),
	}))
}

// answer ends an attempt with the given status.
func (h *harness) answer(a query.Attempt, status query.Status) {
	result := query.AttemptResult{Attempt: a.Number, Status: status, Snapshot: a.Snapshot}
	if status == query.StatusOK {
		for _, shard := range a.Shards {
			result.Results = append(result.Results, query.ShardDocuments{Shard: shard})
		}
	}
	h.record(h.core.AttemptEnded(h.now, result))
}

// advance moves the time on and fires the timers that are due.
func (h *harness) advance(length time.Duration) {
	h.now += length
	h.record(h.core.Tick(h.now))
}

// last returns the last answer sent to the root, or an empty one.
func (h *harness) last() *message.SubAnswer {
	if len(h.answers) == 0 {
		return &message.SubAnswer{}
	}
	return h.answers[len(h.answers)-1]
}

// TestAttemptOutcomes checks what becomes of a sub-query for one shard with two replicas if every attempt ends with the
// same status: how many attempts are started, and whether the sub-query is reported as not run.
func TestAttemptOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		execute bool
		status  query.Status
		// attempts is the number of attempts started in all; each ends with the same status.
		attempts int
		notRun   bool
		reason   query.Reason
	}{
		{"search, answered", false, query.StatusOK, 1, false, query.ReasonNone},
		{"search, shed", false, query.StatusShed, 2, true, query.ReasonOverloaded},
		{"search, lost", false, query.StatusLost, 2, false, query.ReasonLost},
		{"search, not sent", false, query.StatusNotSent, 2, true, query.ReasonLost},
		{"search, back end draining", false, query.StatusDraining, 2, true, query.ReasonDraining},
		{"search, version unavailable", false, query.StatusVersionUnavailable, 2, true, query.ReasonVersionUnavailable},
		{"search, invalid answer", false, query.StatusInvalid, 2, false, query.ReasonInvalidAnswer},
		{"execute, answered", true, query.StatusOK, 1, false, query.ReasonNone},
		{"execute, shed", true, query.StatusShed, 2, true, query.ReasonOverloaded},
		{"execute, not sent", true, query.StatusNotSent, 2, true, query.ReasonLost},
		{"execute, lost, is not retried", true, query.StatusLost, 1, false, query.ReasonLost},
		{"execute, invalid answer, is not retried", true, query.StatusInvalid, 1, false, query.ReasonInvalidAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(4, 5, DefaultSettings())
			h.submit(c.execute, 1)
			for i := 0; i < len(h.started); i++ {
				h.answer(h.started[i], c.status)
			}
			done := h.last()
			if !done.Done || len(h.started) != c.attempts || done.NotRun != c.notRun {
				t.Fatalf("got done %t, attempts %d, not run %t, want done and the case's attempts and not run",
					done.Done, len(h.started), done.NotRun)
			}
			if c.reason != query.ReasonNone && (len(done.Missing) != 1 || done.Missing[0].Reason != c.reason) {
				t.Errorf("got missing shards %v, want one with the case's reason", done.Missing)
			}
		})
	}
}

// TestSecondAnswerIsDropped checks that only one answer per shard reaches the root if both an attempt and its hedge are
// answered.
func TestSecondAnswerIsDropped(t *testing.T) {
	h := newHarness(4, 5, DefaultSettings())
	h.submit(false, 1, 3)
	for h.now < time.Second+100*time.Millisecond && h.core.Counters.Hedges == 0 {
		h.advance(time.Millisecond)
	}
	if h.core.Counters.Hedges == 0 {
		t.Fatal("no hedge was sent")
	}
	// Both attempts for shard 1 are answered while shard 3 is still open.
	for _, a := range h.started {
		if a.Shards[0] == 1 {
			h.answer(a, query.StatusOK)
		}
	}
	for _, a := range h.started {
		if a.Shards[0] == 3 {
			h.answer(a, query.StatusOK)
		}
	}
	seen := map[uint32]int{}
	for _, answer := range h.answers {
		for _, result := range answer.Results {
			seen[result.Shard]++
		}
	}
	if seen[1] != 1 || seen[3] != 1 {
		t.Errorf("got answers per shard %v, want one each for shards 1 and 3", seen)
	}
}

// TestMismatchedAnswersAreRejected checks that an answer that does not match its request is not passed on, and that the
// shard is asked of the other replica.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	cases := map[string]func(*query.AttemptResult){
		"another version": func(r *query.AttemptResult) { r.Snapshot.Version++ },
		"another epoch":   func(r *query.AttemptResult) { r.Snapshot.Epoch++ },
		"no shard":        func(r *query.AttemptResult) { r.Results = nil },
		"another shard":   func(r *query.AttemptResult) { r.Results[0].Shard = 2 },
		"a shard twice":   func(r *query.AttemptResult) { r.Results = append(r.Results, r.Results[0]) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(4, 5, DefaultSettings())
			h.submit(false, 1)
			a := h.started[0]
			result := query.AttemptResult{
				Attempt: a.Number, Status: query.StatusOK, Snapshot: a.Snapshot, Results: []query.ShardDocuments{{Shard: 1}},
			}
			change(&result)
			h.record(h.core.AttemptEnded(h.now, result))
			if len(h.answers) > 0 || len(h.started) != 2 {
				t.Errorf("got %d answers and %d attempts, want 0 and 2", len(h.answers), len(h.started))
			}
		})
	}
}

// TestNoHedgesIntoFullWindows checks that no hedge is sent while every replica has as many attempts in flight as it has
// slots. Hedges would otherwise add to an overload.
func TestNoHedgesIntoFullWindows(t *testing.T) {
	h := newHarness(2, 1, DefaultSettings())
	h.submit(false, 0)
	h.submit(false, 1)
	h.advance(60 * time.Millisecond)
	if h.core.Counters.Hedges != 0 {
		t.Errorf("%d hedges were sent into full windows", h.core.Counters.Hedges)
	}
}

// TestOverloadIsRefusedAtOnce checks that a sub-query whose predicted wait is too long is refused at once, as not run
// and with a retry-after time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	h := newHarness(2, 1, DefaultSettings())
	h.submit(false, 0)
	h.advance(40 * time.Millisecond)
	h.answer(h.started[0], query.StatusOK)
	for range 10 {
		h.submit(false, 0, 1)
	}
	refused := h.last()
	if !refused.Done || !refused.NotRun || refused.RetryAfterMilliseconds == 0 {
		t.Errorf("got last answer %+v, want a refusal as not run with a retry-after time", refused)
	}
}

// TestSlowerAttemptIsCancelled checks that an attempt is cancelled once its hedge has answered all its shards.
func TestSlowerAttemptIsCancelled(t *testing.T) {
	h := newHarness(4, 5, DefaultSettings())
	h.submit(false, 1)
	for len(h.started) < 2 && h.now < 2*time.Second {
		h.advance(time.Millisecond)
	}
	h.answer(h.started[1], query.StatusOK)
	if len(h.cancels) != 1 || h.cancels[0] != h.started[0].Number {
		t.Errorf("got cancelled attempts %v, want only %d", h.cancels, h.started[0].Number)
	}
}

// TestWindowsNeverExceedSlots checks with random sequences of sub-queries, outcomes and pauses that the attempts in
// flight at a back end never exceed its slots.
func TestWindowsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots = 3
		h := newHarness(4, slots, DefaultSettings())
		open := map[uint64]query.Attempt{}
		answered := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				h.submit(rapid.Bool().Draw(rt, "execute"), uint32(rapid.IntRange(0, 3).Draw(rt, "shard")))
			case 1:
				h.advance(time.Duration(rapid.IntRange(1, 50).Draw(rt, "ms")) * time.Millisecond)
			default:
				if answered < len(h.started) {
					status := query.Status(rapid.IntRange(int(query.StatusOK), int(query.StatusInvalid)).Draw(rt, "status"))
					h.answer(h.started[answered], status)
					delete(open, h.started[answered].Number)
					answered++
				}
			}
			for _, a := range h.started[answered:] {
				open[a.Number] = a
			}
			perBackEnd := map[string]int{}
			for _, a := range open {
				perBackEnd[a.BackEnd]++
				if perBackEnd[a.BackEnd] > slots {
					rt.Fatalf("%d attempts in flight at %s, want at most one per slot", perBackEnd[a.BackEnd], a.BackEnd)
				}
			}
		}
	})
}

// TestDrainSignals checks that each source alone stops new work for a draining back end, and that a description that
// does not say draining does not undo the refusal of an attempt.
func TestDrainSignals(t *testing.T) {
	signals := map[string]func(h *harness){
		"description":  func(h *harness) { h.describe(1, query.StateDraining) },
		"machine list": func(h *harness) { h.record(h.core.SetDrainingMachines(h.now, map[string]bool{address(1): true})) },
		"refusal, then description as serving": func(h *harness) {
			for len(h.started) == 0 || h.started[len(h.started)-1].BackEnd != address(1) {
				h.submit(false, 1)
			}
			h.answer(h.started[len(h.started)-1], query.StatusDraining)
			h.describe(1, query.StateServing)
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			h := newHarness(4, 50, DefaultSettings())
			signal(h)
			before := len(h.started)
			for range 30 {
				h.submit(false, 1, 2)
			}
			for _, a := range h.started[before:] {
				if a.BackEnd == address(1) {
					t.Fatal("a draining back end got new work")
				}
			}
		})
	}
}

// TestRefusalOutlivesGroupOwnership checks that a dispatcher that loses a group and gets it back still knows which back
// end has refused an attempt as draining, even if the back end describes itself as serving.
func TestRefusalOutlivesGroupOwnership(t *testing.T) {
	h := newHarness(4, 50, DefaultSettings())
	owned := []placement.Ownership{{Group: h.core.groups[groupKey{service: service}].Group, Version: 1, Dispatchers: 1}}
	for len(h.started) == 0 || h.started[len(h.started)-1].BackEnd != address(1) {
		h.submit(false, 1)
	}
	h.answer(h.started[len(h.started)-1], query.StatusDraining)
	h.record(h.core.SetGroups(h.now, nil))
	h.record(h.core.SetGroups(h.now, owned))
	before := len(h.started)
	for i := range 4 {
		h.describe(i, query.StateServing)
	}
	for range 30 {
		h.submit(false, 1, 2)
	}
	for _, a := range h.started[before:] {
		if a.BackEnd == address(1) {
			t.Fatal("a back end that refused work as draining got new work")
		}
	}
	if len(h.started) == before {
		t.Error("no attempt was started, want some at the other back ends")
	}
}

// TestEjectionKeepsAReplicaOfEachShard checks that each shard keeps a usable replica even if all attempts are lost.
func TestEjectionKeepsAReplicaOfEachShard(t *testing.T) {
	h := newHarness(6, 5, DefaultSettings())
	for i := range 400 {
		h.submit(false, uint32(i%6))
		for _, a := range h.started {
			h.answer(a, query.StatusLost)
		}
		h.started = nil
		h.advance(5 * time.Millisecond)
	}
	usable := map[uint32]bool{}
	for _, b := range h.core.groups[groupKey{service: service}].backEnds {
		if b.usable(h.now) {
			for _, shard := range b.holding.Shards {
				usable[shard] = true
			}
		}
	}
	if len(usable) != 6 || h.core.Counters.Ejections == 0 {
		t.Errorf("got shards with a usable replica %v and %d ejections, want all 6 shards and at least one ejection",
			usable, h.core.Counters.Ejections)
	}
}

// TestReplayWindow checks with random sequence numbers that none is accepted twice, and that every new one within
// replayBits of the newest is accepted.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var window replayWindow
		served := map[uint64]bool{}
		newest := uint64(0)
		for range rapid.IntRange(1, 200).Draw(rt, "count") {
			sequence := rapid.Uint64Range(1, 3*replayBits).Draw(rt, "sequence")
			first := window.accept(sequence)
			if first && served[sequence] {
				rt.Fatalf("sequence number %d was accepted twice", sequence)
			}
			if !first && !served[sequence] && newest < sequence+replayBits {
				rt.Fatalf("new sequence number %d was not accepted, newest is %d", sequence, newest)
			}
			served[sequence] = served[sequence] || first
			newest = max(newest, sequence)
		}
	})
}
