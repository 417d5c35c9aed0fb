package follow_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/follow"
	"stiletrail/internal/history"
)

var settings = follow.Settings{
	WatchDuration: 2 * time.Second, CoalesceDelay: time.Second,
	InitialBackoff: 100 * time.Millisecond, MaximumBackoff: time.Second,
	InitialTimeout: time.Second, MaximumTimeout: 4 * time.Second, PollTimeout: 600 * time.Millisecond,
}

// at returns a revision of the first era.
func at(number uint64) history.Revision { return history.At(1, number) }

func half() float64 { return 0.5 }

func listed(t *testing.T) *follow.Core {
	t.Helper()
	core := follow.New(settings, half)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("the first call is %+v, want a listing from the first key", call)
	}
	if !core.ApplyPage(0, "k", at(7), false) {
		t.Fatal("a listing of a single page is not reported as complete")
	}
	return core
}

// TestListThenWatch: a listing reads page after page. The first watch starts at the revision of the first page,
// since a later start would miss changes made while the other pages were read.
func TestListThenWatch(t *testing.T) {
	core := follow.New(settings, half)
	core.Next(0, follow.CopyState{})
	if core.ApplyPage(0, "b", at(7), true) {
		t.Error("a first page followed by more is reported as a complete listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "b" {
		t.Errorf("the call after the first page is %+v, want a listing after key b", call)
	}
	if !core.ApplyPage(0, "d", at(9), false) {
		t.Error("the last page does not complete the listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(7) || call.Duration != settings.WatchDuration {
		t.Errorf("the call after the listing is %+v, want a watch from revision 7: changes between the pages would be missed", call)
	}
}

// TestChangesAreCoalesced: a pause that the caller may end early follows a watch that returned changes. No pause
// follows a watch that returned none.
func TestChangesAreCoalesced(t *testing.T) {
	core := listed(t)
	core.ApplyChanges(0, core.Revision(), at(9), 2)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Coalesce || call.Duration != settings.CoalesceDelay {
		t.Errorf("the call after changes is %+v, want a coalescing pause of CoalesceDelay", call)
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(9) {
		t.Errorf("the call after the pause is %+v, want a watch from revision 9", call)
	}
	core.ApplyChanges(0, core.Revision(), at(9), 0)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch {
		t.Errorf("the call after a watch without changes is %+v, want a watch", call)
	}
}

// TestCallFailures checks the next call after each kind of failure.
func TestCallFailures(t *testing.T) {
	t.Run("history lost", func(t *testing.T) {
		core := listed(t)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("the next call is %+v, want a listing from the first key", call)
		}
	})
	t.Run("history lost again before a watch succeeded", func(t *testing.T) {
		core := listed(t)
		core.RecordFailure(time.Second, follow.HistoryLost)
		core.Next(0, follow.CopyState{})
		core.ApplyPage(time.Second, "b", at(8), false)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != 100*time.Millisecond {
			t.Errorf("the next call is %+v, want a pause of 100 ms", call)
		}
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("the call after the pause is %+v, want a listing from the first key", call)
		}
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != 200*time.Millisecond {
			t.Errorf("after a listing that failed with lost history the next call is %+v, want a pause of 200 ms", call)
		}
		core.Next(0, follow.CopyState{})
		core.ApplyPage(time.Second, "b", at(9), false)
		core.ApplyChanges(time.Second, core.Revision(), at(10), 0)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List {
			t.Errorf("after a successful watch the next call is %+v, want a listing without a pause", call)
		}
	})
	t.Run("unavailable", func(t *testing.T) {
		core := listed(t)
		want := []time.Duration{100, 200, 400, 800, 1000, 1000}
		for _, milliseconds := range want {
			core.RecordFailure(time.Second, follow.Unavailable)
			if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != milliseconds*time.Millisecond {
				t.Errorf("the next call is %+v, want a pause of %d ms", call, milliseconds)
			}
			if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(7) {
				t.Errorf("the call after the pause is %+v, want a watch from revision 7", call)
			}
		}
		core.ApplyChanges(time.Second, core.Revision(), at(8), 0)
		core.RecordFailure(time.Second, follow.Throttled)
		if call := core.Next(0, follow.CopyState{}); call.Duration != settings.InitialBackoff {
			t.Errorf("the first pause after an answer is %+v, want InitialBackoff", call)
		}
	})
	t.Run("unavailable during a listing", func(t *testing.T) {
		core := follow.New(settings, half)
		core.Next(0, follow.CopyState{})
		core.ApplyPage(0, "b", at(7), true)
		core.RecordFailure(0, follow.Unavailable)
		core.Next(0, follow.CopyState{})
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("the next call is %+v, want a listing from the first key", call)
		}
	})
}

