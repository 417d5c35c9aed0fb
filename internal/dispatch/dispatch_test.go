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

// harness drives a dispatcher that owns one group of ring-shaped back ends.
type harness struct {
	core     *Core
	now      time.Duration
	sequence uint64
	started  []query.Attempt
	cancels  []uint64
	answers  []*message.SubAnswer
}

func newHarness(backEnds, slots int, settings Settings) *harness {
	h := &harness{core: New(7, settings, rand.New(rand.NewPCG(1, 2))), now: time.Second}
	group := placement.Group{Service: service}
	for i := range backEnds {
		group.BackEnds = append(group.BackEnds, catalog.BackEnd{Address: address(i), Slots: slots, Connections: 100})
	}
	h.take(h.core.SetGroups(h.now, []placement.Ownership{{Group: group, Version: 1, Dispatchers: 1}}))
	for i := range backEnds {
		h.describe(i, query.StateServing)
	}
	return h
}

func address(number int) string { return fmt.Sprintf("10.0.0.%d:80", number+1) }

func (h *harness) holding(number int, state query.State) query.Holding {
	total := uint32(len(h.core.groups[groupKey{service: service}].backEnds))
	return query.Holding{
		State: state, Epoch: 1, ShardsTotal: total, Shards: []uint32{uint32(number), (uint32(number) + 1) % total}, OldestVersion: 1, NewestVersion: 5,
	}
}

func (h *harness) describe(number int, state query.State) {
	h.take(h.core.DescribeDone(h.now, service, address(number), h.holding(number, state), true))
}

func (h *harness) take(actions []Action) {
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

func (h *harness) submit(execute bool, shards ...uint32) {
	h.sequence++
	h.take(h.core.Submit(h.now, "root", &message.SubQuery{
		ID: query.ID{Generation: 1, Sequence: h.sequence}, Service: service, Shards: shards, Execute: execute,
		Snapshot: query.Snapshot{Version: 5, Epoch: 1}, RemainingMicroseconds: uint64((200 * time.Millisecond).Microseconds()),
	}))
}

func (h *harness) answer(a query.Attempt, status query.Status) {
	result := query.AttemptResult{Attempt: a.Number, Status: status, Snapshot: a.Snapshot}
	if status == query.StatusOK {
		for _, shard := range a.Shards {
			result.Results = append(result.Results, query.ShardDocuments{Shard: shard})
		}
	}
	h.take(h.core.AttemptEnded(h.now, result))
}

func (h *harness) pass(length time.Duration) {
	h.now += length
	h.take(h.core.Tick(h.now))
}

func (h *harness) last() *message.SubAnswer {
	if len(h.answers) == 0 {
		return &message.SubAnswer{}
	}
	return h.answers[len(h.answers)-1]
}

// TestOutcomesOfOneAttempt: what each outcome of the only attempt makes of a sub-query with one replica left.
func TestOutcomesOfOneAttempt(t *testing.T) {
	cases := []struct {
		name    string
		execute bool
		status  query.Status
		// attempts started in all, where the second is answered in the same way.
		attempts int
		notRun   bool
		reason   query.Reason
	}{
		{"search answered", false, query.StatusOK, 1, false, query.ReasonNone},
		{"search shed", false, query.StatusShed, 2, true, query.ReasonOverloaded},
		{"search lost", false, query.StatusLost, 2, false, query.ReasonLost},
		{"search not sent", false, query.StatusNotSent, 2, true, query.ReasonLost},
		{"search at a draining back end", false, query.StatusDraining, 2, true, query.ReasonDraining},
		{"search at another version", false, query.StatusVersionUnavailable, 2, true, query.ReasonVersionUnavailable},
		{"search with a broken answer", false, query.StatusInvalid, 2, false, query.ReasonInvalidAnswer},
		{"execute answered", true, query.StatusOK, 1, false, query.ReasonNone},
		{"execute shed", true, query.StatusShed, 2, true, query.ReasonOverloaded},
		{"execute not sent", true, query.StatusNotSent, 2, true, query.ReasonLost},
		{"execute lost is never sent again", true, query.StatusLost, 1, false, query.ReasonLost},
		{"execute with a broken answer is never sent again", true, query.StatusInvalid, 1, false, query.ReasonInvalidAnswer},
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
				t.Fatalf("done %t, attempts %d, not run %t", done.Done, len(h.started), done.NotRun)
			}
			if c.reason != query.ReasonNone && (len(done.Missing) != 1 || done.Missing[0].Reason != c.reason) {
				t.Errorf("missing %v", done.Missing)
			}
		})
	}
}

// TestSecondAnswerIsDropped: a hedge and its original both answer; the shard is passed on once.
func TestSecondAnswerIsDropped(t *testing.T) {
	h := newHarness(4, 5, DefaultSettings())
	h.submit(false, 1, 3)
	for h.now < time.Second+100*time.Millisecond && h.core.Counters.Hedges == 0 {
		h.pass(time.Millisecond)
	}
	if h.core.Counters.Hedges == 0 {
		t.Fatal("no hedge was sent")
	}
	// Both attempts for shard 1 answer while shard 3 is still open.
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
		t.Errorf("answers per shard %v", seen)
	}
}

