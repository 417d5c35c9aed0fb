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

const quarantineDuration = 600 * clock.Second

func newCore() *quarantine.Core {
	return quarantine.New(quarantine.Settings{Rounds: 3, Duration: quarantineDuration})
}

func requestBy(caller, path string) quarantine.Identity {
	return quarantine.NewIdentity(caller, []byte("GET host/"+path), nil)
}

// crashOf returns the crash of a back end during an execution that began and ended at the given times.
func crashOf(service, backEnd string, began, ended clock.Ms) quarantine.Crash {
	return quarantine.Crash{Service: service, BackEnd: backEnd, Version: "v1", StartedAt: began, CrashedAt: ended}
}

// TestRounds checks which crashes are separate rounds: those whose execution began after the crash before. Crashes of
// concurrent executions count once, since one cause may have crashed all of them, and one back end counts once.
func TestRounds(t *testing.T) {
	for name, c := range map[string]struct {
		runs []quarantine.Crash
		want quarantine.Verdict
	}{
		"no crash":  {nil, quarantine.Clear},
		"one crash": {[]quarantine.Crash{crashOf("s", "1", 0, 10)}, quarantine.Suspect},
		"ten concurrent": {generate(10, func(i int) quarantine.Crash {
			return crashOf(fmt.Sprint("s", i), fmt.Sprint(i), clock.Ms(i), 100+clock.Ms(i))
		}), quarantine.Suspect},
		"two successive": {[]quarantine.Crash{crashOf("s", "1", 0, 10), crashOf("s", "2", 10, 20)}, quarantine.Suspect},
		"three successive": {[]quarantine.Crash{crashOf("s", "1", 0, 10), crashOf("s", "2", 10, 20), crashOf("s", "3", 25, 30)},
			quarantine.Quarantined},
		"three successive, reported out of order": {
			[]quarantine.Crash{crashOf("s", "3", 25, 30), crashOf("s", "1", 0, 10), crashOf("s", "2", 10, 20)}, quarantine.Quarantined,
		},
		"the same back end three times": {[]quarantine.Crash{crashOf("s", "1", 0, 10), crashOf("s", "1", 10, 20), crashOf("s", "1", 25, 30)},
			quarantine.Suspect},
		"three successive besides a long execution": {
			[]quarantine.Crash{crashOf("s", "1", 0, 100), crashOf("s", "2", 0, 10), crashOf("s", "3", 20, 30), crashOf("s", "4", 40, 50)},
			quarantine.Quarantined,
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, id := newCore(), requestBy("a", "x")
			for _, r := range c.runs {
				core.RecordCrash(200, id, r)
			}
			if got := core.Verdict(200, id); got != c.want {
				t.Errorf("verdict %v, want %v", got, c.want)
			}
		})
	}
}

func generate(count int, of func(i int) quarantine.Crash) (runs []quarantine.Crash) {
	for i := range count {
		runs = append(runs, of(i))
	}
	return runs
}

// quarantineRequest records three successive crashes during a request, beginning at a time, and returns the time after
// the last.
func quarantineRequest(core *quarantine.Core, id quarantine.Identity, from clock.Ms) clock.Ms {
	for i := range 3 {
		core.RecordCrash(from+10, id, crashOf("s", fmt.Sprint(from, "-", i), from, from+10))
		from += 20
	}
	return from
}

// TestQuarantineExpires checks that a quarantine ends after its duration. The request then remains suspect, and one
// more crash quarantines it again.
func TestQuarantineExpires(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	now := quarantineRequest(core, id, 1000)
	if got, remaining := core.Verdict(now, id), core.Remaining(now, id); got != quarantine.Quarantined ||
		remaining < quarantineDuration-100 || remaining > quarantineDuration {
		t.Fatalf("verdict %v, %d ms remaining; want quarantined for about the whole duration", got, remaining)
	}
	now += quarantineDuration
	if got := core.Verdict(now, id); got != quarantine.Suspect {
		t.Errorf("verdict %v after the quarantine, want suspect", got)
	}
	if got, _ := core.RecordCrash(now+20, id, crashOf("s", "again", now, now+10)); got != quarantine.Quarantined {
		t.Errorf("verdict %v after one more crash, want quarantined", got)
	}
}

