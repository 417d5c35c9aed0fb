package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/replica"
)

const millisecond = time.Millisecond

var settings = replica.Settings{
	Connections: 4, OtherRegionPenalty: 0.4,
	SubsetSize: 2, LimitIdle: true, Ejection: true, VerifyConnections: true, CancelledFactor: 2,
}

func newSet(entries ...replica.Entry) *replica.Set {
	places := replica.Topology{Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}
	set := replica.NewSet(settings, places, rand.New(rand.NewPCG(1, 2)))
	for _, entry := range entries {
		set.Put(0, entry)
	}
	return set
}

func entry(id, zone string) replica.Entry {
	return replica.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Slots: 5}
}

func picked(set *replica.Set, now time.Duration, excluded ...*replica.Replica) string {
	chosen, _ := set.Pick(now, "s", replica.PickOptions{Excluded: excluded, TargetLatency: 200 * millisecond})
	if chosen == nil {
		return ""
	}
	return chosen.ID
}

// run lets an attempt at a replica end with a verdict after some time, and returns the time.
func run(set *replica.Set, now time.Duration, id string, length time.Duration, verdict replica.AttemptResult) time.Duration {
	chosen := set.Get(id)
	chosen.StartAttempt(now)
	chosen.FinishAttempt(now+length, now, verdict)
	return now + length
}

// TestLocality: the own zone first, then the own region, then others.
func TestLocality(t *testing.T) {
	set := newSet(entry("far", "b1"), entry("near", "a2"), entry("own", "a1"))
	if got := picked(set, 0); got != "own" {
		t.Errorf("picked %q", got)
	}
	if got := picked(set, 0, set.Get("own")); got != "near" {
		t.Errorf("picked %q", got)
	}
}

// TestSlowReplicaIsLeftAndTriedAgain: a local replica that has turned slow loses to a remote one, and gets a trickle later.
func TestSlowReplicaIsLeftAndTriedAgain(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := run(set, 0, "own", 400*millisecond, replica.Answered)
	now = run(set, now, "far", 50*millisecond, replica.Answered)
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q", got)
	}
	if got := picked(set, now+10*time.Second); got != "own" {
		t.Errorf("picked %q after ten seconds", got)
	}
}

// TestSilentReplicaIsLeftWhileItIsSilent: the age of an attempt without an answer counts before it ends.
func TestSilentReplicaIsLeftWhileItIsSilent(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := run(set, 0, "own", 20*millisecond, replica.Answered)
	now = run(set, now, "far", 45*millisecond, replica.Answered)
	set.Get("own").StartAttempt(now)
	if got := picked(set, now+20*millisecond); got != "own" {
		t.Errorf("picked %q", got)
	}
	if got := picked(set, now+200*millisecond); got != "far" {
		t.Errorf("picked %q after 200 ms of silence", got)
	}
}

// TestWithdrawnAttempt: one that was withdrawn without an answer counts as twice as long as it was old, one that was young says nothing.
func TestWithdrawnAttempt(t *testing.T) {
	set := newSet(entry("own", "a1"))
	now := run(set, 0, "own", 20*millisecond, replica.Answered)
	now = run(set, now, "own", 15*millisecond, replica.Cancelled)
	if got := set.Get("own").AverageLatency(); got != 20*millisecond {
		t.Errorf("%v after a young attempt was withdrawn", got)
	}
	run(set, now, "own", 120*millisecond, replica.Cancelled)
	// The average moves by three tenths of the way from 20 to 240 ms.
	if got := set.Get("own").AverageLatency(); got != 86*millisecond {
		t.Errorf("%v after an attempt of 120 ms was withdrawn, want 86ms", got)
	}
}

// TestNeverPicked: draining and misdirected replicas are not picked, whatever else there is.
func TestNeverPicked(t *testing.T) {
	draining := entry("draining", "a1")
	draining.Draining = true
	set := newSet(draining, entry("misdirected", "a1"))
	run(set, 0, "misdirected", millisecond, replica.Misdirected)
	if got := picked(set, 0); got != "" {
		t.Errorf("picked %q", got)
	}
}

// TestEjection: failures take a replica out for a while that grows, but the last one left is picked all the same.
func TestEjection(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := run(set, 0, "own", millisecond, replica.Failed)
	if got := picked(set, now); got != "own" {
		t.Errorf("one failure: picked %q", got)
	}
	now = run(set, now, "own", millisecond, replica.Failed)
	if got := picked(set, now); got != "far" {
		t.Errorf("two failures: picked %q", got)
	}
	if got := picked(set, now, set.Get("far")); got != "own" {
		t.Errorf("the last one left: picked %q", got)
	}
	if got := picked(set, now+300*millisecond); got != "own" {
		t.Errorf("after the ejection: picked %q", got)
	}
	now = run(set, now, "own", millisecond, replica.Unreachable)
	if got := picked(set, now+300*millisecond); got != "far" {
		t.Errorf("a longer ejection: picked %q", got)
	}
	now = run(set, now, "own", millisecond, replica.Answered)
	if got := picked(set, now); got != "own" {
		t.Errorf("after an answer: picked %q", got)
	}
}