// TestAnswersThatDoNotFit the question are taken for none.
func TestAnswersThatDoNotFit(t *testing.T) {
	cases := map[string]func(*query.AttemptResult){
		"another version": func(r *query.AttemptResult) { r.Snapshot.Version++ },
		"another epoch":   func(r *query.AttemptResult) { r.Snapshot.Epoch++ },
		"a shard short":   func(r *query.AttemptResult) { r.Results = nil },
		"another's shard": func(r *query.AttemptResult) { r.Results[0].Shard = 2 },
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
			h.take(h.core.AttemptEnded(h.now, result))
			if len(h.answers) > 0 || len(h.started) != 2 {
				t.Errorf("answers %d, attempts %d", len(h.answers), len(h.started))
			}
		})
	}
}

// TestHedgesStopWhenWindowsAreFull: a hedge takes only a free slot.
func TestHedgesStopWhenWindowsAreFull(t *testing.T) {
	h := newHarness(2, 1, DefaultSettings())
	h.submit(false, 0)
	h.submit(false, 1)
	h.pass(60 * time.Millisecond)
	if h.core.Counters.Hedges != 0 {
		t.Errorf("%d hedges were sent into full windows", h.core.Counters.Hedges)
	}
}

// TestOverloadIsRefusedAtOnce as not run, with a time to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	h := newHarness(2, 1, DefaultSettings())
	h.submit(false, 0)
	h.pass(40 * time.Millisecond)
	h.answer(h.started[0], query.StatusOK)
	for range 10 {
		h.submit(false, 0, 1)
	}
	refused := h.last()
	if !refused.Done || !refused.NotRun || refused.RetryAfterMilliseconds == 0 {
		t.Errorf("last answer %+v", refused)
	}
}

// TestLoserIsCancelled once all its shards are answered.
func TestLoserIsCancelled(t *testing.T) {
	h := newHarness(4, 5, DefaultSettings())
	h.submit(false, 1)
	for len(h.started) < 2 && h.now < 2*time.Second {
		h.pass(time.Millisecond)
	}
	h.answer(h.started[1], query.StatusOK)
	if len(h.cancels) != 1 || h.cancels[0] != h.started[0].Number {
		t.Errorf("cancelled %v, want %d", h.cancels, h.started[0].Number)
	}
}

// TestWindowsNeverExceedSlots whatever comes: drawn sequences of submissions, outcomes and time.
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
				h.pass(time.Duration(rapid.IntRange(1, 50).Draw(rt, "ms")) * time.Millisecond)
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
					rt.Fatalf("%d attempts at %s", perBackEnd[a.BackEnd], a.BackEnd)
				}
			}
		}
	})
}

// TestDrainSignals: each source alone takes a back end out; health cannot take back the refusal of work.
func TestDrainSignals(t *testing.T) {
	signals := map[string]func(h *harness){
		"health":       func(h *harness) { h.describe(1, query.StateDraining) },
		"machine list": func(h *harness) { h.take(h.core.SetDrainingMachines(h.now, map[string]bool{address(1): true})) },
		"refusal, then health that lies": func(h *harness) {
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

// TestRefusalIsRememberedBeyondTheGroup: a dispatcher that gives a group up and gets it back knows who refused.
func TestRefusalIsRememberedBeyondTheGroup(t *testing.T) {
	h := newHarness(4, 50, DefaultSettings())
	owned := []placement.Ownership{{Group: h.core.groups[groupKey{service: service}].Group, Version: 1, Dispatchers: 1}}
	for len(h.started) == 0 || h.started[len(h.started)-1].BackEnd != address(1) {
		h.submit(false, 1)
	}
	h.answer(h.started[len(h.started)-1], query.StatusDraining)
	h.take(h.core.SetGroups(h.now, nil))
	h.take(h.core.SetGroups(h.now, owned))
	before := len(h.started)
	for i := range 4 {
		h.describe(i, query.StateServing)
	}
	for range 30 {
		h.submit(false, 1, 2)
	}
	for _, a := range h.started[before:] {
		if a.BackEnd == address(1) {
			t.Fatal("a back end that refused work as leaving got new work")
		}
	}
	if len(h.started) == before {
		t.Error("nothing was started")
	}
}

// TestEjectionNeverEmptiesAShard: however many attempts are lost, a holder of each shard stays in use.
func TestEjectionNeverEmptiesAShard(t *testing.T) {
	h := newHarness(6, 5, DefaultSettings())
	for i := range 400 {
		h.submit(false, uint32(i%6))
		for _, a := range h.started {
			h.answer(a, query.StatusLost)
		}
		h.started = nil
		h.pass(5 * time.Millisecond)
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
		t.Errorf("shards with a usable holder %v, ejections %d", usable, h.core.Counters.Ejections)
	}
}

func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var window replayWindow
		served := map[uint64]bool{}
		newest := uint64(0)
		for range rapid.IntRange(1, 200).Draw(rt, "count") {
			sequence := rapid.Uint64Range(1, 3*replayBits).Draw(rt, "sequence")
			first := window.first(sequence)
			if first && served[sequence] {
				rt.Fatalf("%d was served twice", sequence)
			}
			if !first && !served[sequence] && newest < sequence+replayBits {
				rt.Fatalf("%d was not served, newest is %d", sequence, newest)
			}
			served[sequence] = served[sequence] || first
			newest = max(newest, sequence)
		}
	})
}
