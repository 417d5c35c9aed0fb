package gossip

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// fixedPeers is a PeerPicker that always picks the first of its addresses, whatever match returns for them.
type fixedPeers []string

func (p fixedPeers) Pick(count int, _ func(membership.Member) bool) []string {
	return p[:min(count, len(p))]
}
func (p fixedPeers) Self() membership.Member {
	return membership.Member{Address: "self", Zone: "zone-a"}
}

func newCore(peers ...string) *Core {
	return New(catalog.New(), fixedPeers(peers), DefaultSettings(), func(catalog.Document) {})
}

func document(service string, version uint64, backEnds int) catalog.Document {
	d := catalog.Document{Service: service, Version: version, Operations: []string{"op"}}
	for i := range backEnds {
		d.Specification.BackEnds = append(d.Specification.BackEnds, catalog.BackEnd{Address: string(rune('a' + i)), Slots: int(version)})
	}
	return d
}

// TestFreshNodeNeedsSeveralPeers checks that a new node becomes ready only when three different ready peers have an
// equal catalog. A repeated answer, a peer with another catalog and a peer that is not ready do not count: a node
// that is ready too early serves requests with an outdated configuration.
func TestFreshNodeNeedsSeveralPeers(t *testing.T) {
	core := newCore("a", "b", "c", "d")
	hash := core.catalog.Hash()
	steps := []struct {
		from  string
		hash  uint64
		ready bool
		want  bool
	}{
		{"a", hash, true, false},
		{"a", hash, true, false},
		{"b", hash + 1, true, false},
		{"c", hash, false, false},
		{"d", hash, true, false},
		{"c", hash, true, true},
	}
	for i, step := range steps {
		core.Receive(0, step.from, &message.CatalogSummary{Hash: step.hash, Ready: step.ready, AgeMilliseconds: -1})
		if core.Ready() != step.want {
			t.Errorf("step %d: ready %t, want the opposite", i, core.Ready())
		}
	}
}

// TestConfigurationAge checks that the age of the catalog is unknown at first, is taken over from a peer with an equal
// catalog, grows with time, and is not taken over from a peer with another catalog.
func TestConfigurationAge(t *testing.T) {
	core := newCore("a")
	if _, known := core.ConfigurationAge(time.Second); known {
		t.Error("the age is known before a peer with an equal catalog reported one")
	}
	core.Receive(time.Minute, "a", &message.CatalogSummary{Hash: core.catalog.Hash(), AgeMilliseconds: 5000})
	if age, known := core.ConfigurationAge(2 * time.Minute); !known || age != time.Minute+5*time.Second {
		t.Errorf("age %s, known %t, want an age of 1m5s", age, known)
	}
	core.Receive(2*time.Minute, "a", &message.CatalogSummary{Hash: core.catalog.Hash() + 1, AgeMilliseconds: 0})
	if age, _ := core.ConfigurationAge(2 * time.Minute); age != time.Minute+5*time.Second {
		t.Errorf("a peer with another catalog changed the age to %s, want 1m5s", age)
	}
}

// TestLateAnswerConfirmsAsOfQuestion guards against a catalog that is told to callers as more recent than it is: the answer of a
// peer counted from its arrival. It counts from when it was asked for, and what a peer says unasked does not count.
func TestLateAnswerConfirmsAsOfQuestion(t *testing.T) {
	core, peer := newCore("a"), newCore("self")
	peer.RecordStoreRead(3 * time.Second)
	unasked := peer.Compare(4*time.Second, "self").Message
	core.Receive(9*time.Second, "a", unasked)
	if age, known := core.ConfigurationAge(9 * time.Second); known {
		t.Errorf("the age is %v by what a peer says unasked, want none", age)
	}
	question := core.Compare(5*time.Second, "a").Message
	answers := peer.Receive(5*time.Second, "self", question)
	core.Receive(9*time.Second, "a", answers[0].Message)
	if age, known := core.ConfigurationAge(9 * time.Second); !known || age != 6*time.Second {
		t.Errorf("the age is %v (known: %v) after an answer that took 4 s and says 2 s, want 6 s", age, known)
	}
}

// TestComparisonMakesCatalogsEqual checks that after one comparison both nodes have the higher version of each service,
// whichever documents they had before.
func TestComparisonMakesCatalogsEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cores := map[string]*Core{"a": newCore("b"), "b": newCore("a")}
		want := map[string]uint64{}
		for _, name := range []string{"a", "b"} {
			for range rapid.IntRange(0, 30).Draw(rt, "documents") {
				service := "s" + rapid.StringMatching("[a-h]").Draw(rt, "service")
				version := rapid.Uint64Range(1, 5).Draw(rt, "version")
				cores[name].catalog.Merge(document(service, version, 3))
				want[service] = max(want[service], version)
			}
		}
		queue := []membership.OutgoingMessage{cores["a"].Compare(0, "b")}
		from := []string{"a"}
		for steps := 0; len(queue) > 0; steps++ {
			if steps > 100 {
				rt.Fatal("the nodes still exchange messages after 100 steps")
			}
			next, sender := queue[0], from[0]
			queue, from = queue[1:], from[1:]
			for _, reply := range cores[next.To].Receive(0, sender, next.Message) {
				queue = append(queue, reply)
				from = append(from, next.To)
			}
		}
		for service, version := range want {
			if cores["a"].catalog.Version(service) != version || cores["b"].catalog.Version(service) != version {
				rt.Errorf("service %s: versions %d and %d, want %d", service, cores["a"].catalog.Version(service), cores["b"].catalog.Version(service), version)
			}
		}
		if cores["a"].catalog.Hash() != cores["b"].catalog.Hash() {
			rt.Error("the hashes of the two catalogs differ after the comparison")
		}
	})
}

// TestUnknownDeltaBaseFetchesDocument checks that a node which receives a delta from a version that it does not have
// requests the whole document and puts it into force.
func TestUnknownDeltaBaseFetchesDocument(t *testing.T) {
	sender, receiver := newCore("r"), newCore("s")
	for version := uint64(1); version <= 3; version++ {
		sender.catalog.Merge(document("lookup", version, 4))
	}
	receiver.catalog.Merge(document("lookup", 1, 4))
	replies := receiver.Receive(0, "s", sender.Rumor("lookup"))
	if len(replies) != 1 || receiver.catalog.Version("lookup") != 1 {
		t.Fatalf("replies %v, version %d, want one reply and still version 1", replies, receiver.catalog.Version("lookup"))
	}
	for _, sent := range sender.Receive(0, "r", replies[0].Message) {
		receiver.Receive(0, "s", sent.Message)
	}
	if receiver.catalog.Version("lookup") != 3 {
		t.Errorf("version %d after the whole document was sent, want 3", receiver.catalog.Version("lookup"))
	}
}