// TestTurnedAway: a back end that ends new connections is left for a moment and is no failing one; new connections to it must prove
// themselves for a while, and all must while many nodes are young.
func TestTurnedAway(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("near", "a2"))
	own := set.Get("own")
	if set.MustVerify(0, own) {
		t.Error("crowded without a sign")
	}
	now := time.Duration(0)
	for range 3 {
		now = run(set, now, "own", time.Millisecond, replica.ConnectionRejected)
	}
	if got := picked(set, now); got != "near" {
		t.Errorf("picked %s at once", got)
	}
	if got := picked(set, now+100*time.Millisecond); got != "own" {
		t.Errorf("picked %s after a moment", got)
	}
	if !set.MustVerify(now+3*time.Second, own) || set.MustVerify(now+5*time.Second, own) || set.MustVerify(now, set.Get("near")) {
		t.Error("crowded for another time, or another back end")
	}
	if set.SetManyNodesStarting(true); !set.MustVerify(now+5*time.Second, own) {
		t.Error("not crowded among young nodes")
	}
}

// TestRecovers: the first moment at which one of the replicas that may be picked is not ejected.
func TestRecovers(t *testing.T) {
	set := newSet(entry("a", "a1"), entry("b", "a2"), entry("c", "b1"))
	a, b := set.Get("a"), set.Get("b")
	run(set, 0, "a", 0, replica.Unreachable)
	run(set, 10*time.Millisecond, "b", 0, replica.Unreachable)
	for name, c := range map[string]struct {
		choice replica.PickOptions
		at     time.Duration
	}{
		"one is sound":  {replica.PickOptions{}, 0},
		"all but it":    {replica.PickOptions{Only: []*replica.Replica{a, b}}, 250 * time.Millisecond},
		"the later one": {replica.PickOptions{Only: []*replica.Replica{a, b}, Excluded: []*replica.Replica{a}}, 260 * time.Millisecond},
	} {
		if at, known := set.EarliestRecovery("s", c.choice); at != c.at || !known {
			t.Errorf("%s: %v, %v", name, at, known)
		}
	}
	if _, known := set.EarliestRecovery("unknown", replica.PickOptions{}); known {
		t.Error("known")
	}
}

// TestConnections: no more attempts at once than connections; busy is told from nothing there.
func TestConnections(t *testing.T) {
	set := newSet(entry("own", "a1"))
	for range settings.Connections {
		set.Get("own").StartAttempt(0)
	}
	if chosen, busy := set.Pick(0, "s", replica.PickOptions{}); chosen != nil || !busy {
		t.Errorf("picked %v, busy %v", chosen, busy)
	}
	if chosen, busy := set.Pick(0, "unknown", replica.PickOptions{}); chosen != nil || busy {
		t.Errorf("picked %v, busy %v for an unknown service", chosen, busy)
	}
}

// TestConnectionShare: where each node gets hardly one connection, the nodes near a back end get more of it than those far away.
func TestConnectionShare(t *testing.T) {
	for _, test := range []struct {
		connections, nodes, near, most int
		want                           replica.ConnectionShare
	}{
		{41, 9, 3, 8, replica.ConnectionShare{SameRegion: 4, OtherRegions: 4}},
		{400, 6, 2, 8, replica.ConnectionShare{SameRegion: 8, OtherRegions: 8}},
		{76, 88, 29, 8, replica.ConnectionShare{SameRegion: 2, OtherRegions: 1}},
		{67, 70, 22, 8, replica.ConnectionShare{SameRegion: 2, OtherRegions: 1}},
		{10, 88, 29, 8, replica.ConnectionShare{SameRegion: 1, OtherRegions: 1}},
		{76, 88, 1, 8, replica.ConnectionShare{SameRegion: 8, OtherRegions: 1}},
	} {
		if got := replica.NewConnectionShare(test.connections, test.nodes, test.near, test.most); got != test.want {
			t.Errorf("%+v: got %+v", test, got)
		}
	}
}

