package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
)

const heldFor = 600 * clock.Second

func newCore() *quarantine.Core {
	return quarantine.New(quarantine.Settings{Rounds: 3, Duration: heldFor})
}

func asks(who, what string) quarantine.Identity {
	return quarantine.NewIdentity(who, []byte("GET host/"+what), nil)
}

// run of a request at a back end, from one moment to another.
func run(service, backEnd string, began, ended clock.Ms) quarantine.Crash {
	return quarantine.Crash{Service: service, BackEnd: backEnd, Version: "v1", StartedAt: began, CrashedAt: ended}
}

// TestRounds: runs that follow each other count, those at the same time count once.
func TestRounds(t *testing.T) {
	for name, c := range map[string]struct {
		runs []quarantine.Crash
		want quarantine.Verdict
	}{
		"none": {nil, quarantine.Clear},
		"one":  {[]quarantine.Crash{run("s", "1", 0, 10)}, quarantine.Suspect},
		"ten at once": {many(10, func(i int) quarantine.Crash {
			return run(fmt.Sprint("s", i), fmt.Sprint(i), clock.Ms(i), 100+clock.Ms(i))
		}), quarantine.Suspect},
		"two after another":   {[]quarantine.Crash{run("s", "1", 0, 10), run("s", "2", 10, 20)}, quarantine.Suspect},
		"three after another": {[]quarantine.Crash{run("s", "1", 0, 10), run("s", "2", 10, 20), run("s", "3", 25, 30)}, quarantine.Quarantined},
		"learned in another order": {
			[]quarantine.Crash{run("s", "3", 25, 30), run("s", "1", 0, 10), run("s", "2", 10, 20)}, quarantine.Quarantined,
		},
		"the same back end thrice": {[]quarantine.Crash{run("s", "1", 0, 10), run("s", "1", 10, 20), run("s", "1", 25, 30)}, quarantine.Suspect},
		"long ones beside": {
			[]quarantine.Crash{run("s", "1", 0, 100), run("s", "2", 0, 10), run("s", "3", 20, 30), run("s", "4", 40, 50)}, quarantine.Quarantined,
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, id := newCore(), asks("a", "x")
			for _, r := range c.runs {
				core.RecordCrash(200, id, r)
			}
			if got := core.Verdict(200, id); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func many(count int, of func(i int) quarantine.Crash) (runs []quarantine.Crash) {
	for i := range count {
		runs = append(runs, of(i))
	}
	return runs
}

// convict has a request end three back ends, one after the other from a moment on, and returns when that is over.
func convict(core *quarantine.Core, id quarantine.Identity, from clock.Ms) clock.Ms {
	for i := range 3 {
		core.RecordCrash(from+10, id, run("s", fmt.Sprint(from, "-", i), from, from+10))
		from += 20
	}
	return from
}

// TestQuarantineEnds: a quarantine is over after its time; the request is suspected on, and one more end brings it back.
func TestQuarantineEnds(t *testing.T) {
	core, id := newCore(), asks("a", "x")
	now := convict(core, id, 1000)
	if got, left := core.Verdict(now, id), core.Remaining(now, id); got != quarantine.Quarantined || left < heldFor-100 || left > heldFor {
		t.Fatalf("%v for %d ms", got, left)
	}
	now += heldFor
	if got := core.Verdict(now, id); got != quarantine.Suspect {
		t.Errorf("afterwards %v", got)
	}
	if got, _ := core.RecordCrash(now+20, id, run("s", "again", now, now+10)); got != quarantine.Quarantined {
		t.Errorf("after one more end %v", got)
	}
}

// TestAnswerAcquits: whoever is answered does not end what runs it, whatever was seen before; but not where other software answered than what it ended.
func TestAnswerAcquits(t *testing.T) {
	core, id := newCore(), asks("a", "x")
	core.RecordCrash(10, id, run("s", "1", 0, 10))
	_, change := core.RecordCrash(30, id, run("s", "2", 20, 30))
	if len(core.EvidenceOf(35, change.Share...).Requests) == 0 {
		t.Error("nobody is told of two rounds")
	}
	if change := core.RecordAnswer(40, id, "s", "v1"); len(change.Share) == 0 || core.Verdict(40, id) != quarantine.Clear {
		t.Errorf("%v after an answer, tells %d", core.Verdict(40, id), len(change.Share))
	}
	if change := core.RecordAnswer(45, id, "s", "v1"); len(change.Share) > 0 {
		t.Errorf("others are told %d times of what they know", 1+len(change.Share))
	}
	core.RecordCrash(60, id, run("s", "3", 50, 60))
	if got := core.Verdict(60, id); got != quarantine.Suspect {
		t.Errorf("%v by what came before the answer too", got)
	}
	now := convict(core, id, 100)
	core.RecordAnswer(now, id, "s", "v2")
	if got, sound := core.Verdict(now, id), core.SafeVersions(now, id); got != quarantine.Quarantined || !slices.Equal(sound, []string{"v2"}) {
		t.Errorf("%v, sound %v after another version has answered", got, sound)
	}
	core.EvidenceOf(now, id.Request, id.CallerRequest)
	if change := core.RecordAnswer(now, id, "s", "v2"); len(change.VerdictChanged)+len(change.Share) > 0 {
		t.Errorf("the second answer of that version is news: %+v", change)
	}
	if change := core.RecordAnswer(now, id, "s", "v1"); len(change.VerdictChanged) == 0 || core.Verdict(now, id) != quarantine.Clear {
		t.Errorf("%v after the same version has answered", core.Verdict(now, id))
	}
}

// TestOthersEndToo: where back ends end that the request was not at, more rounds are asked for, up to two.
func TestOthersEndToo(t *testing.T) {
	core, id := newCore(), asks("a", "x")
	for i := range 30 {
		core.RecordCrash(5, asks("b", fmt.Sprint(i)), run("s", fmt.Sprint("other-", i), 0, 5))
	}
	now := convict(core, id, 10)
	if got := core.Verdict(now, id); got != quarantine.Suspect {
		t.Errorf("%v after three rounds while others end", got)
	}
	core.RecordCrash(now+10, id, run("s", "4", now, now+10))
	core.RecordCrash(now+30, id, run("s", "5", now+20, now+30))
	if got := core.Verdict(now+30, id); got != quarantine.Quarantined {
		t.Errorf("%v after five rounds", got)
	}
}

// TestOneShard: a request that ends the back ends of one shard while others answer it is kept from that shard alone.
func TestOneShard(t *testing.T) {
	core, id := newCore(), asks("a", "x")
	for i := range clock.Ms(4) {
		core.RecordCrash(i*100+10, id, run("bad", fmt.Sprint(i), i*100, i*100+10))
		core.RecordAnswer(i*100+20, id, "good", "v1")
	}
	if core.Verdict(400, id) == quarantine.Quarantined || !core.ShardExcluded(400, id, "bad") || core.ShardExcluded(400, id, "good") {
		t.Errorf("%v, left out %v and %v", core.Verdict(400, id), core.ShardExcluded(400, id, "bad"), core.ShardExcluded(400, id, "good"))
	}
	core.RecordAnswer(500, id, "bad", "v1")
	if core.ShardExcluded(500, id, "bad") {
		t.Error("left out of a shard that has answered")
	}
}

// TestWideMarks: who varies what he asks is never put under quarantine, and gets one back end a time.
func TestWideMarks(t *testing.T) {
	core := newCore()
	var got quarantine.Verdict
	for i := range clock.Ms(5) {
		got, _ = core.RecordCrash(i*100+10, asks("a", fmt.Sprint(i)), run("s", fmt.Sprint(i), i*100, i*100+10))
	}
	if got != quarantine.Quarantined {
		t.Errorf("another back end for another question: %v", got)
	}
	if held := core.QuarantinedCount(500); held > 0 || len(core.MissingFromStore(500)) > 0 {
		t.Errorf("%d are under quarantine", held)
	}
	if got := core.Verdict(500, asks("a", "new")); got != quarantine.Suspect {
		t.Errorf("a new question of the same caller is %v", got)
	}
	if got := core.Verdict(500, asks("b", "new")); got != quarantine.Clear {
		t.Errorf("a new question of another caller is %v", got)
	}
}

// TestOtherCaller: one question, under quarantine for who asks it round after round, may be asked by others some time later.
func TestOtherCaller(t *testing.T) {
	core := newCore()
	now := convict(core, asks("a", "x"), 0)
	if _, wait, other := core.OtherCaller(now, asks("b", "x")); !other || wait <= 0 {
		t.Errorf("at once: other %v, wait %d", other, wait)
	}
	now += 5 * clock.Second
	if _, wait, other := core.OtherCaller(now, asks("b", "x")); !other || wait != 0 {
		t.Errorf("later: other %v, wait %d", other, wait)
	}
	if _, _, other := core.OtherCaller(now, asks("a", "x")); other {
		t.Error("who asks round after round is another one")
	}
	core.RecordAnswer(now, asks("b", "x"), "s", "v1")
	if core.Verdict(now, asks("b", "x")) == quarantine.Quarantined || core.Verdict(now, asks("a", "x")) != quarantine.Suspect {
		t.Errorf("after an answer %v and %v", core.Verdict(now, asks("b", "x")), core.Verdict(now, asks("a", "x")))
	}
}

// TestOff: without rounds nobody is suspected.
func TestOff(t *testing.T) {
	core, id := quarantine.New(quarantine.Settings{}), asks("a", "x")
	now := convict(core, id, 0)
	if got := core.Verdict(now, id); got != quarantine.Clear {
		t.Errorf("%v", got)
	}
}

// TestToldByOthers: nodes that have seen one end each come to the same verdict as one that has seen them all, in whatever order and however often they
// hear of each other; and an answer that one has seen acquits with all.
func TestToldByOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 4
		var cores [nodes]*quarantine.Core
		for i := range cores {
			cores[i] = newCore()
		}
		id, now := asks("a", "x"), clock.Ms(1000)
		for i := range clock.Ms(3) {
			cores[i].RecordCrash(now+10, id, run("s", fmt.Sprint(i), now, now+10))
			now += 20
		}
		exchange := func() {
			for _, pair := range rapid.SliceOfN(rapid.IntRange(0, nodes*nodes-1), 20, 60).Draw(rt, "exchanges") {
				if m := cores[pair/nodes].AllEvidence(now); m != nil {
					cores[pair%nodes].Receive(now, m)
				}
			}
			for range nodes {
				for i := range cores {
					if m := cores[i].AllEvidence(now); m != nil {
						cores[(i+1)%nodes].Receive(now, m)
					}
				}
			}
		}
		exchange()
		for i, core := range cores {
			if got := core.Verdict(now, id); got != quarantine.Quarantined {
				rt.Fatalf("node %d: %v", i, got)
			}
		}
		now += 2000
		change := cores[rapid.IntRange(0, nodes-1).Draw(rt, "answered")].RecordAnswer(now, id, "s", "v1")
		if len(change.Share) == 0 {
			rt.Fatal("nobody is told of an answer")
		}
		for i, core := range cores {
			for _, other := range cores {
				core.Receive(now, other.EvidenceOf(now, change.Share...))
			}
			if got := core.Verdict(now, id); got == quarantine.Quarantined {
				rt.Fatalf("node %d: %v after an answer", i, got)
			}
		}
	})
}

