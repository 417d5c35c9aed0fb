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

// TestDrainingWhileTheStoreIsInTrouble: a node that has read that a back end drains, or that its entry went while the store was well, gives it
// nothing more, whatever happens to the store afterwards.
func TestDrainingWhileTheStoreIsInTrouble(t *testing.T) {
	for name, leave := range map[string]func(s *scene){
		"draining": func(s *scene) {
			item := backEnd("s0", "-near", "zone")
			item.Content.(gateway.BackEnd).Entry.Draining = true
			s.store.put(item)
		},
		"gone": func(s *scene) { s.store.put(gateway.Item{Key: "back ends/s0-near", Deleted: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, s *scene) {
				time.Sleep(10 * time.Second)
				leave(s)
				time.Sleep(2 * time.Second)
				s.store.set(func(s *fakeStore) { s.err = errDown })
				before := len(s.backEnds.sent())
				for range 40 {
					s.search()
					time.Sleep(500 * time.Millisecond)
				}
				s.store.set(func(s *fakeStore) { s.err = nil })
				for range 20 {
					s.search()
					time.Sleep(500 * time.Millisecond)
				}
				for _, send := range s.backEnds.sent()[before:] {
					if send.Entry.ID == "s0-near" {
						t.Fatalf("a back end that leaves got a request")
					}
				}
			})
		})
	}
}

// TestStoreInTroubleCutsNothing: requests under way, and those that come, get whole answers while the store goes down, forgets its history, and
// comes back with another configuration.
func TestStoreInTroubleCutsNothing(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		s.backEnds.set(after(100 * time.Millisecond))
		var callers sync.WaitGroup
		for moment := range 400 {
			switch moment {
			case 100:
				s.store.set(func(s *fakeStore) { s.err = errDown })
			case 200:
				s.store.set(func(s *fakeStore) { s.err, s.dropped = nil, s.revision+1 })
				s.store.put(configuration(2))
			case 300:
				s.store.set(func(s *fakeStore) { s.err = errHistoryLost })
			}
			callers.Go(func() {
				if result := s.search(); result.Failure != nil || result.MissingShards > 0 {
					t.Errorf("at %d: answered %+v", moment, result.Answer)
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

// TestAnswerOfTheBackEndIsKept: an answer that a back end has made is never replaced by a failure of the node's own: not when it comes after
// the target, nor when the node gives up, nor when another attempt of the request has failed.
func TestAnswerOfTheBackEndIsKept(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		s.backEnds.set(after(1500 * time.Millisecond))
		if result := s.search(); result.Failure != nil || result.Reason != forward.TargetReached {
			t.Errorf("late parts: answered %+v", result.Answer)
		}
		one := func() gateway.Result {
			return s.gateway.Serve(context.Background(), &gateway.Call{ID: "id", Host: "h", Path: "/one/x"})
		}
		if result := one(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("a late answer: %+v", result.Answer)
		}
		// The hedge fails by itself before the first attempt answers.
		s.backEnds.set(func(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
			if send.Attempt.Purpose == forward.First {
				return after(900*time.Millisecond)(ctx, send)
			}
			return forward.Outcome{Kind: forward.Failed, Response: &forward.Response{Status: 500}}
		})
		if result := one(); result.BackEndResponse == nil || result.BackEndResponse.Status != 200 {
			t.Errorf("beside a hedge that failed: %+v", result.Answer)
		}
		// Three of four parts are there when the node gives up: enough for this route.
		s.backEnds.set(except(func(ctx context.Context, _ gateway.BackEndRequest) forward.Outcome {
			return silence(ctx, time.Minute, forward.Lost)
		}, "s3-near", "s3-far"))
		time.AfterFunc(200*time.Millisecond, s.gateway.FinishInFlight)
		if result := s.search(); result.Failure != nil || result.MissingShards != 1 {
			t.Errorf("given up with enough parts: %+v", result.Answer)
		}
	})
}

// TestRefusedAfterHalfWasAsked: once shards of a request were asked, no refusal says that it has not run unless each of those attempts is proved
// not to have run.
func TestRefusedAfterHalfWasAsked(t *testing.T) {
	play(t, func(t *testing.T, s *scene) {
		for lost := range shards {
			s.backEnds.set(func(_ context.Context, send gateway.BackEndRequest) forward.Outcome {
				if send.Entry.Service == fmt.Sprint("s", lost) {
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
