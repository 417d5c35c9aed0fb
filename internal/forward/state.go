package forward

import (
	"fmt"
	"time"
)

// state is the state of a shard: one of the types below. Their times are readings of the caller's clock.
type state interface{ isState() }

// unasked means that nothing is decided for the shard yet. This is so only within Start.
type unasked struct{}

// inFlight means that attempts may still be answered. Their number is 0 only within HandleOutcome, between the end of
// the last attempt and the decision on what follows.
type inFlight struct {
	attempts int
	// hedgeAt is when a hedge is due.
	hedgeAt time.Duration
}

// waitingForCapacity means that every replica is at its limit. Pick is called again at until. No attempt has been
// sent since the wait began.
type waitingForCapacity struct{ until time.Duration }

// paused means that all attempts have failed. The shard is asked again at until.
type paused struct{ until time.Duration }

// held means that the shard waits for an answer of another shard, or for its turn as the next trial. It has no
// attempt in flight: its attempts have failed or were cancelled, or none was sent.
type held struct{}

// answered means that a back end has answered with response.
type answered struct{ response *Response }

// failed means that the shard is given up.
type failed struct{}

func (unasked) isState()            {}
func (inFlight) isState()           {}
func (waitingForCapacity) isState() {}
func (paused) isState()             {}
func (held) isState()               {}
func (answered) isState()           {}
func (failed) isState()             {}

// validTransition reports whether a shard may go from one state to another.
func validTransition(from, next state) bool {
	switch from.(type) {
	case unasked, waitingForCapacity:
		switch next.(type) {
		case inFlight, waitingForCapacity, held, failed:
			return true
		}
	case inFlight:
		switch next.(type) {
		case inFlight, paused, held, answered, failed:
			return true
		}
	case paused:
		switch next.(type) {
		case inFlight, paused, held, failed:
			return true
		}
	case held:
		switch next.(type) {
		case inFlight, waitingForCapacity, paused, failed:
			return true
		}
	case failed:
		_, again := next.(failed)
		return again
	case answered:
	default:
		panic(fmt.Sprintf("forward: unknown shard state %T", from))
	}
	return false
}