// TestBounded: whatever comes, what is remembered is bounded, and those under quarantine are forgotten last.
func TestBounded(t *testing.T) {
	core, held := newCore(), asks("held", "x")
	now := convict(core, held, 0)
	for i := range 6000 {
		now += 10
		core.RecordCrash(now, asks(fmt.Sprint("caller-", i), fmt.Sprint(i)), run("s", fmt.Sprint("b-", i), now-5, now))
	}
	if core.Len() > 4096 {
		t.Errorf("%d are remembered", core.Len())
	}
	if got := core.Verdict(now, held); got != quarantine.Quarantined {
		t.Errorf("who was under quarantine is %v", got)
	}
	if m := core.AllEvidence(now); len(m.Requests) > 32 {
		t.Errorf("a message has %d requests", len(m.Requests))
	}
	core.Forget(now + 2*heldFor + 3600*clock.Second)
	if core.Len() != 0 {
		t.Errorf("%d are remembered for ever", core.Len())
	}
}

// TestAnyMessage: whatever another node says, nothing breaks, and it lasts no longer than it may.
func TestAnyMessage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := rapid.StringN(0, 8, 8)
		ms := rapid.Uint32()
		drawn := rapid.Custom(func(t *rapid.T) message.RequestEvidence {
			evidence := message.RequestEvidence{
				Mark: [16]byte{rapid.Byte().Draw(t, "mark")}, Shared: rapid.Bool().Draw(t, "wide"), Answered: rapid.Bool().Draw(t, "answered"),
				AnsweredAgoMs: ms.Draw(t, "answered ago"), QuarantineRemainingMs: ms.Draw(t, "left"), EndedVersions: rapid.SliceOf(text).Draw(t, "versions"),
			}
			for range rapid.IntRange(0, 30).Draw(t, "runs") {
				evidence.Runs = append(evidence.Runs, message.EndedRun{
					Service: text.Draw(t, "service"), BackEnd: text.Draw(t, "back end"), StartedAgoMs: ms.Draw(t, "began"), EndedAgoMs: ms.Draw(t, "ended"),
				})
			}
			return evidence
		})
		core, now := newCore(), clock.Ms(rapid.IntRange(0, 1<<40).Draw(rt, "now"))
		core.Receive(now, &message.Evidence{Requests: rapid.SliceOf(drawn).Draw(rt, "evidence")})
		core.AllEvidence(now)
		if core.Len() > 32 {
			rt.Fatalf("%d requests by one message", core.Len())
		}
		if later := now + 2*3600*clock.Second; core.QuarantinedCount(later) > 0 {
			rt.Fatal("under quarantine for hours")
		}
	})
}

