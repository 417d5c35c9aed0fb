package forward_test

import (
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/routing"
)

// startLate starts a request at one second that arrived earlier, and collects its first actions.
func startLate(t *testing.T, unread time.Duration, route *routing.Route, node forward.Node) *harness {
	s := &harness{t: t, now: time.Second}
	request, actions := forward.Start(s.now, forward.Parameters{Route: route, Service: "a", ArrivedAt: s.now - unread}, settings, node)
	s.request = request
	s.collect(actions)
	return s
}

// answerFirst answers the first attempts.
func (s *harness) answerFirst(count int) *harness {
	for i := range count {
		s.endAttempt(i, answerOf(s.sent[i].Service, ""))
	}
	return s
}

// TestUnreadRequestIsNotRefusedAtOnce guards against refusals of requests that the node has read late: their caller still
// waits, and the replicas, which are all at their limit, have room a moment later.
func TestUnreadRequestIsNotRefusedAtOnce(t *testing.T) {
	for name, unread := range map[string]time.Duration{"past the acceptance time": 100 * millisecond, "past the target latency": 300 * millisecond} {
		for kind, route := range map[string]*routing.Route{"fan-out": fanOut("a", "b"), "single back end": single(true)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				node := newNode(100, "a", "b")
				node.fullServices["a"], node.fullServices["b"] = true, true
				s := startLate(t, unread, route, node)
				s.tickAt(time.Second + 20*millisecond)
				if s.answer != nil {
					t.Fatalf("the request is answered with %+v while its caller waits, want no answer yet", s.answer)
				}
				clear(node.fullServices)
				if s.tickAt(time.Second + 35*millisecond); len(s.sent) == 0 {
					t.Error("nothing is sent once the replicas have room")
				}
			})
		}
	}
}

// TestUnreadRequestIsRefusedInTime checks that a request that was read late looks for room no longer than another one.
func TestUnreadRequestIsRefusedInTime(t *testing.T) {
	node := newNode(100, "a", "b")
	node.fullServices["a"], node.fullServices["b"] = true, true
	s := startLate(t, 300*millisecond, fanOut("a", "b"), node)
	if wake := s.request.NextWake(s.now); wake > time.Second+40*millisecond {
		t.Errorf("the next wake is %v, want a fifth of the target latency after the start at the latest", wake)
	}
	if s.tickAt(time.Second + 40*millisecond); s.answer == nil || s.answer.Reason != forward.NoRoom {
		t.Errorf("the answer a fifth of the target latency after the start is %+v, want a refusal for want of room", s.answer)
	}
}

// TestUnreadRequestGetsAllShards guards against answers that lack shards for no other reason than that the node read the
// request late. Once the target latency is missed, the shards get as long as those of any request.
func TestUnreadRequestGetsAllShards(t *testing.T) {
	s := startLate(t, 300*millisecond, fanOut("a", "b", "c", "d"), newNode(100, "a", "b", "c", "d"))
	s.tickAt(time.Second + 20*millisecond).answerFirst(3)
	if s.answer != nil {
		t.Fatalf("the request is answered with three of four shards 20 ms after its start: %+v", s.answer)
	}
	if s.endAttempt(3, answerOf("d", "")); s.answer == nil || s.answer.Reason != forward.Complete {
		t.Errorf("the answer is %+v, want all shards", s.answer)
	}
	late := startLate(t, 300*millisecond, fanOut("a", "b", "c", "d"), newNode(100, "a", "b", "c", "d"))
	late.tickAt(time.Second + 20*millisecond).answerFirst(3)
	if late.tickAt(time.Second + 190*millisecond); late.answer == nil || late.answer.Reason != forward.TargetReached {
		t.Errorf("the answer is %+v after the target latency from the start, want three shards", late.answer)
	}
}

// TestUnreadRequestIsAnsweredWithinTarget checks that an answer with enough shards goes out in time for the caller, whose
// target latency counts from the arrival, where that is still possible.
func TestUnreadRequestIsAnsweredWithinTarget(t *testing.T) {
	s := startLate(t, 100*millisecond, fanOut("a", "b", "c", "d"), newNode(100, "a", "b", "c", "d"))
	s.tickAt(time.Second + 20*millisecond).answerFirst(3)
	if wake := s.request.NextWake(s.now); wake > time.Second+90*millisecond {
		t.Errorf("the next wake is %v, want the end of the target latency of the caller", wake)
	}
	if s.tickAt(time.Second + 90*millisecond); s.answer == nil || s.answer.Reason != forward.TargetReached {
		t.Errorf("the answer is %+v at the end of the target latency of the caller, want three shards", s.answer)
	}
}

// TestUnreadTimeIsNoOverload guards against a node that turns requests away because it reads them late: the sample by which
// it judges the load of the back ends is taken once the shards have had the target latency.
func TestUnreadTimeIsNoOverload(t *testing.T) {
	node := newNode(100, "a", "b")
	s := startLate(t, 300*millisecond, fanOut("a", "b"), node)
	if len(node.samples) > 0 {
		t.Errorf("the sample %+v is recorded before any shard could answer", node.samples)
	}
	s.tickAt(time.Second + 20*millisecond).answerFirst(2)
	if len(node.samples) != 1 || node.samples[0].Missing != 0 {
		t.Errorf("the samples are %+v, want one in which no shard is missing", node.samples)
	}
}
