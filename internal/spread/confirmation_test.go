package spread_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/message"
	"stiletrail/internal/spread"
)

// TestConfirmation: what a peer says of its copy tells of the own one only once that has all that the peer's had, and ages.
func TestConfirmation(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, PeerRequestDelay: time.Second}, func(int) []string { return nil })
	if core.ConfirmedWithin(0, 3000) {
		t.Fatal("fresh without a word")
	}
	core.Advance(0, at(5))
	ahead := &message.StoreDigest{Revision: at(7), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 500}}
	core.Receive(time.Second, "peer", ahead, true)
	if core.ConfirmedWithin(time.Second, 3000) {
		t.Error("fresh by the word of a peer that knows more")
	}
	core.Receive(1100*time.Millisecond, "peer", &message.StoreRecords{Since: at(5), Revision: at(7)}, true)
	if !core.ConfirmedWithin(3500*time.Millisecond, 3000) || core.ConfirmedWithin(3600*time.Millisecond, 3000) {
		t.Error("fresh for another time than since the peer's confirmation")
	}
	core.Receive(4*time.Second, "peer", &message.StoreDigest{Revision: at(7)}, true)
	if core.ConfirmedWithin(4*time.Second, 3000) {
		t.Error("fresh by the word of a peer that knows nothing of the store")
	}
	if core.Confirm(5 * time.Second); !core.ConfirmedWithin(5*time.Second, 0) {
		t.Error("not fresh by the store's own word")
	}
}

// TestSettled: what goes proves that a back end leaves, but for some time after the store may have been away from all nodes for
// so long that entries lapse.
func TestSettled(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, EntryLifetime: 2400, RewriteWindow: 2500}, func(int) []string { return nil })
	core.Advance(0, at(5))
	check := func(ms int, want bool) {
		t.Helper()
		if got := core.DeletionsReliable(time.Duration(ms) * time.Millisecond); got != want {
			t.Errorf("settled %v after %d ms", got, ms)
		}
	}
	confirm := func(ms int) { core.Confirm(time.Duration(ms) * time.Millisecond) }
	byPeer := func(ms int) {
		m := &message.StoreDigest{Revision: at(5), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 100}}
		core.Receive(time.Duration(ms)*time.Millisecond, "peer", m, false)
	}
	check(0, false)
	confirm(0)
	check(1000, false)
	confirm(2000)
	check(2499, false)
	check(2500, true)
	// Nobody confirms for less time than an entry takes to lapse; a peer does then, later the store.
	byPeer(4400)
	check(4400, true)
	confirm(6600)
	check(6600, true)
	// Now for longer.
	check(8999, true)
	check(9000, false)
	byPeer(9200)
	check(9200, false)
	confirm(11000)
	check(11699, false)
	check(11700, true)
}

// TestGapIsAskedFor: changes after a revision that is not known do not bring the copy up to theirs; the sender is asked for the
// rest.
func TestGapIsAskedFor(t *testing.T) {
	core := spread.New(spread.Settings{Interval: time.Second, PeerRequestDelay: time.Second}, func(int) []string { return nil })
	core.Advance(0, at(3))
	received := core.Receive(0, "peer", &message.StoreRecords{
		Since: at(5), Revision: at(6), Records: []message.StoreRecord{{Key: "k", Revision: at(6)}},
	}, true)
	if received.Advanced || core.Revision() != at(3) || len(received.Records) != 1 {
		t.Errorf("received %+v, revision %v", received, core.Revision())
	}
	if len(received.Sends) != 1 {
		t.Fatalf("sends %+v", received.Sends)
	}
	if m, ok := received.Sends[0].Message.(*message.StoreRequest); !ok || m.Revision != at(3) || received.Sends[0].To != "peer" {
		t.Errorf("asks %+v", received.Sends[0])
	}
}

// TestWatchers: as many as are wanted, all where there are few nodes, the same for every order; one node less changes one
// watcher at most.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{6}"), 1, 30, rapid.ID[string]).Draw(rt, "nodes")
		watchers := spread.Watchers(nodes, 3)
		if want := 3; len(nodes) > 6 && len(watchers) != want || len(nodes) <= 6 && len(watchers) != len(nodes) {
			rt.Fatalf("%d of %d watch", len(watchers), len(nodes))
		}
		turned := slices.Clone(nodes)
		slices.Reverse(turned)
		if !slices.Equal(watchers, spread.Watchers(turned, 3)) {
			rt.Fatal("another order, other watchers")
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
			rt.Fatalf("%d watchers changed with one node", lost)
		}
	})
}
