package spread_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
	"stiletrail/internal/spread"
)

// TestConfirmation: a peer's report that its copy is complete confirms this node's copy only once that has all the
// changes that the peer had. The confirmation expires with time.
func TestConfirmation(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, PeerRequestDelay: time.Second}, func(int) []string { return nil }, peerclock.New(1))
	if core.ConfirmedWithin(0, 3000) {
		t.Fatal("the copy is confirmed although neither the store nor a peer has confirmed it")
	}
	core.Advance(0, at(5))
	ahead := &message.StoreDigest{Revision: at(7), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 500}}
	core.Receive(time.Second, "peer", ahead, true)
	if core.ConfirmedWithin(time.Second, 3000) {
		t.Error("the copy is confirmed by a peer whose changes it lacks")
	}
	core.Receive(1100*time.Millisecond, "peer", &message.StoreRecords{Since: at(5), Revision: at(7)}, true)
	if !core.ConfirmedWithin(3500*time.Millisecond, 3000) || core.ConfirmedWithin(3600*time.Millisecond, 3000) {
		t.Error("the copy is not confirmed for exactly 3 s from the peer's confirmation")
	}
	core.Receive(4*time.Second, "peer", &message.StoreDigest{Revision: at(7)}, true)
	if core.ConfirmedWithin(4*time.Second, 3000) {
		t.Error("the copy is confirmed by a peer whose own copy is not")
	}
	if core.Confirm(5*time.Second, 5*time.Second); !core.ConfirmedWithin(5*time.Second, 0) {
		t.Error("the copy is not confirmed by the store's own answer")
	}
}

// TestLateReportOfPeer guards against copies that count as fresh because a peer's report was late: a report confirms a copy as
// of when the peer's copy was complete, however long it was under way, also one that came before the peer's clock was known.
func TestLateReportOfPeer(t *testing.T) {
	clocks, peer := peerclock.New(1), peerclock.New(1<<40)
	core := spread.New(spread.Settings{Interval: time.Second}, func(int) []string { return nil }, clocks)
	core.Advance(0, at(5))
	report := func(confirmedAt clock.Ms) *message.StoreDigest {
		return &message.StoreDigest{Revision: at(5), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 10, At: peer.Reading(confirmedAt)}}
	}
	received := core.Receive(4*time.Second, "peer", report(1000), true)
	if len(received.Sends) != 1 || core.ConfirmedWithin(4*time.Second, 60_000) {
		t.Fatalf("the node sends %+v and takes its copy for confirmed: %v, want one request and no confirmation", received.Sends, core.ConfirmedWithin(4*time.Second, 60_000))
	}
	request, ok := received.Sends[0].Message.(*message.ClockRequest)
	if !ok {
		t.Fatalf("the node sends %+v, want a request for the peer's clock", received.Sends[0])
	}
	clocks.Receive(8000, "peer", peer.Answer(4010, request))
	core.ClockMeasured(8*time.Second, "peer")
	expectAge(t, core, 8000, 1000)
	core.Receive(12*time.Second, "peer", report(7000), true)
	expectAge(t, core, 12000, 7000)
}

// expectAge checks that a copy counts as complete as of a moment, or of up to 20 ms before.
func expectAge(t *testing.T, core *spread.Core, now, completeAt clock.Ms) {
	t.Helper()
	least := now - completeAt
	if age, known := core.CopyAge(now.Duration()); !known || age < least || age > least+20 {
		t.Errorf("at %d ms the copy is %d ms old (known: %v), want %d to %d", now, age, known, least, least+20)
	}
}

// TestDeletionsReliable: a missing entry proves that its back end is leaving, except for some time after all nodes
// may have been unable to reach the store for so long that entries expired.
func TestDeletionsReliable(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, EntryLifetime: 2400, RewriteWindow: 2500}, func(int) []string { return nil }, peerclock.New(1))
	core.Advance(0, at(5))
	check := func(ms int, want bool) {
		t.Helper()
		if got := core.DeletionsReliable(time.Duration(ms) * time.Millisecond); got != want {
			t.Errorf("deletions are reliable: %v after %d ms, want the opposite", got, ms)
		}
	}
	confirm := func(ms int) { core.Confirm(time.Duration(ms)*time.Millisecond, time.Duration(ms)*time.Millisecond) }
	confirmByPeer := func(ms int) {
		m := &message.StoreDigest{Revision: at(5), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 100}}
		core.Receive(time.Duration(ms)*time.Millisecond, "peer", m, false)
	}
	check(0, false)
	confirm(0)
	check(1000, false)
	confirm(2000)
	check(2499, false)
	check(2500, true)
	// The copy is unconfirmed for less time than it takes an entry to expire. Then a peer confirms it, and later
	// the store.
	confirmByPeer(4400)
	check(4400, true)
	confirm(6600)
	check(6600, true)
	// Now the copy is unconfirmed for longer than it takes an entry to expire.
	check(8999, true)
	check(9000, false)
	confirmByPeer(9200)
	check(9200, false)
	confirm(11000)
	check(11699, false)
	check(11700, true)
}

// TestMissingChangesAreRequested: changes that start after a revision which the node has not reached do not advance
// its copy. The node requests the missing changes from the sender.
func TestMissingChangesAreRequested(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, PeerRequestDelay: time.Second}, func(int) []string { return nil }, peerclock.New(1))
	core.Advance(0, at(3))
	received := core.Receive(0, "peer", &message.StoreRecords{
		Since: at(5), Revision: at(6), Records: []message.StoreRecord{{Key: "k", Revision: at(6)}},
	}, true)
	if received.Advanced || core.Revision() != at(3) || len(received.Records) != 1 {
		t.Errorf("received %+v, want one record and no advance; the revision is %v, want 3", received, core.Revision())
	}
	if len(received.Sends) != 1 {
		t.Fatalf("the node sends %+v, want one request", received.Sends)
	}
	if m, ok := received.Sends[0].Message.(*message.StoreRequest); !ok || m.Revision != at(3) || received.Sends[0].To != "peer" {
		t.Errorf("the node sends %+v, want a request for the changes after revision 3 to the sender", received.Sends[0])
	}
}

// TestWatchers: as many nodes watch as are wanted, or all if there are few. The order of the addresses does not
// matter, and the loss of one node replaces at most one watcher.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{6}"), 1, 30, rapid.ID[string]).Draw(rt, "nodes")
		watchers := spread.Watchers(nodes, 3)
		if want := 3; len(nodes) > 6 && len(watchers) != want || len(nodes) <= 6 && len(watchers) != len(nodes) {
			rt.Fatalf("%d of %d nodes watch, want 3, or all of up to 6", len(watchers), len(nodes))
		}
		turned := slices.Clone(nodes)
		slices.Reverse(turned)
		if !slices.Equal(watchers, spread.Watchers(turned, 3)) {
			rt.Fatal("the watchers depend on the order of the addresses")
		}
		if len(nodes) <= 7 {
			return
		}
		lost := 0
		fewer := spread.Watchers(nodes[1:], 3)
		for _, w := range watchers {
			if !slices.Contains(fewer, w) {
				lost++
			}
		}
		if lost > 1 {
			rt.Fatalf("%d watchers changed with the loss of one node, want at most 1", lost)
		}
	})
}
