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

// runAttempt starts an attempt at a replica, finishes it after the given length with a result, and returns the time of its
// end.
func runAttempt(set *replica.Set, now time.Duration, id string, length time.Duration, result replica.AttemptResult) time.Duration {
	chosen := set.Get(id)
	chosen.StartAttempt(now)
	chosen.FinishAttempt(now+length, now, result)
	return now + length
}

// TestLocality checks the preference for close replicas: the own zone first, then another zone of the own region, then
// other regions.
func TestLocality(t *testing.T) {
	set := newSet(entry("far", "b1"), entry("near", "a2"), entry("own", "a1"))
	if got := picked(set, 0); got != "own" {
		t.Errorf("picked %q, want \"own\"", got)
	}
	if got := picked(set, 0, set.Get("own")); got != "near" {
		t.Errorf("picked %q, want \"near\"", got)
	}
}

// TestSlowReplicaIsAvoidedAndRetried checks that a replica of the own zone that has become slow loses to one of another
// region, and that it is tried again after ten seconds. Without the decay it would never be used again.
func TestSlowReplicaIsAvoidedAndRetried(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := runAttempt(set, 0, "own", 400*millisecond, replica.Answered)
	now = runAttempt(set, now, "far", 50*millisecond, replica.Answered)
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q, want \"far\"", got)
	}
	if got := picked(set, now+10*time.Second); got != "own" {
		t.Errorf("picked %q after ten seconds, want \"own\"", got)
	}
}

// TestUnansweredAttemptRaisesExpectedLatency guards against sending more requests to a replica that has stopped
// answering: the age of an attempt in flight counts before the attempt ends.
func TestUnansweredAttemptRaisesExpectedLatency(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := runAttempt(set, 0, "own", 20*millisecond, replica.Answered)
	now = runAttempt(set, now, "far", 45*millisecond, replica.Answered)
	set.Get("own").StartAttempt(now)
	if got := picked(set, now+20*millisecond); got != "own" {
		t.Errorf("picked %q, want \"own\"", got)
	}
	if got := picked(set, now+200*millisecond); got != "far" {
		t.Errorf("picked %q after 200 ms without an answer, want \"far\"", got)
	}
}

// TestCancelledAttempt checks the latency that is assumed for a cancelled attempt: twice its age. An attempt that was
// younger than the expected latency tells nothing.
func TestCancelledAttempt(t *testing.T) {
	set := newSet(entry("own", "a1"))
	now := runAttempt(set, 0, "own", 20*millisecond, replica.Answered)
	now = runAttempt(set, now, "own", 15*millisecond, replica.Cancelled)
	if got := set.Get("own").AverageLatency(); got != 20*millisecond {
		t.Errorf("average latency %v after an attempt of 15 ms was cancelled, want 20ms", got)
	}
	runAttempt(set, now, "own", 120*millisecond, replica.Cancelled)
	// The average moves by three tenths of the difference between 20 ms and 240 ms.
	if got := set.Get("own").AverageLatency(); got != 86*millisecond {
		t.Errorf("average latency %v after an attempt of 120 ms was cancelled, want 86ms", got)
	}
}

// TestDrainingAndMisdirectedAreNeverPicked checks that a draining replica, and one whose address belongs to another
// back end, get no request even if there is no other replica.
func TestDrainingAndMisdirectedAreNeverPicked(t *testing.T) {
	draining := entry("draining", "a1")
	draining.Draining = true
	set := newSet(draining, entry("misdirected", "a1"))
	runAttempt(set, 0, "misdirected", millisecond, replica.Misdirected)
	if got := picked(set, 0); got != "" {
		t.Errorf("picked %q, want none", got)
	}
}

// TestEjection checks that failures eject a replica for a time that grows with each failure, and that an ejected
// replica is still picked if there is no other.
func TestEjection(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	now := runAttempt(set, 0, "own", millisecond, replica.Failed)
	if got := picked(set, now); got != "own" {
		t.Errorf("after one failure: picked %q, want \"own\"", got)
	}
	now = runAttempt(set, now, "own", millisecond, replica.Failed)
	if got := picked(set, now); got != "far" {
		t.Errorf("after two failures: picked %q, want \"far\"", got)
	}
	if got := picked(set, now, set.Get("far")); got != "own" {
		t.Errorf("with no other replica: picked %q, want the ejected \"own\"", got)
	}
	if got := picked(set, now+300*millisecond); got != "own" {
		t.Errorf("after the ejection: picked %q, want \"own\"", got)
	}
	now = runAttempt(set, now, "own", millisecond, replica.Unreachable)
	if got := picked(set, now+300*millisecond); got != "far" {
		t.Errorf("during the longer second ejection: picked %q, want \"far\"", got)
	}
	now = runAttempt(set, now, "own", millisecond, replica.Answered)
	if got := picked(set, now); got != "own" {
		t.Errorf("after an answer: picked %q, want \"own\"", got)
	}
}