// TestStore: what the store says holds until it says nothing any more; a value that cannot be read changes nothing.
func TestStore(t *testing.T) {
	core, other, id := newCore(), newCore(), asks("a", "x")
	now := convict(core, id, 0)
	unstored := core.MissingFromStore(now)
	if len(unstored) != 1 {
		t.Fatalf("%d to be stored", len(unstored))
	}
	for mark := range unstored {
		if decoded, found := quarantine.ParseKey(quarantine.KeyOf(mark)); !found || decoded != mark {
			t.Errorf("the key of %v is of %v", mark, decoded)
		}
		if _, err := other.ApplyStored(now, mark, []byte("{nonsense")); failure.CodeOf(err) != failure.Malformed || other.Len() != 0 {
			t.Errorf("nonsense: %v, %d remembered", err, other.Len())
		}
		if convicted, err := other.ApplyStored(now, mark, core.Encode(mark)); err != nil || !convicted || other.Verdict(now, id) != quarantine.Quarantined {
			t.Errorf("stored: %v, %v", convicted, err)
		}
		if _, _, may := other.OtherCaller(now, id); may {
			t.Error("who asked round after round is another one to a node that reads the store")
		}
		if !other.RemoveStored(now, mark) || other.Verdict(now, id) != quarantine.Clear {
			t.Errorf("%v once the store says nothing", other.Verdict(now, id))
		}
		_, _ = core.ApplyStored(now, mark, core.Encode(mark))
		if core.RemoveStored(now, mark) || core.Verdict(now, id) != quarantine.Quarantined {
			t.Error("what a node has seen itself went with the store's word")
		}
	}
	for _, key := range []string{"quarantine/", "quarantine/zz", "servers/x", "quarantine-retrial/00"} {
		if _, found := quarantine.ParseKey(key); found {
			t.Errorf("%q is of a request", key)
		}
	}
}

