package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
	"stiletrail/internal/spread"
)

// TestLateRecordOfDeletedKey guards against a deleted key that comes back: a record arrives that was written after the
// node's tombstone of its key, but before a listing that no longer holds the key.
func TestLateRecordOfDeletedKey(t *testing.T) {
	for name, c := range map[string]struct {
		listing history.Revision
		late    message.Message
	}{
		"answer of the era before a restore": {history.At(2, 10), &message.StoreRecords{
			Since: at(13), Revision: at(14), Records: []message.StoreRecord{{Key: "gone", Revision: at(14), Value: []byte("undone")}},
		}},
		"whole copy of the era before a restore": {history.At(2, 10), &message.StoreRecords{
			Complete: true, Revision: at(14), Records: []message.StoreRecord{{Key: "gone", Revision: at(14), Value: []byte("undone")}},
		}},
		"announcement of a change that was undone in the same era": {at(20), &message.StoreRecords{
			Since: at(13), Revision: at(14), Records: []message.StoreRecord{{Key: "gone", Revision: at(14), Value: []byte("deleted at 17")}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
			core.Apply(0, message.StoreRecord{Key: "gone", Revision: at(9), Deleted: true})
			core.Advance(0, at(9))
			core.ApplyListing(0, map[string]bool{}, c.listing)
			core.Advance(0, c.listing)
			received := core.Receive(0, "peer", c.late, true)
			if record, _ := core.Record("gone"); len(received.Records) > 0 || !record.Deleted {
				t.Errorf("received %+v, the key's record is %+v; want no record and a tombstone", received, record)
			}
			if core.Revision() != c.listing {
				t.Errorf("the copy is at %v, want the revision of the listing, %v", core.Revision(), c.listing)
			}
		})
	}
}

// TestListingMovesTombstones checks that a tombstone of a key that is not listed moves to the listing's revision. It is
// not reported as deleted again, nor kept for longer, and a tombstone later than the listing stays as it is.
func TestListingMovesTombstones(t *testing.T) {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	core.Apply(0, message.StoreRecord{Key: "before", Revision: at(3), Deleted: true})
	core.Apply(0, message.StoreRecord{Key: "after", Revision: at(12), Deleted: true})
	deleted := core.ApplyListing(10*time.Second, map[string]bool{}, at(10))
	core.Advance(10*time.Second, at(12))
	before, _ := core.Record("before")
	after, _ := core.Record("after")
	if len(deleted) > 0 || before.Revision != at(10) || after.Revision != at(12) || !before.Deleted || !after.Deleted {
		t.Errorf("deleted %q, tombstones %+v and %+v; want none deleted, and revisions 10 and 12", deleted, before, after)
	}
	core.Tick(settings.TombstoneRetention, true, false)
	if records := core.Records(); len(records) > 0 {
		t.Errorf("%+v are kept for longer than TombstoneRetention after the deletion", records)
	}
}

// TestListedKeyReplacesTombstone checks that a listing corrects a copy that wrongly took a key for deleted.
func TestListedKeyReplacesTombstone(t *testing.T) {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	core.Apply(0, message.StoreRecord{Key: "k", Revision: at(3), Deleted: true})
	core.Advance(0, at(9))
	core.Apply(0, message.StoreRecord{Key: "k", Revision: at(5), Value: []byte("present")})
	core.ApplyListing(0, map[string]bool{"k": true}, at(9))
	if record, _ := core.Record("k"); record.Deleted || record.Revision != at(5) {
		t.Errorf("the key's record is %+v after a listing that holds it at revision 5", record)
	}
}

// TestIncrementalAnswerAcrossEras guards against a copy that claims an era without its listing: changes since a revision
// of an earlier era do not say which keys the restored store has lost.
func TestIncrementalAnswerAcrossEras(t *testing.T) {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	core.Apply(0, message.StoreRecord{Key: "lost", Revision: at(12)})
	core.Advance(0, at(13))
	m := &message.StoreRecords{Since: at(13), Revision: history.At(2, 10), Records: []message.StoreRecord{{Key: "k", Revision: at(14)}}}
	received := core.Receive(0, "peer", m, true)
	if received.Advanced || core.Revision() != at(13) {
		t.Errorf("the copy is at %v, want it to stay at 13 of the first era", core.Revision())
	}
	if len(received.Sends) != 1 || received.Sends[0].To != "peer" {
		t.Errorf("the node sends %+v, want one request to the peer", received.Sends)
	}
}

// TestConvergeWithDelayedMessages: messages to some nodes are held back while the store changes, is restored from a
// backup and is listed anew, and arrive afterwards. No record goes back to an older revision, and once the faults end
// all nodes hold what the store holds.
func TestConvergeWithDelayedMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		w := newWorld(rapid.IntRange(2, 5).Draw(rt, "nodes"), random)
		stored := map[string]map[string]history.Revision{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			n := w.nodes[random.IntN(len(w.nodes))]
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2, 3:
				w.change(fmt.Sprint(random.IntN(4)), random.IntN(2) == 0)
			case 4:
				n.storeReachable = !n.storeReachable
			case 5, 6:
				n.delayed = true
			case 7, 8:
				n.release()
			case 9:
				n.delayed = true
				w.restore()
			}
			w.step(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pass")) * time.Millisecond)
			for _, n := range w.nodes {
				checkRevisionsNeverDecrease(rt, stored, n)
			}
		}
		for i, n := range w.nodes {
			n.release()
			n.storeReachable = i == 0
		}
		for range 60 {
			w.step(500 * time.Millisecond)
		}
		for _, n := range w.nodes {
			checkSameAsStore(rt, w, n)
		}
	})
}

// release lets a node receive the messages that were held back, before any newer ones.
func (n *node) release() {
	n.inbox = append(n.heldBack, n.inbox...)
	n.delayed, n.heldBack = false, nil
}
