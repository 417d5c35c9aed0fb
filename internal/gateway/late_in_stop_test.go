package gateway_test

import (
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
)

// TestRequestLateInPlannedStop: requests that came late in a planned stop were sent to back ends and cut at its end, with an
// unknown outcome. One that would usually not have ended by then is refused at once, as not run, and sent to nobody; one that
// will have ended, or whose caller waits for less, is served.
func TestRequestLateInPlannedStop(t *testing.T) {
	withGateway(t, func(t *testing.T, s *fixture) {
		const finishIn = 5 * time.Second
		s.backEnds.setHandler(answerAfter(20 * time.Millisecond))
		s.gateway.Leave(finishIn)
		if result := s.search(); result.Failure != nil {
			t.Errorf("a request early in the stop is answered %v", result.Failure)
		}
		time.Sleep(finishIn - 50*time.Millisecond)
		before := len(s.backEnds.sentRequests())
		result := s.search()
		if f := result.Failure; f == nil || f.Code != failure.Leaving || !f.NotRun || f.RetryAfter > 100*time.Millisecond || result.Reason != forward.LateInStop {
			t.Errorf("a request late in the stop is answered %+v", result.Answer)
		}
		if after := len(s.backEnds.sentRequests()); after != before {
			t.Errorf("a request that is refused was sent to %d back ends", after-before)
		}
	})
}