// TestAnswerEndsSuspicion checks that an answer clears a request whatever crashes came before: a request that is
// answered does not crash the back end. If another software version answered than those that crashed, the quarantine
// remains for the others. Other nodes are told of an answer only if it changes what they know.
func TestAnswerEndsSuspicion(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	core.RecordCrash(10, id, crashOf("s", "1", 0, 10))
	_, change := core.RecordCrash(30, id, crashOf("s", "2", 20, 30))
	if len(core.EvidenceOf(35, change.Share...).Requests) == 0 {
		t.Error("two rounds are not shared with other nodes")
	}
	if change := core.RecordAnswer(40, id, "s", "v1"); len(change.Share) == 0 || core.Verdict(40, id) != quarantine.Clear {
		t.Errorf("verdict %v after an answer, %d fingerprints shared; want clear, at least one",
			core.Verdict(40, id), len(change.Share))
	}
	if change := core.RecordAnswer(45, id, "s", "v1"); len(change.Share) > 0 {
		t.Errorf("the second of %d shared changes is known already, want the first alone", 1+len(change.Share))
	}
	core.RecordCrash(60, id, crashOf("s", "3", 50, 60))
	if got := core.Verdict(60, id); got != quarantine.Suspect {
		t.Errorf("verdict %v, want suspect: crashes before the answer must not count", got)
	}
	now := quarantineRequest(core, id, 100)
	core.RecordAnswer(now, id, "s", "v2")
	if got, safe := core.Verdict(now, id), core.SafeVersions(now, id); got != quarantine.Quarantined ||
		!slices.Equal(safe, []string{"v2"}) {
		t.Errorf("verdict %v, safe versions %v after version v2 answered; want quarantined, v2", got, safe)
	}
	core.EvidenceOf(now, id.Request, id.CallerRequest)
	if change := core.RecordAnswer(now, id, "s", "v2"); len(change.VerdictChanged)+len(change.Share) > 0 {
		t.Errorf("the second answer of version v2 changes something: %+v", change)
	}
	if change := core.RecordAnswer(now, id, "s", "v1"); len(change.VerdictChanged) == 0 ||
		core.Verdict(now, id) != quarantine.Clear {
		t.Errorf("verdict %v after the version that crashed has answered, want clear and reported as changed",
			core.Verdict(now, id))
	}
}

// TestUnrelatedCrashesRequireMoreRounds guards against blaming a request for an outage, such as that of a zone: while
// back ends crash that did not process the request, a quarantine requires up to two more rounds.
func TestUnrelatedCrashesRequireMoreRounds(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	for i := range 30 {
		core.RecordCrash(5, requestBy("b", fmt.Sprint(i)), crashOf("s", fmt.Sprint("other-", i), 0, 5))
	}
	now := quarantineRequest(core, id, 10)
	if got := core.Verdict(now, id); got != quarantine.Suspect {
		t.Errorf("verdict %v after three rounds while other back ends crash, want suspect", got)
	}
	core.RecordCrash(now+10, id, crashOf("s", "4", now, now+10))
	core.RecordCrash(now+30, id, crashOf("s", "5", now+20, now+30))
	if got := core.Verdict(now+30, id); got != quarantine.Quarantined {
		t.Errorf("verdict %v after five rounds, want quarantined", got)
	}
}

// TestOneShardIsExcluded checks that a request that crashes the back ends of one shard while others answer it is kept
// from that shard alone, and that an answer of the shard ends this.
func TestOneShardIsExcluded(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	for i := range clock.Ms(4) {
		core.RecordCrash(i*100+10, id, crashOf("bad", fmt.Sprint(i), i*100, i*100+10))
		core.RecordAnswer(i*100+20, id, "good", "v1")
	}
	if core.Verdict(400, id) == quarantine.Quarantined || !core.ShardExcluded(400, id, "bad") ||
		core.ShardExcluded(400, id, "good") {
		t.Errorf("verdict %v, shard \"bad\" excluded %v, \"good\" excluded %v; want not quarantined, true, false",
			core.Verdict(400, id), core.ShardExcluded(400, id, "bad"), core.ShardExcluded(400, id, "good"))
	}
	core.RecordAnswer(500, id, "bad", "v1")
	if core.ShardExcluded(500, id, "bad") {
		t.Error("the request is kept from a shard that has answered it")
	}
}

