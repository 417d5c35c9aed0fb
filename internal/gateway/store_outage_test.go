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

// TestDrainingBackEndDuringStoreOutage: a node that has read that a back end drains, or that its entry went while the store was well, gives it
// nothing more, whatever happens to the store afterwards.
func TestDrainingBackEndDuringStoreOutage(t *testing.T) {
	for name, drain := range map[string]func(s *fixture){
		"draining": func(s *fixture) {
			item := backEnd("s0", "-near", "zone")
			item.Content.(gateway.BackEnd).Entry.Draining = true
			s.store.put(item)
		},
		"gone": func(s *fixture) { s.store.put(gateway.Item{Key: "back ends/s0-near", Deleted: true}) },
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
				for _, send := range s.backEnds.sentRequests()[before:] {
					if send.Entry.ID == "s0-near" {
						t.Fatalf("a back end that leaves got a request")
					}
				}
			})
		})
	}
}

// TestStoreOutageFailsNoRequest: requests under way, and those that come, get whole answers while the store goes down, forgets its history, and
// comes back with another configuration.
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
					t.Errorf("at %d: answered %+v", step, result.Answer)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
		if s.gateway.Version() != 2 {
			t.Errorf("version %d is in force", s.gateway.Version())
		}
	})
}

// TestBackEndAnswerIsKept: an answer that a back end has made is never replaced by a failure of the node's own: not when it comes after
// the target, nor when the node gives up, nor when another attempt of the request has failed.
func TestBackEndAnswerIsKept(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		s.backEnds.setHandler(answerAfter(1500 * time.Millisecond))
		if result := s.search(); result.Failure != nil || result.Reason != forward.TargetReached {
			t.Errorf("late parts: answered %+v", result.Answer)
		}
		requestOne := func() gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
		}
		if result := requestOne(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("a late answer: %+v", result.Answer)
		}
		// The hedge fails by itself before the first attempt answers.
		s.backEnds.setHandler(func(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
			if send.Attempt.Purpose == forward.First {
				return answerAfter(900*time.Millisecond)(ctx, send)
			}
			return forward.Outcome{Kind: forward.Failed, Response: &forward.Response{Status: 500}}
		})
		if result := requestOne(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("beside a hedge that failed: %+v", result.Answer)
		}
		// Three of four parts are there when the node gives up: enough for this route.
		s.backEnds.setHandler(answerExcept(func(ctx context.Context, _ gateway.BackEndRequest) forward.Outcome {
			return endAfter(ctx, time.Minute, forward.Lost)
		}, "s3-near", "s3-far"))
		time.AfterFunc(200*time.Millisecond, s.gateway.FinishInFlight)
		if result := s.search(); result.Failure != nil || result.MissingShards != 1 {
			t.Errorf("given up with enough parts: %+v", result.Answer)
		}
	})
}

// TestLostAttemptIsNotReportedAsNotRun: once shards of a request were asked, no refusal says that it has not run unless each of those attempts is proved
// not to have run.
func TestLostAttemptIsNotReportedAsNotRun(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		for lostShard := range shards {
			s.backEnds.setHandler(func(_ context.Context, send gateway.BackEndRequest) forward.Outcome {
				if send.Entry.Service == fmt.Sprint("s", lostShard) {
					return forward.Outcome{Kind: forward.Lost}
				}
				return forward.Outcome{Kind: forward.Refused}
			})
			if result := s.search(); result.Failure == nil || result.Failure.NotRun {
				t.Errorf("one attempt may have run: answered %+v", result.Failure)
			}
		}
	})
}
