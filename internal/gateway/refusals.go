package gateway

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
)

// The refusals that a request gets before any of it is sent, in the order in which they are looked at. Nothing has run
// with any of them, and each says so. Those of a request that has started are listed in forward/refusal.go.
//
//	when                                              code         reason       time to come back
//	the node has no configuration yet                 NOT_READY                 retryAfterStarting, retryAfterNotReady
//	more than maximum_requests are under way          OVERLOADED                retryAfterTooMany
//	back ends can't answer all in time (admit)        OVERLOADED   turned_away  admit.Decision.RetryAfter
//	under quarantine, and not to be tried (allow)     QUARANTINED  quarantined  suspicion.left
//	another call's trial of it takes too long (allow) QUARANTINED  quarantined  retryAfterTrial
//
// A request without a route gets UNKNOWN_SERVICE, without a time: coming back does not help.
const (
	// retryAfterStarting: the node is reading the configuration for the first time, in the first startingTime of its life.
	retryAfterStarting = 150 * time.Millisecond
	normalStartTime    = time.Second
	// retryAfterNotReady: that has taken long.
	retryAfterNotReady = 500 * time.Millisecond
	retryAfterTooMany  = 500 * time.Millisecond
	// retryAfterTrial: the trial may end at any moment.
	retryAfterTrial = 200 * time.Millisecond
)

func refuseNotReady(arrived time.Duration) forward.Answer {
	retryAfter := retryAfterNotReady
	if arrived < normalStartTime {
		retryAfter = retryAfterStarting
	}
	return forward.Answer{Failure: failure.Refused(failure.NotReady, "the node has no configuration yet", retryAfter)}
}

func failWithoutRoute() forward.Answer {
	return forward.Answer{Failure: failure.New(failure.UnknownService, "no route has this host and path")}
}

func refuseTooMany() forward.Answer {
	return forward.Answer{Failure: failure.Refused(failure.Overloaded, "too many requests under way", retryAfterTooMany)}
}

func refuseTurnedAway(decision admit.Decision) forward.Answer {
	const message = "more requests than the back ends can answer in time"
	return forward.Answer{
		Failure: failure.Refused(failure.Overloaded, message, decision.RetryAfter.Duration()), Reason: forward.TurnedAway,
	}
}

func refuseQuarantined(left clock.Ms) *forward.Answer {
	const message = "back ends end when they run the request"
	return &forward.Answer{Failure: failure.Refused(failure.Quarantined, message, left.Duration()), Reason: forward.Quarantined}
}

func refuseUnderTrial() *forward.Answer {
	const message = "back ends ended when they ran the request, and it is being tried"
	return &forward.Answer{Failure: failure.Refused(failure.Quarantined, message, retryAfterTrial), Reason: forward.Quarantined}
}