// TestCallerIsNeverQuarantined guards against a caller that changes its request each time to evade quarantine. The
// caller itself is never quarantined, but after enough rounds each of its new requests reaches one back end only. Other
// callers are not affected.
func TestCallerIsNeverQuarantined(t *testing.T) {
	core := newCore()
	var got quarantine.Verdict
	for i := range clock.Ms(5) {
		got, _ = core.RecordCrash(i*100+10, requestBy("a", fmt.Sprint(i)), crashOf("s", fmt.Sprint(i), i*100, i*100+10))
	}
	if got != quarantine.Quarantined {
		t.Errorf("verdict %v after five rounds with different requests, want quarantined", got)
	}
	if count := core.QuarantinedCount(500); count > 0 || len(core.MissingFromStore(500)) > 0 {
		t.Errorf("%d records are quarantined or to be stored, want none", count)
	}
	if got := core.Verdict(500, requestBy("a", "new")); got != quarantine.Suspect {
		t.Errorf("verdict %v on a new request of the same caller, want suspect", got)
	}
	if got := core.Verdict(500, requestBy("b", "new")); got != quarantine.Clear {
		t.Errorf("verdict %v on a new request of another caller, want clear", got)
	}
}

// TestOtherCaller checks that a request that is quarantined because of one caller may be sent by others some time
// later, and that an answer to them ends the quarantine of the request but not the suspicion of the first caller.
func TestOtherCaller(t *testing.T) {
	core := newCore()
	now := quarantineRequest(core, requestBy("a", "x"), 0)
	if _, wait, other := core.OtherCaller(now, requestBy("b", "x")); !other || wait <= 0 {
		t.Errorf("at once: other caller %v, wait %d ms; want true, more than 0", other, wait)
	}
	now += 5 * clock.Second
	if _, wait, other := core.OtherCaller(now, requestBy("b", "x")); !other || wait != 0 {
		t.Errorf("5 s later: other caller %v, wait %d ms; want true, 0", other, wait)
	}
	if _, _, other := core.OtherCaller(now, requestBy("a", "x")); other {
		t.Error("the caller whose requests crashed back ends is taken for another caller")
	}
	core.RecordAnswer(now, requestBy("b", "x"), "s", "v1")
	if core.Verdict(now, requestBy("b", "x")) == quarantine.Quarantined ||
		core.Verdict(now, requestBy("a", "x")) != quarantine.Suspect {
		t.Errorf("after an answer: verdict %v for the other caller, %v for the first; want not quarantined, suspect",
			core.Verdict(now, requestBy("b", "x")), core.Verdict(now, requestBy("a", "x")))
	}
}

// TestQuarantineDisabled checks that a setting of 0 rounds disables quarantines and suspicion.
func TestQuarantineDisabled(t *testing.T) {
	core, id := quarantine.New(quarantine.Settings{}), requestBy("a", "x")
	now := quarantineRequest(core, id, 0)
	if got := core.Verdict(now, id); got != quarantine.Clear {
		t.Errorf("verdict %v, want clear", got)
	}
}

// TestEvidenceReachesSameVerdict checks that nodes that have each seen one crash reach the same verdict as a node that
// has seen them all, whatever the order and number of their messages, and that an answer that one of them has seen ends
// the quarantine on all.
func TestEvidenceReachesSameVerdict(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 4
		var cores [nodes]*quarantine.Core
		for i := range cores {
			cores[i] = newCore()
		}
		id, now := requestBy("a", "x"), clock.Ms(1000)
		for i := range clock.Ms(3) {
			cores[i].RecordCrash(now+10, id, crashOf("s", fmt.Sprint(i), now, now+10))
			now += 20
		}
		exchange := func() {
			for _, pair := range rapid.SliceOfN(rapid.IntRange(0, nodes*nodes-1), 20, 60).Draw(rt, "exchanges") {
				if m := cores[pair/nodes].AllEvidence(now); m != nil {
					cores[pair%nodes].Receive(now, now, m)
				}
			}
			for range nodes {
				for i := range cores {
					if m := cores[i].AllEvidence(now); m != nil {
						cores[(i+1)%nodes].Receive(now, now, m)
					}
				}
			}
		}
		exchange()
		for i, core := range cores {
			if got := core.Verdict(now, id); got != quarantine.Quarantined {
				rt.Fatalf("verdict of node %d: %v, want quarantined", i, got)
			}
		}
		now += 2000
		change := cores[rapid.IntRange(0, nodes-1).Draw(rt, "answered")].RecordAnswer(now, id, "s", "v1")
		if len(change.Share) == 0 {
			rt.Fatal("an answer is not shared with other nodes")
		}
		for i, core := range cores {
			for _, other := range cores {
				core.Receive(now, now, other.EvidenceOf(now, change.Share...))
			}
			if got := core.Verdict(now, id); got == quarantine.Quarantined {
				rt.Fatalf("verdict of node %d after an answer: %v, want not quarantined", i, got)
			}
		}
	})
}