// TestRevisionNeverGoesBack: a store answers with a lower revision number of the same era, as after a faulty
// restore.
func TestRevisionNeverGoesBack(t *testing.T) {
	core := listed(t)
	core.ApplyChanges(0, core.Revision(), at(3), 0)
	if core.Revision() != at(7) {
		t.Errorf("the revision is %v, want 7 of the first era", core.Revision())
	}
}

// TestStaleCopyIsPolled: a node whose copy is stale polls the store, with a short timeout that grows with failures.
// A node that hears from no peer does not wait for its scheduled poll.
func TestStaleCopyIsPolled(t *testing.T) {
	core := listed(t)
	core.SetPollSchedule(time.Minute, 0)
	stale := follow.CopyState{Stale: true}
	if call := core.Next(time.Second, stale); call.Kind != follow.Watch || call.Duration > 10*time.Millisecond || call.Timeout != settings.PollTimeout {
		t.Errorf("with a stale copy the next call is %+v, want a poll with PollTimeout", call)
	}
	core.RecordFailure(time.Second, follow.Unavailable)
	core.Next(time.Second, stale)
	if call := core.Next(time.Second, stale); call.Timeout != 2*settings.PollTimeout {
		t.Errorf("with a stale copy, after a failure, the next call is %+v, want twice PollTimeout", call)
	}
	if call := core.Next(time.Second, follow.CopyState{PeersSilent: true}); call.Duration != settings.WatchDuration {
		t.Errorf("without messages from peers the next call is %+v, want a watch of WatchDuration", call)
	}
	if call := core.Next(time.Second, follow.CopyState{}); call.Duration != 59*time.Second {
		t.Errorf("with peers the next call is %+v, want a watch until the scheduled poll in 59 s", call)
	}
}

// TestPauseEndsAtScheduledPoll: the pause after changes ends no later than the node's scheduled poll, after which
// peers expect its announcement.
func TestPauseEndsAtScheduledPoll(t *testing.T) {
	core := listed(t)
	core.SetPollSchedule(10*time.Second, 0)
	for _, c := range []struct{ clock, pause time.Duration }{
		{2 * time.Second, settings.CoalesceDelay}, {9600 * time.Millisecond, 400 * time.Millisecond}, {8900 * time.Millisecond, 1100 * time.Millisecond},
	} {
		core.ApplyChanges(0, core.Revision(), at(9), 1)
		if call := core.Next(c.clock, follow.CopyState{}); call.Kind != follow.Coalesce || call.Duration != c.pause {
			t.Errorf("at %v the next call is %+v, want a coalescing pause of %v", c.clock, call, c.pause)
		}
		call := core.Next(c.clock+c.pause, follow.CopyState{})
		if look := call.Duration <= 10*time.Millisecond; call.Kind != follow.Watch || look != (c.pause != settings.CoalesceDelay) {
			t.Errorf("at %v, after the pause, the next call is %+v, want a poll only if the pause ended at the scheduled poll", c.clock, call)
		}
	}
}

