package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/gateway"
)

// What was seen: nothing yet. A machine may be suspended for seconds; the monotonic clock, on which all of Go's timers and ages count, stands still meanwhile.
//
// What follows from that: a node that wakes takes its copy of the store for as fresh as it was before, goes on with requests whose callers have long left,
// tells other nodes an age that is too small by that much, and takes connections for just used that have rested for as long.
//
// Cause: all ages are counted on a clock that does not count the time in which the node was away.
//
// What proves it: the tests below, in which that clock falls behind.

// suspension plays machines that are suspended: the monotonic clock falls behind by what it adds.
type suspension struct{ behind atomic.Int64 }

func (s *suspension) suspend(length time.Duration) { s.behind.Add(int64(length)) }

// withSuspendableMachine runs a test on the scene of one gateway whose machine can be suspended.
func withSuspendableMachine(t *testing.T, test func(t *testing.T, s *fixture, machine *suspension)) {
	machine := &suspension{}
	undo := clock.ReplaceSuspendedTime(func() time.Duration { return time.Duration(machine.behind.Load()) })
	defer undo()
	withGateway(t, func(t *testing.T, s *fixture) { test(t, s, machine) })
}

// TestSuspendedNodeRefreshesCopy: a node that was suspended knows how old its copy is, and has what has changed meanwhile soon after it wakes, though its connections to
// the store have gone silent.
func TestSuspendedNodeRefreshesCopy(t *testing.T) {
	const suspendedFor, soon = 8 * time.Second, 500 * time.Millisecond
	withSuspendableMachine(t, func(t *testing.T, s *fixture, machine *suspension) {
		time.Sleep(20 * time.Second)
		s.store.update(func(s *fakeStore) { s.suppressEvents = true })
		for calls := s.store.callCount(); s.store.callCount() == calls; {
			time.Sleep(time.Millisecond)
		}
		// A watch has just begun whose connection carries nothing any more. Others do again.
		s.store.put(configuration(2))
		s.store.update(func(s *fakeStore) { s.suppressEvents = false })
		machine.suspend(suspendedFor)
		if age := s.gateway.Status().CopyAge.Duration(); age < suspendedFor {
			t.Errorf("after %v the copy passes for %v old", suspendedFor, age)
		}
		time.Sleep(soon)
		if version := s.gateway.Version(); version != 2 {
			t.Errorf("version %d is in force %v after the node woke", version, soon)
		}
	})
}

// TestSuspendedNodeAnswersRequest: a request that was under way when the machine was suspended beyond its deadline gets its final answer soon after it wakes, and no back end gets
// it then.
func TestSuspendedNodeAnswersRequest(t *testing.T) {
	const suspendedFor, soon = 5 * time.Second, 300 * time.Millisecond
	withSuspendableMachine(t, func(t *testing.T, s *fixture, machine *suspension) {
		time.Sleep(20 * time.Second)
		s.backEnds.setHandler(answerAfter(time.Hour))
		var finished atomic.Bool
		go func() {
			s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x", Deadline: time.Now().Add(2 * time.Second)})
			finished.Store(true)
		}()
		time.Sleep(50 * time.Millisecond)
		sent := len(s.backEnds.sentRequests())
		machine.suspend(suspendedFor)
		time.Sleep(soon)
		synctest.Wait()
		if !finished.Load() {
			t.Errorf("no answer %v after the node woke, %v after the deadline", soon, suspendedFor-1950*time.Millisecond)
		}
		if more := len(s.backEnds.sentRequests()) - sent; more > 0 {
			t.Errorf("%d back ends got the request after its deadline", more)
		}
		time.Sleep(3 * time.Second)
	})
}