// TestMemoryIsBounded checks the limits of memory and messages under many different requests. Quarantined records are
// deleted last, and all records expire in the end.
func TestMemoryIsBounded(t *testing.T) {
	core, quarantined := newCore(), requestBy("held", "x")
	now := quarantineRequest(core, quarantined, 0)
	for i := range 6000 {
		now += 10
		core.RecordCrash(now, requestBy(fmt.Sprint("caller-", i), fmt.Sprint(i)), crashOf("s", fmt.Sprint("b-", i), now-5, now))
	}
	if core.Len() > 4096 {
		t.Errorf("%d records, want at most 4096", core.Len())
	}
	if got := core.Verdict(now, quarantined); got != quarantine.Quarantined {
		t.Errorf("verdict %v on the request that was quarantined first, want quarantined", got)
	}
	if m := core.AllEvidence(now); len(m.Requests) > 32 {
		t.Errorf("a message has %d requests, want at most 32", len(m.Requests))
	}
	core.Forget(now + 2*quarantineDuration + 3600*clock.Second)
	if core.Len() != 0 {
		t.Errorf("%d records remain after all have expired, want none", core.Len())
	}
}

// TestArbitraryMessage checks that no message of another node causes a panic, exceeds the memory limits or quarantines
// a request for hours.
func TestArbitraryMessage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := rapid.StringN(0, 8, 8)
		ms := rapid.Uint32()
		drawn := rapid.Custom(func(t *rapid.T) message.RequestEvidence {
			evidence := message.RequestEvidence{
				Fingerprint: [16]byte{rapid.Byte().Draw(t, "fingerprint")}, Aggregate: rapid.Bool().Draw(t, "aggregate"),
				Answered:      rapid.Bool().Draw(t, "answered"),
				AnsweredAgoMs: ms.Draw(t, "answered ago"), QuarantineRemainingMs: ms.Draw(t, "left"),
				CrashedVersions: rapid.SliceOf(text).Draw(t, "versions"),
			}
			for range rapid.IntRange(0, 30).Draw(t, "runs") {
				evidence.Crashes = append(evidence.Crashes, message.Crash{
					Service: text.Draw(t, "service"), BackEnd: text.Draw(t, "back end"),
					StartedAgoMs: ms.Draw(t, "began"), CrashedAgoMs: ms.Draw(t, "ended"),
				})
			}
			return evidence
		})
		core, now := newCore(), clock.Ms(rapid.IntRange(0, 1<<40).Draw(rt, "now"))
		core.Receive(now, now, &message.Evidence{Requests: rapid.SliceOf(drawn).Draw(rt, "evidence")})
		core.AllEvidence(now)
		if core.Len() > 32 {
			rt.Fatalf("%d records after one message, want at most 32", core.Len())
		}
		if later := now + 2*3600*clock.Second; core.QuarantinedCount(later) > 0 {
			rt.Fatal("a request is still quarantined two hours after the message")
		}
	})
}