// TestPollSchedule: nodes that share a poll schedule poll the store one after the other, whenever their first
// watches began.
func TestPollSchedule(t *testing.T) {
	const nodes, gap = 5, 800 * time.Millisecond
	var ends []time.Duration
	for node := range nodes {
		core := listed(t)
		core.SetPollSchedule(nodes*gap, time.Duration(node)*gap)
		clock := 10*time.Second + time.Duration(node)*37*time.Millisecond
		for range 3 {
			clock += core.Next(clock, follow.CopyState{}).Duration
			ends = append(ends, clock)
		}
	}
	slices.Sort(ends)
	for i := 1; i < nodes*2; i++ {
		if pause := ends[i] - ends[i-1]; pause > gap {
			t.Errorf("no node polled the store for %v, longer than the gap between two scheduled polls", pause)
		}
	}
}

// TestListTimeout: an unanswered listing is repeated with a timeout that doubles up to its limit. An answer resets
// the timeout.
func TestListTimeout(t *testing.T) {
	core := follow.New(settings, half)
	for _, want := range []time.Duration{1, 2, 4, 4, 4} {
		call := core.Next(0, follow.CopyState{})
		if call.Kind == follow.Pause {
			call = core.Next(0, follow.CopyState{})
		}
		if call.Kind != follow.List || call.Timeout != want*time.Second {
			t.Errorf("the next call is %+v, want a listing with a timeout of %d s", call, want)
		}
		core.RecordFailure(0, follow.Unavailable)
	}
	core.Next(0, follow.CopyState{})
	core.ApplyPage(0, "k", at(1), true)
	if call := core.Next(0, follow.CopyState{}); call.Timeout != time.Second {
		t.Errorf("the call after an answer is %+v, want a timeout of 1 s", call)
	}
}