// TestIdleLimit: where the share is not ample, one connection rests at each replica, at a far one not for long, and the attempts under way
// are bound by how far the replica is.
func TestIdleLimit(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("near", "a2"), entry("far", "b1"))
	for share, resting := range map[replica.ConnectionShare]map[string]replica.IdleLimit{
		{SameRegion: 2, OtherRegions: 1}: {"own": {MaximumIdle: 1}, "near": {MaximumIdle: 1}, "far": {MaximumIdle: 1, IdleTimeout: clock.Second}},
		{SameRegion: 3, OtherRegions: 3}: {"own": {MaximumIdle: 3}, "near": {MaximumIdle: 3}, "far": {MaximumIdle: 3}},
	} {
		set.SetConnectionShares(map[string]replica.ConnectionShare{"s": share})
		for id, want := range resting {
			if got := set.IdleLimit(set.Get(id)); got != want {
				t.Errorf("share %+v: %+v rest at %q", share, got, id)
			}
		}
	}
	set.SetConnectionShares(map[string]replica.ConnectionShare{"s": {SameRegion: 2, OtherRegions: 1}})
	for _, id := range []string{"own", "far"} {
		set.Get(id).StartAttempt(0)
	}
	if got := picked(set, 0, set.Get("near")); got != "own" {
		t.Errorf("with one attempt at each: picked %q", got)
	}
}

// TestSubset: where the share is not ample, a node keeps to two of many near replicas, other nodes to others, and goes on to the
// next where one of them drains.
func TestSubset(t *testing.T) {
	used := map[string]int{}
	for node := range 60 {
		places := replica.Topology{Node: fmt.Sprint("node-", node), Zone: "a1", Regions: map[string]string{"a1": "a", "b1": "b"}}
		set := replica.NewSet(settings, places, rand.New(rand.NewPCG(1, uint64(node))))
		set.SetConnectionShares(map[string]replica.ConnectionShare{"s": {SameRegion: 1, OtherRegions: 1}})
		for i := range 10 {
			set.Put(0, entry(fmt.Sprint("near-", i), "a1"))
		}
		set.Put(0, entry("far", "b1"))
		own := map[string]bool{}
		for range 50 {
			own[picked(set, 0)] = true
		}
		if len(own) != 2 {
			t.Errorf("node %d uses %d replicas", node, len(own))
		}
		for id := range own {
			used[id]++
		}
		first := picked(set, 0)
		draining := entry(first, "a1")
		draining.Draining = true
		set.Put(0, draining)
		for range 50 {
			own[picked(set, 0)] = true
		}
		if len(own) != 3 {
			t.Errorf("node %d uses %d replicas after one drains", node, len(own))
		}
	}
	if len(used) != 10 {
		t.Errorf("60 nodes use %d of 10 replicas", len(used))
	}
}

// TestVanished: with a settled store a vanished entry is gone at once; else it is a second choice for a while.
func TestVanished(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	set.Remove(0, "far", 0)
	if set.Len() != 1 {
		t.Fatal("still there")
	}
	set.Put(0, entry("far", "b1"))
	set.Remove(0, "own", 2*time.Second)
	if got := picked(set, 0); got != "far" {
		t.Errorf("picked %q with another that is certain", got)
	}
	if got := picked(set, 0, set.Get("far")); got != "own" {
		t.Errorf("picked %q where there is only the doubtful one", got)
	}
	set.Put(time.Second, entry("own", "a1"))
	if expired := set.ExpireDoubtful(3 * time.Second); len(expired) != 0 || picked(set, time.Second) != "own" {
		t.Errorf("came back, expired %v, picked %q", expired, picked(set, time.Second))
	}
	set.Remove(4*time.Second, "own", 6*time.Second)
	if expired := set.ExpireDoubtful(6 * time.Second); len(expired) != 1 || set.Get("own") != nil {
		t.Errorf("expired %v", expired)
	}
}

// TestSpread: replicas that are about as good share the load.
func TestSpread(t *testing.T) {
	set := newSet()
	for i := range 4 {
		set.Put(0, entry(fmt.Sprint(i), "a1"))
	}
	counts := map[string]int{}
	now := time.Duration(0)
	for range 400 {
		id := picked(set, now)
		counts[id]++
		now = run(set, now, id, 20*millisecond, replica.Answered)
	}
	for id, count := range counts {
		if count < 40 {
			t.Errorf("replica %s got %d of 400", id, count)
		}
	}
}

// TestNewService: an id that comes back with another service is another back end.
func TestNewService(t *testing.T) {
	set := newSet(entry("x", "a1"))
	moved := entry("x", "a1")
	moved.Service = "other"
	set.Put(0, moved)
	if picked(set, 0) != "" || set.Len() != 1 {
		t.Errorf("picked %q, %d known", picked(set, 0), set.Len())
	}
}