// TestRejectedConnection guards against treating a back end at its connection limit as failing. A back end that closes
// new connections is ejected for a moment only, however often that happens. New connections to it are verified for some
// seconds. While many nodes are starting, connections to every back end are verified.
func TestRejectedConnection(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("near", "a2"))
	own := set.Get("own")
	if set.MustVerify(0, own) {
		t.Error("connections must be verified although none was rejected")
	}
	now := time.Duration(0)
	for range 3 {
		now = runAttempt(set, now, "own", time.Millisecond, replica.ConnectionRejected)
	}
	if got := picked(set, now); got != "near" {
		t.Errorf("picked %q right after rejected connections, want \"near\"", got)
	}
	if got := picked(set, now+100*time.Millisecond); got != "own" {
		t.Errorf("picked %q 100 ms after rejected connections, want \"own\"", got)
	}
	if !set.MustVerify(now+3*time.Second, own) || set.MustVerify(now+5*time.Second, own) ||
		set.MustVerify(now, set.Get("near")) {
		t.Error("want connections verified to the rejecting back end alone, after 3 s but not after 5 s")
	}
	if set.SetManyNodesStarting(true); !set.MustVerify(now+5*time.Second, own) {
		t.Error("connections need not be verified while many nodes are starting")
	}
}

// TestEarliestRecovery checks the earliest time at which one of the replicas that may be picked is not ejected.
func TestEarliestRecovery(t *testing.T) {
	set := newSet(entry("a", "a1"), entry("b", "a2"), entry("c", "b1"))
	a, b := set.Get("a"), set.Get("b")
	runAttempt(set, 0, "a", 0, replica.Unreachable)
	runAttempt(set, 10*time.Millisecond, "b", 0, replica.Unreachable)
	for name, c := range map[string]struct {
		choice replica.PickOptions
		at     time.Duration
	}{
		"one is not ejected": {replica.PickOptions{}, 0},
		"all are ejected":    {replica.PickOptions{Only: []*replica.Replica{a, b}}, 250 * time.Millisecond},
		"the first to recover is excluded": {
			replica.PickOptions{Only: []*replica.Replica{a, b}, Excluded: []*replica.Replica{a}}, 260 * time.Millisecond,
		},
	} {
		if at, known := set.EarliestRecovery("s", c.choice); at != c.at || !known {
			t.Errorf("%s: recovery at %v, known %v; want 0 if one is not ejected, else the end of the first ejection",
				name, at, known)
		}
	}
	if _, known := set.EarliestRecovery("unknown", replica.PickOptions{}); known {
		t.Error("a recovery time is known for a service without replicas")
	}
}

// TestConnectionLimit checks that a replica gets no more concurrent attempts than its connections, and that Pick tells
// a busy service from an unknown one.
func TestConnectionLimit(t *testing.T) {
	set := newSet(entry("own", "a1"))
	for range settings.Connections {
		set.Get("own").StartAttempt(0)
	}
	if chosen, busy := set.Pick(0, "s", replica.PickOptions{}); chosen != nil || !busy {
		t.Errorf("picked %v, busy %v with all connections in use; want none, busy", chosen, busy)
	}
	if chosen, busy := set.Pick(0, "unknown", replica.PickOptions{}); chosen != nil || busy {
		t.Errorf("picked %v, busy %v for an unknown service; want none, not busy", chosen, busy)
	}
}

// TestConnectionShare checks that the nodes in a back end's region get more of its connections than other nodes if an
// equal share is hardly one connection.
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
			t.Errorf("case %+v: got share %+v", test, got)
		}
	}
}

