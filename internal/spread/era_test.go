package spread_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
	"stiletrail/internal/spread"
)

// copyOfFirstEra returns a copy that is complete up to a revision of the first era. It holds one key and the tombstone of
// another.
func copyOfFirstEra(number uint64) *spread.Core {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	core.Apply(0, message.StoreRecord{Key: "k", Revision: at(number), Value: []byte("later")})
	core.Apply(0, message.StoreRecord{Key: "gone", Revision: at(number - 1), Deleted: true})
	core.Advance(0, at(number))
	return core
}

// TestLaterEraWins: records of a later era replace those of an earlier era, whatever their revision numbers.
// Records of an earlier era are then ignored.
func TestLaterEraWins(t *testing.T) {
	core := copyOfFirstEra(68)
	later := &message.StoreRecords{Complete: true, Revision: history.At(2, 65), Records: []message.StoreRecord{
		{Key: "k", Revision: history.At(2, 60), Value: []byte("earlier")}, {Key: "gone", Revision: history.At(2, 50)},
	}}
	received := core.Receive(0, "peer", later, false)
	if !received.Advanced || len(received.Records) != 2 || core.Revision() != history.At(2, 65) {
		t.Errorf("received %+v, want two records and an advance; the revision is %v, want 65 of the second era", received, core.Revision())
	}
	old := &message.StoreRecords{Since: at(60), Revision: at(99), Records: []message.StoreRecord{
		{Key: "k", Revision: at(99), Value: []byte("of before")}, {Key: "new", Revision: at(98)},
	}}
	if received := core.Receive(0, "peer", old, false); received.Advanced || len(received.Records) != 0 || core.Revision() != history.At(2, 65) {
		t.Errorf("received %+v from an earlier era, want no record and no advance; the revision is %v, want 65 of the second era", received, core.Revision())
	}
	if !core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 66), Value: []byte("newest")}) {
		t.Error("the next change of the later era is dropped")
	}
}

// TestEarlierEraIsSentAllRecords: a node that requests changes since a revision of an earlier era is sent all
// records. It deletes the keys that are not among them.
func TestEarlierEraIsSentAllRecords(t *testing.T) {
	ahead, behind := copyOfFirstEra(68), copyOfFirstEra(70)
	ahead.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 60)})
	ahead.ApplyListing(0, map[string]bool{"k": true}, history.At(2, 65))
	ahead.Advance(0, history.At(2, 65))
	behind.Apply(0, message.StoreRecord{Key: "lost", Revision: at(71)})
	sends := ahead.Receive(0, "behind", &message.StoreRequest{Revision: behind.Revision()}, true).Sends
	if len(sends) != 1 || !sends[0].Message.(*message.StoreRecords).Complete {
		t.Fatalf("the request is answered with %+v, want all records in one message", sends)
	}
	received := behind.Receive(0, "ahead", sends[0].Message, true)
	if !slices.Equal(received.Deleted, []string{"lost"}) || behind.Revision() != history.At(2, 65) {
		t.Errorf("received %+v, want key lost deleted; the revision is %v, want 65 of the second era", received, behind.Revision())
	}
	// A digest of an earlier era is answered with the node's own digest, although the earlier era's revision number
	// is greater.
	sends = ahead.Receive(0, "late", &message.StoreDigest{Revision: at(900)}, true).Sends
	if len(sends) != 1 || sends[0].Message.(*message.StoreDigest).Revision != history.At(2, 65) {
		t.Errorf("a digest of an earlier era is answered with %+v, want the node's own digest", sends)
	}
}

// TestSameValueIsNoChange: a store restored from a backup returns a known value under a revision of a later era.
// That is not reported as a change.
func TestSameValueIsNoChange(t *testing.T) {
	core := copyOfFirstEra(68)
	if core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 60), Value: []byte("later")}) {
		t.Error("a known value under a revision of a later era is reported as a change")
	}
	if !core.Apply(0, message.StoreRecord{Key: "k", Revision: history.At(2, 66), Value: []byte("later")}) {
		t.Error("a write in the same era is not reported as a change")
	}
	if !core.Apply(0, message.StoreRecord{Key: "gone", Revision: history.At(2, 60)}) {
		t.Error("the return of a deleted key is not reported as a change")
	}
}

// TestDeletionsUnreliableAfterRestore: a missing entry does not prove that its back end is leaving until the owners
// of lost entries have had RewriteWindow to write them again.
func TestDeletionsUnreliableAfterRestore(t *testing.T) {
	core := spread.New(spread.Settings{EntryLifetime: 2400, RewriteWindow: 2500, Interval: time.Second}, func(int) []string { return nil }, peerclock.New(1))
	core.Advance(0, at(68))
	core.Confirm(0, 0)
	for now := time.Duration(0); now < 5*time.Second; now += 500 * time.Millisecond {
		core.Confirm(now, now)
	}
	if !core.DeletionsReliable(5*time.Second) || core.RewriteRemaining(5*time.Second) != 0 {
		t.Fatal("deletions are not reliable before the restore, or records are reported as not yet rewritten")
	}
	core.Advance(5*time.Second, history.At(2, 65))
	core.Confirm(5*time.Second, 5*time.Second)
	if core.DeletionsReliable(5*time.Second) || core.RewriteRemaining(6*time.Second) != 1500 {
		t.Errorf("deletions are reliable right after the restore, or the remaining rewrite time is %d ms, want 1500 ms", core.RewriteRemaining(6*time.Second))
	}
	core.Confirm(7*time.Second, 7*time.Second)
	if !core.DeletionsReliable(7500 * time.Millisecond) {
		t.Error("deletions are not reliable after RewriteWindow")
	}
}

// TestRetainedConfiguration: a node at the same revision as a peer, but with an older configuration in force,
// requests the newer one. It does not request a version that it already has, and gives up after some requests for
// one that it keeps rejecting.
func TestRetainedConfiguration(t *testing.T) {
	ahead, starts := copyOfFirstEra(68), copyOfFirstEra(68)
	ahead.SetConfiguration(21)
	ahead.Retain(message.StoreRecord{Key: "configuration", Revision: at(60), Value: []byte("21")})
	starts.SetConfiguration(12)
	digest := &message.StoreDigest{Revision: at(68), Configuration: 21}
	now := time.Duration(0)
	sends := starts.Receive(now, "ahead", digest, true).Sends
	if len(sends) != 1 {
		t.Fatalf("the node sends %+v, want one request", sends)
	}
	reply := ahead.Receive(now, "starts", sends[0].Message, true).Sends
	if len(reply) != 1 {
		t.Fatalf("the request is answered with %+v, want one message", reply)
	}
	if kept := starts.Receive(now, "ahead", reply[0].Message, true).Retained; len(kept) != 1 || string(kept[0].Value) != "21" {
		t.Errorf("the retained records are %+v, want the configuration of version 21", kept)
	}
	asked := 1
	for ; now < time.Minute; now += time.Second {
		asked += len(starts.Receive(now, "ahead", digest, true).Sends)
	}
	if asked > 3 {
		t.Errorf("the node requested a version that it rejects %d times, want at most 3", asked)
	}
	if sends := ahead.Receive(now, "starts", &message.StoreDigest{Revision: at(68), Configuration: 12}, true).Sends; len(sends) != 0 {
		t.Errorf("the node sends %+v, want no request for a version that it has", sends)
	}
	ahead.StopRetaining("configuration")
	reply = ahead.Receive(now, "another", &message.StoreRequest{}, true).Sends
	if len(reply[0].Message.(*message.StoreRecords).Retained) != 0 {
		t.Error("a record is still sent as retained after StopRetaining")
	}
}
