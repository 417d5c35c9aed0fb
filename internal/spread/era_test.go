package spread_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// inEra is a core that knows all up to a revision of the first era: a key, and another one that is gone.
func inEra(number uint64) *spread.Core {
	core := spread.New(settings, func(int) []string { return nil })
	core.Apply(0, message.StoreRecord{Key: "k", Revision: at(number), Value: []byte("later")})
	core.Apply(0, message.StoreRecord{Key: "gone", Revision: at(number - 1), Deleted: true})
	core.Advance(0, at(number))
	return core
}

// TestLaterEraGoesFirst: what is said in a later era counts, whatever its number; what is said in an earlier one does not any
// more.
func TestLaterEraGoesFirst(t *testing.T) {
	core := inEra(68)
	later := &message.StoreRecords{Complete: true, Revision: history.At(2, 65), Records: []message.StoreRecord{
		{Key: "k", Revision: history.At(2, 60), Value: []byte("earlier")}, {Key: "gone", Revision: history.At(2, 50)},
	}}
	received := core.Receive(0, "peer", later, false)
	if !received.Advanced || len(received.Records) != 2 || core.Revision() != history.At(2, 65) {
		t.Errorf("received %+v, revision %v", received, core.Revision())
	}
	old := &message.StoreRecords{Since: at(60), Revision: at(99), Records: []message.StoreRecord{
		{Key: "k", Revision: at(99), Value: []byte("of before")}, {Key: "new", Revision: at(98)},
	}}
	if received := core.Receive(0, "peer", old, false); received.Advanced || len(received.Records) != 0 || core.Revision() != history.At(2, 65) {
		t.Errorf("of an earlier era: %+v, revision %v", received, core.Revision())
	}
	if !core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 66), Value: []byte("newest")}) {
		t.Error("the next change is dropped")
	}
}

// TestWholeToAnEarlierEra: who asks from a revision of an earlier era is told all that there is, and drops what is not.
func TestWholeToAnEarlierEra(t *testing.T) {
	ahead, behind := inEra(68), inEra(70)
	ahead.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 60)})
	ahead.ApplyListing(0, map[string]bool{"k": true}, history.At(2, 65))
	ahead.Advance(0, history.At(2, 65))
	behind.Apply(0, message.StoreRecord{Key: "lost", Revision: at(71)})
	sends := ahead.Receive(0, "behind", &message.StoreRequest{Revision: behind.Revision()}, true).Sends
	if len(sends) != 1 || !sends[0].Message.(*message.StoreRecords).Complete {
		t.Fatalf("answered %+v", sends)
	}
	received := behind.Receive(0, "ahead", sends[0].Message, true)
	if !slices.Equal(received.Deleted, []string{"lost"}) || behind.Revision() != history.At(2, 65) {
		t.Errorf("received %+v, revision %v", received, behind.Revision())
	}
	// Who is ahead by the era answers a digest of a greater number with its own.
	sends = ahead.Receive(0, "late", &message.StoreDigest{Revision: at(900)}, true).Sends
	if len(sends) != 1 || sends[0].Message.(*message.StoreDigest).Revision != history.At(2, 65) {
		t.Errorf("answered %+v to a digest of an earlier era", sends)
	}
}

// TestSameValueIsNoNews: what a store that is back from a copy says as it was known is not news.
func TestSameValueIsNoNews(t *testing.T) {
	core := inEra(68)
	if core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 60), Value: []byte("later")}) {
		t.Error("the same value is news")
	}
	if !core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 66), Value: []byte("later")}) {
		t.Error("a write of the same era is no news")
	}
	if !core.Apply(0, message.StoreRecord{Key: "gone", Revision: history.At(2, 60)}) {
		t.Error("a key that was gone is no news")
	}
}

// TestUnwritten: nothing that is gone counts as said by anybody until who had written it has had the time to write it again.
func TestUnwritten(t *testing.T) {
	core := spread.New(spread.Settings{EntryLifetime: 2400, RewriteWindow: 2500, Interval: time.Second}, func(int) []string { return nil })
	core.Advance(0, at(68))
	core.Confirm(0)
	for now := time.Duration(0); now < 5*time.Second; now += 500 * time.Millisecond {
		core.Confirm(now)
	}
	if !core.DeletionsReliable(5*time.Second) || core.RewriteRemaining(5*time.Second) != 0 {
		t.Fatal("not settled before")
	}
	core.Advance(5*time.Second, history.At(2, 65))
	core.Confirm(5 * time.Second)
	if core.DeletionsReliable(5*time.Second) || core.RewriteRemaining(6*time.Second) != 1500 {
		t.Errorf("settled at once, for %d ms", core.RewriteRemaining(6*time.Second))
	}
	core.Confirm(7 * time.Second)
	if !core.DeletionsReliable(7500 * time.Millisecond) {
		t.Error("not settled in the end")
	}
}

// TestKeptConfiguration: a node that has an older configuration in force at the same revision asks for the newer one, not for
// ever, and not where it has it.
func TestKeptConfiguration(t *testing.T) {
	ahead, starts := inEra(68), inEra(68)
	ahead.SetConfiguration(21)
	ahead.Retain(message.StoreRecord{Key: "configuration", Revision: at(60), Value: []byte("21")})
	starts.SetConfiguration(12)
	digest := &message.StoreDigest{Revision: at(68), Configuration: 21}
	now := time.Duration(0)
	sends := starts.Receive(now, "ahead", digest, true).Sends
	if len(sends) != 1 {
		t.Fatalf("asked %+v", sends)
	}
	reply := ahead.Receive(now, "starts", sends[0].Message, true).Sends
	if len(reply) != 1 {
		t.Fatalf("answered %+v", reply)
	}
	if kept := starts.Receive(now, "ahead", reply[0].Message, true).Retained; len(kept) != 1 || string(kept[0].Value) != "21" {
		t.Errorf("told %+v", kept)
	}
	asked := 1
	for ; now < time.Minute; now += time.Second {
		asked += len(starts.Receive(now, "ahead", digest, true).Sends)
	}
	if asked > 3 {
		t.Errorf("asked %d times for a version that it turns down", asked)
	}
	if sends := ahead.Receive(now, "starts", &message.StoreDigest{Revision: at(68), Configuration: 12}, true).Sends; len(sends) != 0 {
		t.Errorf("asks %+v for what it has", sends)
	}
	ahead.StopRetaining("configuration")
	reply = ahead.Receive(now, "another", &message.StoreRequest{}, true).Sends
	if len(reply[0].Message.(*message.StoreRecords).Retained) != 0 {
		t.Error("what the store says again is told as kept")
	}
}