// TestFullOfQuarantines: where all that may be remembered is under quarantine, one more request is judged by what there is room for, and nothing breaks.
func TestFullOfQuarantines(t *testing.T) {
	core, now := newCore(), clock.Ms(0)
	for i := range 4096 {
		if _, err := core.ApplyStored(now, quarantine.FingerprintOf([]byte(fmt.Sprint(i))), []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	if got := core.QuarantinedCount(now); got != 4096 {
		t.Fatalf("%d are under quarantine", got)
	}
	verdict, _ := core.RecordCrash(now+10, asks("a", "x"), run("s", "1", now, now+10))
	if verdict == quarantine.Quarantined || core.Len() > 4096 {
		t.Errorf("%v, %d are remembered", verdict, core.Len())
	}
}

// TestLostByTheStore: a quarantine that a store back from a copy says nothing of goes on for what was left of it, and is named to be written again; one that
// was lifted is known to be.
func TestLostByTheStore(t *testing.T) {
	core, id := newCore(), asks("a", "x")
	mark := id.Request
	if _, err := core.ApplyStored(1000, mark, []byte(`{"versions":["v1"]}`)); err != nil {
		t.Fatal(err)
	}
	core.RecordStoreLoss(mark)
	if left, held := core.RemainingOf(2000, mark); !held || left != heldFor-1000 {
		t.Errorf("held %v for %d ms", held, left)
	}
	if unstored := core.MissingFromStore(2000); unstored[mark] != heldFor-1000 {
		t.Errorf("to be written %v", unstored)
	}
	if core.Lifted(mark) {
		t.Error("lifted")
	}
	core.RecordAnswer(3000, id, "s", "v1")
	if !core.Lifted(mark) || core.Verdict(3000, id) != quarantine.Clear {
		t.Errorf("after an answer %v, lifted %v", core.Verdict(3000, id), core.Lifted(mark))
	}
	if _, err := core.ApplyStored(9000, mark, []byte(`{"versions":["v1"]}`)); err != nil || core.Lifted(mark) {
		t.Errorf("lifted by a newer quarantine, %v", err)
	}
	core.RecordStoreLoss(asks("b", "y").Request)
}