// TestIdleLimit checks that one idle connection is kept to each replica if the share is not ample, and only for a
// second in another region. It also checks that the limit of attempts in flight depends on the replica's region.
func TestIdleLimit(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("near", "a2"), entry("far", "b1"))
	for share, limits := range map[replica.ConnectionShare]map[string]replica.IdleLimit{
		{SameRegion: 2, OtherRegions: 1}: {"own": {MaximumIdle: 1}, "near": {MaximumIdle: 1},
			"far": {MaximumIdle: 1, IdleTimeout: clock.Second}},
		{SameRegion: 3, OtherRegions: 3}: {"own": {MaximumIdle: 3}, "near": {MaximumIdle: 3}, "far": {MaximumIdle: 3}},
	} {
		set.SetConnectionShares(map[string]replica.ConnectionShare{"s": share})
		for id, want := range limits {
			if got := set.IdleLimit(set.Get(id)); got != want {
				t.Errorf("share %+v: idle limit %+v for %q is not the expected one", share, got, id)
			}
		}
	}
	set.SetConnectionShares(map[string]replica.ConnectionShare{"s": {SameRegion: 2, OtherRegions: 1}})
	for _, id := range []string{"own", "far"} {
		set.Get(id).StartAttempt(0)
	}
	if got := picked(set, 0, set.Get("near")); got != "own" {
		t.Errorf("with one attempt at each: picked %q, want \"own\"", got)
	}
}

// TestSubsetSelection guards against spreading a node's few requests over many replicas, which would leave no
// connection in use long enough to be kept. If the share is not ample, a node uses two of many replicas in its region,
// and other nodes use others. If one of the two drains, the node replaces it with the next.
func TestSubsetSelection(t *testing.T) {
	used := map[string]int{}
	for node := range 60 {
		places := replica.Topology{Node: fmt.Sprint("node-", node), Zone: "a1",
			Regions: map[string]string{"a1": "a", "b1": "b"}}
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
			t.Errorf("node %d uses %d replicas, want 2", node, len(own))
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
			t.Errorf("node %d has used %d replicas after one of its two drained, want 3", node, len(own))
		}
	}
	if len(used) != 10 {
		t.Errorf("60 nodes use %d of 10 replicas, want all", len(used))
	}
}

// TestVanishedEntry checks both ways in which an entry vanishes from the store. If the deletion is trusted, the replica
// is removed at once. Otherwise it remains a second choice until the given time, and is a first choice again if its
// entry comes back.
func TestVanishedEntry(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	set.Remove(0, "far", 0)
	if set.Len() != 1 {
		t.Fatal("the replica is still known after its entry was removed")
	}
	set.Put(0, entry("far", "b1"))
	set.Remove(0, "own", 2*time.Second)
	if got := picked(set, 0); got != "far" {
		t.Errorf("picked %q although \"far\" is not doubtful", got)
	}
	if got := picked(set, 0, set.Get("far")); got != "own" {
		t.Errorf("picked %q with no other replica, want the doubtful \"own\"", got)
	}
	set.Put(time.Second, entry("own", "a1"))
	if expired := set.ExpireDoubtful(3 * time.Second); len(expired) != 0 || picked(set, time.Second) != "own" {
		t.Errorf("after the entry came back: expired %v, picked %q; want none, \"own\"",
			expired, picked(set, time.Second))
	}
	set.Remove(4*time.Second, "own", 6*time.Second)
	if expired := set.ExpireDoubtful(6 * time.Second); len(expired) != 1 || set.Get("own") != nil {
		t.Errorf("expired %v, want \"own\" alone", expired)
	}
}

// TestLoadIsSpread checks that replicas with similar latencies share the load.
func TestLoadIsSpread(t *testing.T) {
	set := newSet()
	for i := range 4 {
		set.Put(0, entry(fmt.Sprint(i), "a1"))
	}
	counts := map[string]int{}
	now := time.Duration(0)
	for range 400 {
		id := picked(set, now)
		counts[id]++
		now = runAttempt(set, now, id, 20*millisecond, replica.Answered)
	}
	for id, count := range counts {
		if count < 40 {
			t.Errorf("replica %s got %d of 400 requests, want at least 40", id, count)
		}
	}
}

// TestIDWithAnotherService checks that an id whose entry names another service is a new back end: the former service
// has it no longer.
func TestIDWithAnotherService(t *testing.T) {
	set := newSet(entry("x", "a1"))
	moved := entry("x", "a1")
	moved.Service = "other"
	set.Put(0, moved)
	if picked(set, 0) != "" || set.Len() != 1 {
		t.Errorf("picked %q for the former service, %d back ends known; want none, 1", picked(set, 0), set.Len())
	}
}
