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

// at is a revision of the first era.
func at(number uint64) history.Revision { return history.At(1, number) }

func half() float64 { return 0.5 }

func listed(t *testing.T) *follow.Core {
	t.Helper()
	core := follow.New(settings, half)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("begins with %+v", call)
	}
	if !core.ApplyPage(0, "k", at(7), false) {
		t.Fatal("one page is not taken for a whole listing")
	}
	return core
}

// TestListThenWatch: pages one after the other, then watches from the revision of the first page.
func TestListThenWatch(t *testing.T) {
	core := follow.New(settings, half)
	core.Next(0, follow.CopyState{})
	if core.ApplyPage(0, "b", at(7), true) {
		t.Error("a first page with more behind it is no whole listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "b" {
		t.Errorf("goes on with %+v", call)
	}
	if !core.ApplyPage(0, "d", at(9), false) {
		t.Error("the last page ends the listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(7) || call.Duration != settings.WatchDuration {
		t.Errorf("goes on with %+v: changes between the pages would be missed", call)
	}
}

// TestChangesAreCoalesced: after changes there is a pause that may be cut short; after silence there is none.
func TestChangesAreCoalesced(t *testing.T) {
	core := listed(t)
	core.ApplyChanges(0, core.Revision(), at(9), 2)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Coalesce || call.Duration != settings.CoalesceDelay {
		t.Errorf("after changes: %+v", call)
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(9) {
		t.Errorf("then: %+v", call)
	}
	core.ApplyChanges(0, core.Revision(), at(9), 0)
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch {
		t.Errorf("after silence: %+v", call)
	}
}

// TestTrouble: what each trouble leads to.
func TestTrouble(t *testing.T) {
	t.Run("the history is lost", func(t *testing.T) {
		core := listed(t)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("goes on with %+v", call)
		}
	})
	t.Run("the history is lost again before a watch has ended well", func(t *testing.T) {
		core := listed(t)
		core.RecordFailure(time.Second, follow.HistoryLost)
		core.Next(0, follow.CopyState{})
		core.ApplyPage(time.Second, "b", at(8), false)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != 100*time.Millisecond {
			t.Errorf("goes on with %+v", call)
		}
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("then %+v", call)
		}
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != 200*time.Millisecond {
			t.Errorf("a listing that says so: goes on with %+v", call)
		}
		core.Next(0, follow.CopyState{})
		core.ApplyPage(time.Second, "b", at(9), false)
		core.ApplyChanges(time.Second, core.Revision(), at(10), 0)
		core.RecordFailure(time.Second, follow.HistoryLost)
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List {
			t.Errorf("after a watch: goes on with %+v", call)
		}
	})
	t.Run("unavailable", func(t *testing.T) {
		core := listed(t)
		want := []time.Duration{100, 200, 400, 800, 1000, 1000}
		for _, milliseconds := range want {
			core.RecordFailure(time.Second, follow.Unavailable)
			if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause || call.Duration != milliseconds*time.Millisecond {
				t.Errorf("pauses %+v, want %d ms", call, milliseconds)
			}
			if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch || call.Revision != at(7) {
				t.Errorf("then %+v", call)
			}
		}
		core.ApplyChanges(time.Second, core.Revision(), at(8), 0)
		core.RecordFailure(time.Second, follow.Throttled)
		if call := core.Next(0, follow.CopyState{}); call.Duration != settings.InitialBackoff {
			t.Errorf("the pause does not begin anew after an answer: %+v", call)
		}
	})
	t.Run("within a listing", func(t *testing.T) {
		core := follow.New(settings, half)
		core.Next(0, follow.CopyState{})
		core.ApplyPage(0, "b", at(7), true)
		core.RecordFailure(0, follow.Unavailable)
		core.Next(0, follow.CopyState{})
		if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
			t.Errorf("goes on with %+v", call)
		}
	})
}

// TestRevisionNeverGoesBack, whatever a store that was set back says.
func TestRevisionNeverGoesBack(t *testing.T) {
	core := listed(t)
	core.ApplyChanges(0, core.Revision(), at(3), 0)
	if core.Revision() != at(7) {
		t.Errorf("the revision is %v", core.Revision())
	}
}

// TestStaleCopyIsLookedAt: with a stale copy the store is asked for what there is, with a short timeout that grows with
// failures; a node that nobody tells anything does not wait for its turn.
func TestStaleCopyIsLookedAt(t *testing.T) {
	core := listed(t)
	core.SetPollSchedule(time.Minute, 0)
	stale := follow.CopyState{Stale: true}
	if call := core.Next(time.Second, stale); call.Kind != follow.Watch || call.Duration > 10*time.Millisecond || call.Timeout != settings.PollTimeout {
		t.Errorf("stale: %+v", call)
	}
	core.RecordFailure(time.Second, follow.Unavailable)
	core.Next(time.Second, stale)
	if call := core.Next(time.Second, stale); call.Timeout != 2*settings.PollTimeout {
		t.Errorf("stale, after a failure: %+v", call)
	}
	if call := core.Next(time.Second, follow.CopyState{PeersSilent: true}); call.Duration != settings.WatchDuration {
		t.Errorf("alone: %+v", call)
	}
	if call := core.Next(time.Second, follow.CopyState{}); call.Duration != 59*time.Second {
		t.Errorf("among others: %+v", call)
	}
}