// TestStoredQuarantine checks that a quarantine in the store applies until the store no longer lists it, and that an
// item that cannot be decoded changes nothing. A node's own observations remain when the store's item goes.
func TestStoredQuarantine(t *testing.T) {
	core, other, id := newCore(), newCore(), requestBy("a", "x")
	now := quarantineRequest(core, id, 0)
	missing := core.MissingFromStore(now)
	if len(missing) != 1 {
		t.Fatalf("%d quarantines are missing from the store, want 1", len(missing))
	}
	for fingerprint := range missing {
		if decoded, found := quarantine.ParseKey(quarantine.KeyOf(fingerprint)); !found || decoded != fingerprint {
			t.Errorf("the key of %v is parsed as that of %v", fingerprint, decoded)
		}
		if _, err := other.ApplyStored(now, fingerprint, []byte("{nonsense")); failure.CodeOf(err) != failure.Malformed ||
			other.Len() != 0 {
			t.Errorf("malformed item: error %v, %d records; want code MALFORMED, none", err, other.Len())
		}
		if newlyQuarantined, err := other.ApplyStored(now, fingerprint, core.Encode(fingerprint)); err != nil ||
			!newlyQuarantined || other.Verdict(now, id) != quarantine.Quarantined {
			t.Errorf("stored quarantine: newly quarantined %v, error %v; want true, none", newlyQuarantined, err)
		}
		if _, _, may := other.OtherCaller(now, id); may {
			t.Error("the stored caller is taken for another caller by a node that reads the store")
		}
		if !other.RemoveStored(now, fingerprint) || other.Verdict(now, id) != quarantine.Clear {
			t.Errorf("verdict %v after the store's item was removed, want clear", other.Verdict(now, id))
		}
		_, _ = core.ApplyStored(now, fingerprint, core.Encode(fingerprint))
		if core.RemoveStored(now, fingerprint) || core.Verdict(now, id) != quarantine.Quarantined {
			t.Error("a quarantine by the node's own observations ended with the store's item")
		}
	}
	for _, key := range []string{"quarantine/", "quarantine/zz", "servers/x", "quarantine-retrial/00"} {
		if _, found := quarantine.ParseKey(key); found {
			t.Errorf("key %q is parsed as that of a quarantine", key)
		}
	}
}

// TestAllRecordsQuarantined checks that one more request can be judged while all records are quarantined. Its records
// have to replace each other, since each new record deletes one.
func TestAllRecordsQuarantined(t *testing.T) {
	core, now := newCore(), clock.Ms(0)
	for i := range 4096 {
		if _, err := core.ApplyStored(now, quarantine.FingerprintOf([]byte(fmt.Sprint(i))), []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	if got := core.QuarantinedCount(now); got != 4096 {
		t.Fatalf("%d records are quarantined, want 4096", got)
	}
	verdict, _ := core.RecordCrash(now+10, requestBy("a", "x"), crashOf("s", "1", now, now+10))
	if verdict == quarantine.Quarantined || core.Len() > 4096 {
		t.Errorf("verdict %v, %d records; want not quarantined, at most 4096", verdict, core.Len())
	}
}

// TestStoreLosesQuarantine checks that a quarantine continues for its remaining time if a store that was restored from
// a backup does not list it, and that it is returned to be written again. A quarantine that an answer ended is known as
// lifted.
func TestStoreLosesQuarantine(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	fingerprint := id.Request
	if _, err := core.ApplyStored(1000, fingerprint, []byte(`{"versions":["v1"]}`)); err != nil {
		t.Fatal(err)
	}
	core.RecordStoreLoss(fingerprint)
	if remaining, quarantined := core.RemainingOf(2000, fingerprint); !quarantined || remaining != quarantineDuration-1000 {
		t.Errorf("quarantined %v, %d ms remaining; want true, the duration less 1 s", quarantined, remaining)
	}
	if missing := core.MissingFromStore(2000); missing[fingerprint] != quarantineDuration-1000 {
		t.Errorf("missing from the store: %v, want the request with the remaining duration", missing)
	}
	if core.Lifted(fingerprint) {
		t.Error("the quarantine is lifted although the request was not answered")
	}
	core.RecordAnswer(3000, id, "s", "v1")
	if !core.Lifted(fingerprint) || core.Verdict(3000, id) != quarantine.Clear {
		t.Errorf("after an answer: verdict %v, lifted %v; want clear, true",
			core.Verdict(3000, id), core.Lifted(fingerprint))
	}
	if _, err := core.ApplyStored(9000, fingerprint, []byte(`{"versions":["v1"]}`)); err != nil || core.Lifted(fingerprint) {
		t.Errorf("still lifted after a newer quarantine was stored, or error %v", err)
	}
	core.RecordStoreLoss(requestBy("b", "y").Request)
}
