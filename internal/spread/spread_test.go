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

// at returns a revision of the first era.
func at(number uint64) history.Revision { return history.At(1, number) }

var settings = spread.Settings{Interval: time.Second, Fanout: 2, PeerRequestDelay: time.Second, AnswerTimeout: time.Second, TombstoneRetention: 20 * time.Second}

// world is a set of nodes, the store that they read, and the messages between them.
type world struct {
	now     time.Duration
	records map[string]message.StoreRecord
	history []message.StoreRecord
	// era is the store's era. It starts at 1 and rises with each restore from a backup.
	era    uint64
	nodes  []*node
	random *rand.Rand
}

// node is a node with its copy of the store. storeReachable says whether it reads the store itself. While delayed is set,
// the messages to it are held back and not received.
type node struct {
	name           string
	core           *spread.Core
	storeReachable bool
	inbox          []envelope
	delayed        bool
	heldBack       []envelope
}

type envelope struct {
	from    string
	message message.Message
}

func newWorld(count int, random *rand.Rand) *world {
	w := &world{records: map[string]message.StoreRecord{}, random: random, era: 1}
	for i := range count {
		n := &node{name: fmt.Sprint(i), storeReachable: true}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

func (w *world) restart(n *node) {
	n.inbox = nil
	n.core = spread.New(settings, func(count int) []string {
		var peers []string
		for _, number := range w.random.Perm(len(w.nodes)) {
			if other := w.nodes[number]; other != n && len(peers) < count {
				peers = append(peers, other.name)
			}
		}
		return peers
	}, peerclock.New(1))
}

func (w *world) deliver(from *node, sends []spread.OutgoingMessage) {
	for _, send := range sends {
		for _, to := range w.nodes {
			if to.name == send.To {
				to.inbox = append(to.inbox, envelope{from.name, send.Message})
			}
		}
	}
}

// change writes a key to the store or deletes it.
func (w *world) change(key string, deleted bool) {
	record := message.StoreRecord{Key: key, Revision: history.At(w.era, uint64(len(w.history)+1)), Deleted: deleted, Value: []byte(fmt.Sprint(len(w.history)))}
	if deleted {
		record.Value = nil
	}
	w.records[key] = record
	w.history = append(w.history, record)
}

// restore restores the store from a backup that lacks its latest changes.
func (w *world) restore() {
	w.era++
	w.history = w.history[:w.random.IntN(len(w.history)+1)]
	w.records = map[string]message.StoreRecord{}
	for i := range w.history {
		w.history[i].Revision.Era = w.era
		w.records[w.history[i].Key] = w.history[i]
	}
}

// list makes a node read a complete listing of the store.
func (w *world) list(n *node) {
	listed := map[string]bool{}
	for key, record := range w.records {
		if !record.Deleted {
			listed[key] = true
			n.core.Apply(w.now, record)
		}
	}
	revision := history.At(w.era, uint64(len(w.history)))
	n.core.ApplyListing(w.now, listed, revision)
	w.deliver(n, n.core.Advance(w.now, revision))
}

// read makes a node read all changes in the store that it does not know.
func (w *world) read(n *node) {
	if known := n.core.Revision(); !known.Unknown() && known.Era != w.era {
		w.list(n)
		return
	}
	for _, record := range w.history[min(int(n.core.Revision().Number), len(w.history)):] {
		n.core.Apply(w.now, record)
	}
	w.deliver(n, n.core.Advance(w.now, history.At(w.era, uint64(len(w.history)))))
}

// step advances time. Nodes that reach the store read it. Then each node handles its messages and ticks.
func (w *world) step(length time.Duration) {
	w.now += length
	for _, n := range w.nodes {
		if n.storeReachable {
			w.read(n)
		}
		inbox := n.inbox
		n.inbox = nil
		if n.delayed {
			n.heldBack = append(n.heldBack, inbox...)
			inbox = nil
		}
		for _, envelope := range inbox {
			w.deliver(n, n.core.Receive(w.now, envelope.from, envelope.message, n.storeReachable).Sends)
		}
		w.deliver(n, n.core.Tick(w.now, n.storeReachable, false))
	}
}

// TestNodesWithoutTheStoreLearnChanges: if only one node reaches the store, all others know each change within 3 s.
func TestNodesWithoutTheStoreLearnChanges(t *testing.T) {
	w := newWorld(9, rand.New(rand.NewPCG(1, 1)))
	for _, n := range w.nodes[1:] {
		n.storeReachable = false
	}
	for i := range 20 {
		w.change(fmt.Sprint("key", i%7), i%5 == 4)
		for range 15 {
			w.step(200 * time.Millisecond)
		}
		for _, n := range w.nodes {
			if n.core.Revision() != at(uint64(i+1)) {
				t.Fatalf("node %s is at revision %d three seconds after the change with revision %d", n.name, n.core.Revision(), i+1)
			}
		}
	}
}

// TestNodeWaitsForItsOwnWatch: a node that reaches the store requests changes from a peer only after
// PeerRequestDelay, since its own watch usually brings them.
func TestNodeWaitsForItsOwnWatch(t *testing.T) {
	core := spread.New(settings, func(int) []string { return []string{"peer"} }, peerclock.New(1))
	core.Apply(0, message.StoreRecord{Key: "k", Revision: at(1)})
	core.Advance(0, at(1))
	if received := core.Receive(0, "peer", &message.StoreDigest{Revision: at(5)}, true); len(received.Sends) != 0 {
		t.Errorf("the node requested the changes at once: %+v", received.Sends)
	}
	if sends := requests(core.Tick(900*time.Millisecond, true, false)); sends != 0 {
		t.Error("the node requested the changes before PeerRequestDelay had passed")
	}
	if sends := requests(core.Tick(time.Second, true, false)); sends != 1 {
		t.Error("the node did not request the changes exactly once after PeerRequestDelay")
	}
	core.Receive(2*time.Second, "peer", &message.StoreDigest{Revision: at(5)}, true)
	core.Advance(0, at(5))
	if sends := requests(core.Tick(4*time.Second, true, false)); sends != 0 {
		t.Error("the node requested changes that its own watch had brought")
	}
}

// TestOlderRecordsAreDropped: an older record of a key never replaces a newer one, whether it comes from the store
// or from a peer, and in whatever order.
func TestOlderRecordsAreDropped(t *testing.T) {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	if !core.Apply(0, message.StoreRecord{Key: "k", Revision: at(5)}) {
		t.Error("the first record of a key is not taken")
	}
	for _, revision := range []uint64{3, 5} {
		if core.Apply(0, message.StoreRecord{Key: "k", Revision: at(revision), Deleted: revision == 3}) {
			t.Errorf("revision %d replaces revision 5", revision)
		}
	}
	core.Receive(0, "peer", &message.StoreRecords{Complete: true, Revision: at(4), Records: []message.StoreRecord{{Key: "k", Revision: at(4)}}}, true)
	if records := core.Records(); len(records) != 1 || records[0].Revision != at(5) {
		t.Errorf("the records are %+v, want one at revision 5", records)
	}
}

// TestAnswerToAnEarlierProcess: a peer answers a request that an earlier process at this address made. The changes
// after a revision that this process never reached are not taken for a complete copy.
func TestAnswerToAnEarlierProcess(t *testing.T) {
	core := spread.New(settings, func(int) []string { return nil }, peerclock.New(1))
	late := &message.StoreRecords{Since: at(10), Revision: at(17), Records: []message.StoreRecord{{Key: "k", Revision: at(12)}}}
	if received := core.Receive(0, "peer", late, false); received.Advanced || !core.Revision().Unknown() {
		t.Errorf("the answer is taken for all changes up to %v, want an unknown revision", core.Revision())
	}
}

// TestPeerRequestDelayRestarts: a node whose own watch advances step by step does not request changes from peers as
// if its watch had missed them.
func TestPeerRequestDelayRestarts(t *testing.T) {
	core := spread.New(settings, func(int) []string { return []string{"peer"} }, peerclock.New(1))
	core.Advance(0, at(1))
	core.Receive(0, "peer", &message.StoreDigest{Revision: at(5)}, true)
	core.Advance(0, at(3))
	core.Receive(900*time.Millisecond, "peer", &message.StoreDigest{Revision: at(7)}, true)
	if sends := requests(core.Tick(1100*time.Millisecond, true, false)); sends != 0 {
		t.Error("the node requested changes 0.2 s after the peer was found ahead of the latest advance")
	}
	if sends := requests(core.Tick(2*time.Second, true, false)); sends != 1 {
		t.Error("the node did not request the changes exactly once after PeerRequestDelay")
	}
}

// TestOneRequestAtATime: copies are large, so a node that waits for one does not request another. It requests one
// from another peer if no answer comes.
func TestOneRequestAtATime(t *testing.T) {
	core := spread.New(settings, func(int) []string { return []string{"peer"} }, peerclock.New(1))
	asked := 0
	for i := range 10 {
		now := time.Duration(i) * 100 * time.Millisecond
		asked += requests(core.Receive(now, fmt.Sprint("peer-", i), &message.StoreDigest{Revision: at(5)}, false).Sends)
	}
	if asked != 1 {
		t.Errorf("the node made %d requests within one second, want 1", asked)
	}
	asked += requests(core.Receive(time.Second, "another", &message.StoreDigest{Revision: at(5)}, false).Sends)
	if asked += requests(core.Tick(1100*time.Millisecond, false, false)); asked != 2 {
		t.Error("the node did not request from another peer when no answer came")
	}
}

func requests(sends []spread.OutgoingMessage) int {
	count := 0
	for _, send := range sends {
		if _, ok := send.Message.(*message.StoreRequest); ok {
			count++
		}
	}
	return count
}

// TestConverge: changes, outages, restarts, restores of the store from a backup, and lost, repeated or reordered
// messages happen at random. No record goes back to an older revision, and once the faults end all nodes hold what
// the store holds.
func TestConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		w := newWorld(rapid.IntRange(2, 5).Draw(rt, "nodes"), random)
		stored := map[string]map[string]history.Revision{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := w.nodes[random.IntN(len(w.nodes))]
			switch rapid.IntRange(0, 10).Draw(rt, "what") {
			case 0, 1, 2:
				w.change(fmt.Sprint(random.IntN(6)), random.IntN(3) == 0)
			case 3:
				n.storeReachable = !n.storeReachable
			case 4:
				w.restart(n)
				stored[n.name] = nil
			case 5:
				n.inbox = nil
			case 6:
				n.inbox = append(n.inbox, n.inbox...)
			case 7:
				random.Shuffle(len(n.inbox), func(i, j int) { n.inbox[i], n.inbox[j] = n.inbox[j], n.inbox[i] })
			case 10:
				w.restore()
			}
			w.step(time.Duration(rapid.IntRange(50, 8000).Draw(rt, "pass")) * time.Millisecond)
			for _, n := range w.nodes {
				checkRevisionsNeverDecrease(rt, stored, n)
			}
		}
		w.nodes[0].storeReachable = true
		for _, n := range w.nodes[1:] {
			n.storeReachable = false
		}
		for range 60 {
			w.step(500 * time.Millisecond)
		}
		for _, n := range w.nodes {
			checkSameAsStore(rt, w, n)
		}
	})
}

// checkRevisionsNeverDecrease checks that no key goes back to an older revision while a node's process runs.
func checkRevisionsNeverDecrease(rt *rapid.T, stored map[string]map[string]history.Revision, n *node) {
	if stored[n.name] == nil {
		stored[n.name] = map[string]history.Revision{}
	}
	for _, record := range n.core.Records() {
		if record.Revision.Before(stored[n.name][record.Key]) {
			rt.Fatalf("node %s: key %s went back from %v to %v", n.name, record.Key, stored[n.name][record.Key], record.Revision)
		}
		stored[n.name][record.Key] = record.Revision
	}
}

func checkSameAsStore(rt *rapid.T, w *world, n *node) {
	if len(w.history) == 0 {
		return
	}
	held := map[string]message.StoreRecord{}
	for _, record := range n.core.Records() {
		if !record.Deleted {
			held[record.Key] = record
		}
	}
	for key, record := range w.records {
		if known, found := held[key]; found == record.Deleted || (found && known.Revision != record.Revision) {
			rt.Fatalf("node %s holds %+v of key %s, the store holds %+v", n.name, known, key, record)
		}
	}
}