// TestAnotherEra: a store restored from a backup is listed again, whatever its revision numbers are. Pages of two
// eras do not form a listing, nor does a page of an era before one that peers have reported meanwhile.
func TestAnotherEra(t *testing.T) {
	core := listed(t)
	if core.ApplyChanges(0, at(7), history.At(2, 9), 2) {
		t.Error("an answer in another era than the watch asked in is taken for all changes since")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("the next call is %+v, want a listing from the first key", call)
	}
	if core.ApplyPage(0, "b", history.At(2, 5), true) {
		t.Error("a first page followed by more is reported as a complete listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "b" || call.Revision != history.At(2, 5) {
		t.Errorf("the next call is %+v, want a listing after key b at revision 5 of the second era", call)
	}
	if core.ApplyPage(0, "d", history.At(3, 4), false) {
		t.Error("pages of two eras form a listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("the call after pages of two eras is %+v, want a listing from the first key", call)
	}
	if !core.ApplyPage(0, "d", history.At(3, 4), false) || core.Revision() != history.At(3, 4) {
		t.Errorf("a listing in a later era is not complete or ends at %v, want revision 4 of the third era", core.Revision())
	}
	core.Advance(history.At(4, 2))
	if core.ApplyPage(0, "d", history.At(3, 9), false) || core.Revision() != history.At(4, 2) {
		t.Errorf("a listing in an earlier era than peers have reported is complete or ends at %v, want revision 2 of the fourth era", core.Revision())
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause {
		t.Errorf("the next call to a store that still answers in an earlier era is %+v, want a pause", call)
	}
	core.Advance(history.At(3, 99))
	if core.Revision() != history.At(4, 2) {
		t.Errorf("the revision went back to %v", core.Revision())
	}
}

// pauses returns the lengths of the pauses before the next count calls. It calls page to answer each of these
// listings.
func pauses(core *follow.Core, count int, page func()) (lengths []time.Duration) {
	for range count {
		call := core.Next(0, follow.CopyState{})
		if call.Kind == follow.Pause {
			lengths = append(lengths, call.Duration)
			call = core.Next(0, follow.CopyState{})
		}
		if call.Kind != follow.List {
			return lengths
		}
		page()
	}
	return lengths
}

// growing is the sequence of pauses, in milliseconds, after a failure that persists.
var growing = []time.Duration{100, 200, 400, 800, 1000, 1000}

// TestEarlierEraIsAskedWithGrowingPauses: a store that keeps answering in an earlier era than the known one is
// overloaded or still recovering. The pauses between calls grow, and end once it answers in the known era.
func TestEarlierEraIsAskedWithGrowingPauses(t *testing.T) {
	core := follow.New(settings, half)
	core.Advance(history.At(3, 9))
	core.ApplyChanges(0, history.At(3, 9), history.At(2, 5), 0)
	got := pauses(core, len(growing), func() { core.ApplyPage(0, "k", history.At(2, 7), false) })
	if want := milliseconds(growing); !slices.Equal(got, want) {
		t.Errorf("the pauses are %v, want %v", got, want)
	}
	for core.Next(0, follow.CopyState{}).Kind == follow.Pause {
		continue
	}
	if !core.ApplyPage(0, "k", history.At(3, 11), false) {
		t.Fatal("a listing in the known era is not reported as complete")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch {
		t.Errorf("the call after the listing is %+v, want a watch", call)
	}
}

// TestPagesOfTwoErasAreListedWithGrowingPauses: a listing whose pages repeatedly are of two eras is not restarted
// at once.
func TestPagesOfTwoErasAreListedWithGrowingPauses(t *testing.T) {
	core := follow.New(settings, half)
	era := uint64(1)
	readMixedEras := func() {
		core.ApplyPage(0, "k", history.At(era, 7), true)
		core.Next(0, follow.CopyState{})
		era++
		core.ApplyPage(0, "z", history.At(era, 7), false)
	}
	readMixedEras()
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Errorf("after the first listing with mixed eras the next call is %+v, want a listing from the first key", call)
	}
	readMixedEras()
	if got, want := pauses(core, len(growing), readMixedEras), milliseconds(growing); !slices.Equal(got, want) {
		t.Errorf("the pauses are %v, want %v", got, want)
	}
}

func milliseconds(numbers []time.Duration) (lengths []time.Duration) {
	for _, n := range numbers {
		lengths = append(lengths, n*time.Millisecond)
	}
	return lengths
}

// TestAnsweredAfter guards against copies that count as complete as of a time at which they were not: an answer was given no
// earlier than its call was made, and later only if it ended a watch without changes after its whole wait.
func TestAnsweredAfter(t *testing.T) {
	const start, wait = 10 * time.Second, 1800 * time.Millisecond
	watch := follow.Call{Kind: follow.Watch, Duration: wait}
	for name, test := range map[string]struct {
		call    follow.Call
		took    time.Duration
		changes int
		want    time.Duration
	}{
		"a listing":                      {follow.Call{Kind: follow.List}, time.Second, 0, start},
		"a watch with changes":           {watch, 2 * time.Second, 1, start},
		"a watch without changes":        {watch, 1900 * time.Millisecond, 0, start + wait},
		"a late answer to a watch":       {watch, 3 * time.Second, 0, start + wait},
		"a watch that the store has cut": {watch, time.Second, 0, start},
	} {
		if got := test.call.AnsweredAfter(start, start+test.took, test.changes); got != test.want {
			t.Errorf("%s: answered after %v, want %v", name, got, test.want)
		}
	}
}

// TestUnreadableWatchIsNotRepeated: a watch whose answer could not be taken was made again as it was, so that its answer could only
// grow. The next call lists the keys, after a pause that grows if listings cannot be read either.
func TestUnreadableWatchIsNotRepeated(t *testing.T) {
	core := listed(t)
	core.RecordFailure(0, follow.Unreadable)
	pause := core.Next(0, follow.CopyState{})
	call := core.Next(0, follow.CopyState{})
	if pause.Kind != follow.Pause || call.Kind != follow.List || call.AfterKey != "" {
		t.Errorf("the calls after an unreadable answer are %+v and %+v, want a pause and a listing", pause, call)
	}
	core.RecordFailure(0, follow.Unreadable)
	if again := core.Next(0, follow.CopyState{}); again.Kind != follow.Pause || again.Duration <= pause.Duration {
		t.Errorf("the pause after an unreadable listing is %+v, want one longer than %v", again, pause.Duration)
	}
}