// TestPauseEndsAtTheTurn: changes are gathered no longer than until the node's turn, at which it tells others what the store
// says.
func TestPauseEndsAtTheTurn(t *testing.T) {
	core := listed(t)
	core.SetPollSchedule(10*time.Second, 0)
	for _, c := range []struct{ clock, pause time.Duration }{
		{2 * time.Second, settings.CoalesceDelay}, {9600 * time.Millisecond, 400 * time.Millisecond}, {8900 * time.Millisecond, 1100 * time.Millisecond},
	} {
		core.ApplyChanges(0, core.Revision(), at(9), 1)
		if call := core.Next(c.clock, follow.CopyState{}); call.Kind != follow.Coalesce || call.Duration != c.pause {
			t.Errorf("at %v: %+v, want a pause of %v", c.clock, call, c.pause)
		}
		call := core.Next(c.clock+c.pause, follow.CopyState{})
		if look := call.Duration <= 10*time.Millisecond; call.Kind != follow.Watch || look != (c.pause != settings.CoalesceDelay) {
			t.Errorf("at %v, after the pause: %+v", c.clock, call)
		}
	}
}

// TestTurns: nodes that take turns look at the store one after the other, however their watches began.
func TestTurns(t *testing.T) {
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
			t.Errorf("nobody looks at the store for %v", pause)
		}
	}
}

// TestListTimeout: a listing that is not answered is soon made again, with more time each time; an answer begins anew.
func TestListTimeout(t *testing.T) {
	core := follow.New(settings, half)
	for _, want := range []time.Duration{1, 2, 4, 4, 4} {
		call := core.Next(0, follow.CopyState{})
		if call.Kind == follow.Pause {
			call = core.Next(0, follow.CopyState{})
		}
		if call.Kind != follow.List || call.Timeout != want*time.Second {
			t.Errorf("%+v, want a timeout of %d s", call, want)
		}
		core.RecordFailure(0, follow.Unavailable)
	}
	core.Next(0, follow.CopyState{})
	core.ApplyPage(0, "k", at(1), true)
	if call := core.Next(0, follow.CopyState{}); call.Timeout != time.Second {
		t.Errorf("%+v after an answer", call)
	}
}

// TestAnotherEra: a store that has come back from a copy is listed anew, whatever the numbers of its revisions, and pages of
// two eras, or of one before what others have told meanwhile, make no listing.
func TestAnotherEra(t *testing.T) {
	core := listed(t)
	if core.ApplyChanges(0, at(7), history.At(2, 9), 2) {
		t.Error("what a store that was asked in another era tells is taken for all changes since")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("goes on with %+v", call)
	}
	if core.ApplyPage(0, "b", history.At(2, 5), true) {
		t.Error("a first page with more behind it is no whole listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "b" || call.Revision != history.At(2, 5) {
		t.Errorf("the next page is asked for with %+v", call)
	}
	if core.ApplyPage(0, "d", history.At(3, 4), false) {
		t.Error("pages of two eras make a listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.List || call.AfterKey != "" {
		t.Fatalf("then goes on with %+v", call)
	}
	if !core.ApplyPage(0, "d", history.At(3, 4), false) || core.Revision() != history.At(3, 4) {
		t.Errorf("a listing of a later era ends at %v", core.Revision())
	}
	core.Advance(history.At(4, 2))
	if core.ApplyPage(0, "d", history.At(3, 9), false) || core.Revision() != history.At(4, 2) {
		t.Errorf("a listing of an earlier era than others have told ends at %v", core.Revision())
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Pause {
		t.Errorf("asks a store that goes on telling an earlier era again at once: %+v", call)
	}
	core.Advance(history.At(3, 99))
	if core.Revision() != history.At(4, 2) {
		t.Errorf("goes back to %v", core.Revision())
	}
}

// pauses are those before the next calls, each of which ends with a listing's page.
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

// growing are the pauses after a trouble that stays.
var growing = []time.Duration{100, 200, 400, 800, 1000, 1000}

// TestEarlierEraIsAskedWithGrowingPauses: a store that goes on telling an earlier era than is known is under load or not yet itself; it is asked ever less often, and as
// usual once it tells the era that is known.
func TestEarlierEraIsAskedWithGrowingPauses(t *testing.T) {
	core := follow.New(settings, half)
	core.Advance(history.At(3, 9))
	core.ApplyChanges(0, history.At(3, 9), history.At(2, 5), 0)
	got := pauses(core, len(growing), func() { core.ApplyPage(0, "k", history.At(2, 7), false) })
	if want := milliseconds(growing); !slices.Equal(got, want) {
		t.Errorf("pauses %v, want %v", got, want)
	}
	for core.Next(0, follow.CopyState{}).Kind == follow.Pause {
		continue
	}
	if !core.ApplyPage(0, "k", history.At(3, 11), false) {
		t.Fatal("the era that is known makes no listing")
	}
	if call := core.Next(0, follow.CopyState{}); call.Kind != follow.Watch {
		t.Errorf("goes on with %+v", call)
	}
}

// TestPagesOfTwoErasAreListedWithGrowingPauses: a listing whose pages are of two eras again and again is not begun anew at once.
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
		t.Errorf("the first time goes on with %+v", call)
	}
	readMixedEras()
	if got, want := pauses(core, len(growing), readMixedEras), milliseconds(growing); !slices.Equal(got, want) {
		t.Errorf("pauses %v, want %v", got, want)
	}
}

func milliseconds(numbers []time.Duration) (lengths []time.Duration) {
	for _, n := range numbers {
		lengths = append(lengths, n*time.Millisecond)
	}
	return lengths
}
