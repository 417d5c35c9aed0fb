package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// TestDrainingBackEndDuringStoreOutage guards against requests to a back end that is draining. A node has read that
// it drains, or that its entry was deleted while the store was available. Whatever happens to the store afterwards,
// the node must send it nothing more.
func TestDrainingBackEndDuringStoreOutage(t *testing.T) {
	for name, drain := range map[string]func(s *fixture){
		"draining": func(s *fixture) {
			item := backEnd("s0", "-near", "zone")
			item.Content.(gateway.BackEnd).Entry.Draining = true
			s.store.put(item)
		},
		"entry deleted": func(s *fixture) { s.store.put(gateway.Item{Key: "back ends/s0-near", Deleted: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, s *fixture) {
				time.Sleep(10 * time.Second)
				drain(s)
				time.Sleep(2 * time.Second)
				s.store.update(func(s *fakeStore) { s.err = errUnavailable })
				before := len(s.backEnds.sentRequests())
				for range 40 {
					s.search()
					time.Sleep(500 * time.Millisecond)
				}
				s.store.update(func(s *fakeStore) { s.err = nil })
				for range 20 {
					s.search()
					time.Sleep(500 * time.Millisecond)
				}
				for _, request := range s.backEnds.sentRequests()[before:] {
					if request.Entry.ID == "s0-near" {
						t.Fatalf("a back end that is draining or gone got a request during or after the outage")
					}
				}
			})
		})
	}
}

// TestStoreOutageFailsNoRequest checks that requests in flight and new requests get complete answers while the store
// is unavailable, loses its history, and comes back with another configuration.
func TestStoreOutageFailsNoRequest(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(100 * time.Millisecond))
		var callers sync.WaitGroup
		for step := range 400 {
			switch step {
			case 100:
				s.store.update(func(s *fakeStore) { s.err = errUnavailable })
			case 200:
				s.store.update(func(s *fakeStore) { s.err, s.compacted = nil, s.revision+1 })
				s.store.put(configuration(2))
			case 300:
				s.store.update(func(s *fakeStore) { s.err = errHistoryLost })
			}
			callers.Go(func() {
				if result := s.search(); result.Failure != nil || result.MissingShards > 0 {
					t.Errorf("step %d: the request was not answered completely: %+v", step, result.Answer)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
		if s.gateway.Version() != 2 {
			t.Errorf("version %d is in force, want 2", s.gateway.Version())
		}
	})
}

// TestBackEndAnswerIsKept checks that the node never replaces the answer of a back end by a failure of its own: not
// when the answer comes after the target latency, nor when the node shuts down, nor when another attempt of the
// request has failed.
func TestBackEndAnswerIsKept(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(1500 * time.Millisecond))
		if result := s.search(); result.Failure != nil || result.Reason != forward.TargetReached {
			t.Errorf("parts after the target latency: want them in the answer, answered %+v", result.Answer)
		}
		requestOne := func() gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
		}
		if result := requestOne(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("answer after the target latency: want the answer of the back end, answered %+v", result.Answer)
		}
		// The hedge fails by itself before the first attempt answers.
		s.backEnds.setHandler(func(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
			if request.Attempt.Purpose == forward.First {
				return answerAfter(900*time.Millisecond)(ctx, request)
			}
			return forward.Outcome{Kind: forward.Failed, Response: &forward.Response{Status: 500}}
		})
		if result := requestOne(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("hedge failed before the first attempt answered: want the answer of the back end, answered %+v", result.Answer)
		}
		// Three of four parts have arrived when the node shuts down. That is enough for this route.
		s.backEnds.setHandler(answerExcept(func(ctx context.Context, _ gateway.BackEndRequest) forward.Outcome {
			return endAfter(ctx, time.Minute, forward.Lost)
		}, "s3-near", "s3-far"))
		time.AfterFunc(200*time.Millisecond, s.gateway.FinishInFlight)
		if result := s.search(); result.Failure != nil || result.MissingShards != 1 {
			t.Errorf("shutdown with enough parts: want an answer with one missing shard, answered %+v", result.Answer)
		}
	})
}

// TestLostAttemptIsNotReportedAsNotRun checks that, once shards of a request were asked, no refusal says that the
// request has not run unless that is proved for each of those attempts.
func TestLostAttemptIsNotReportedAsNotRun(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for lostShard := range shards {
			s.backEnds.setHandler(func(_ context.Context, request gateway.BackEndRequest) forward.Outcome {
				if request.Entry.Service == fmt.Sprint("s", lostShard) {
					return forward.Outcome{Kind: forward.Lost}
				}
				return forward.Outcome{Kind: forward.Refused}
			})
			if result := s.search(); result.Failure == nil || result.Failure.NotRun {
				t.Errorf("one attempt may have run, but the request was not answered as unknown: %+v", result.Failure)
			}
		}
	})
}
