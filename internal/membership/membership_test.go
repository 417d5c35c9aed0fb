package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/message"
)

func newCore(address string, seeds ...string) *Core {
	self := Member{Address: address, Zone: "zone-a", Region: "north", Generation: 1, Incarnation: 1}
	return New(0, self, seeds, DefaultSettings(), rand.New(rand.NewPCG(1, uint64(len(address)))))
}

// TestMemberRefutesUpdatesAboutItself: a member that receives an update saying that it is suspected, dead or
// another process raises its incarnation above that of the update.
func TestMemberRefutesUpdatesAboutItself(t *testing.T) {
	cases := []struct {
		name       string
		update     message.MemberUpdate
		want       uint64
		generation uint64
	}{
		{"suspected", message.MemberUpdate{Address: "self", Generation: 1, Incarnation: 1, State: uint8(Suspect)}, 2, 1},
		{"dead", message.MemberUpdate{Address: "self", Generation: 1, Incarnation: 4, State: uint8(Dead)}, 5, 1},
		{"another process at the address", message.MemberUpdate{Address: "self", Generation: 9, Incarnation: 7, State: uint8(Alive)}, 8, 1},
		{"update with an older incarnation", message.MemberUpdate{Address: "self", Generation: 1, Incarnation: 0, State: uint8(Dead)}, 1, 1},
		{"update that agrees", message.MemberUpdate{Address: "self", Generation: 1, Incarnation: 1, State: uint8(Alive)}, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := newCore("self")
			core.Receive(0, "peer", &message.ProbeAck{Updates: []message.MemberUpdate{c.update}})
			if self := core.Self(); self.Incarnation != c.want || self.State != Alive || self.Generation != c.generation {
				t.Errorf("after the update the member itself is %+v", self)
			}
		})
	}
}

// TestLeavingMemberDoesNotRefute: a leaving member keeps announcing the state Leaving when it is suspected.
func TestLeavingMemberDoesNotRefute(t *testing.T) {
	core := newCore("self")
	core.Leave()
	core.Receive(0, "peer", &message.ProbeAck{Updates: []message.MemberUpdate{{Address: "self", Generation: 1, Incarnation: 9, State: uint8(Suspect)}}})
	if self := core.Self(); self.State != Leaving || self.Incarnation != 10 {
		t.Errorf("the member itself is %+v, want Leaving at incarnation 10", self)
	}
}

// TestOrderOfUpdatesDoesNotMatter: two views that receive the same updates in different orders end up equal.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var updates []message.MemberUpdate
		for range rapid.IntRange(1, 20).Draw(rt, "count") {
			updates = append(updates, message.MemberUpdate{
				Address: fmt.Sprint("m", rapid.IntRange(1, 3).Draw(rt, "member")), Incarnation: rapid.Uint64Range(1, 4).Draw(rt, "incarnation"),
				State: rapid.Uint8Range(uint8(Alive), uint8(Dead)).Draw(rt, "state"),
			})
		}
		first, second := newCore("self"), newCore("self")
		for _, update := range updates {
			first.Receive(0, "peer", &message.ProbeAck{Updates: []message.MemberUpdate{update}})
		}
		for _, update := range rapid.Permutation(updates).Draw(rt, "order") {
			second.Receive(0, "peer", &message.ProbeAck{Updates: []message.MemberUpdate{update}})
		}
		if a, b := fmt.Sprint(first.Members()), fmt.Sprint(second.Members()); a != b {
			rt.Errorf("the views are %s and %s, want equal views", a, b)
		}
	})
}

// TestUnresponsiveMemberIsSuspectedThenDead: a member that answers no probe is first suspected and then declared
// dead. A member that answers stays alive.
func TestUnresponsiveMemberIsSuspectedThenDead(t *testing.T) {
	core := newCore("self")
	for _, address := range []string{"silent", "alive"} {
		core.Receive(0, address, &message.MemberSync{Updates: []message.MemberUpdate{{Address: address, Zone: "zone-a", Generation: 2, Incarnation: 1, State: uint8(Alive)}}})
	}
	seen := map[State]bool{}
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		for _, send := range core.Tick(now) {
			if probe, ok := send.Message.(*message.Probe); ok && send.To == "alive" {
				core.Receive(now, "alive", &message.ProbeAck{Sequence: probe.Sequence})
			}
		}
		silent, _ := core.Lookup("silent")
		seen[silent.State] = true
	}
	alive, _ := core.Lookup("alive")
	if !seen[Suspect] || !seen[Dead] || alive.State != Alive {
		t.Errorf("the unresponsive member was in states %v, want Suspect and Dead; the other is in state %d, want Alive", seen, alive.State)
	}
}

// TestFreezeCausesNoSuspicion: after a long gap between ticks the pending probe is ignored, since this process did
// not run to receive its answer.
func TestFreezeCausesNoSuspicion(t *testing.T) {
	core := newCore("self")
	core.Receive(0, "peer", &message.MemberSync{Updates: []message.MemberUpdate{{Address: "peer", Zone: "zone-a", Generation: 2, Incarnation: 1, State: uint8(Alive)}}})
	core.Tick(100 * time.Millisecond)
	core.Tick(time.Minute)
	if peer, _ := core.Lookup("peer"); peer.State != Alive {
		t.Errorf("the peer is in state %d after a freeze, want Alive", peer.State)
	}
}

// TestJoinedAfterComparingViews: a new node with seeds has joined only after it has compared its view with a
// peer's. It continues without peers after joinTimeout.
func TestJoinedAfterComparingViews(t *testing.T) {
	core := newCore("self", "seed")
	if core.Joined(0) || core.Joined(time.Second) {
		t.Error("the node has joined without having received a peer's view")
	}
	if !core.Joined(time.Minute) {
		t.Error("the node has not joined after one minute without peers")
	}
	if alone := newCore("alone"); !alone.Joined(0) {
		t.Error("a node without seeds has not joined")
	}
}
