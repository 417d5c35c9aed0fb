package forward

import (
	"fmt"
	"time"
)

// state of a shard: one of the types below. Moments are of the caller's clock.
type state interface{ isState() }

// unasked: nothing was decided for the shard yet, which is so only within Start.
type unasked struct{}

// underWay: attempts may still be answered. There are none left only until Receive has dealt with the outcome of the last one.
type underWay struct {
	attempts int
	// hedgeAt is when another replica is asked too.
	hedgeAt time.Duration
}

// waiting: no replica has room; one is looked for again at until. Nothing has been sent since the wait began.
type waiting struct{ until time.Duration }

// paused: all attempts have failed, and the shard is asked again at until.
type paused struct{ until time.Duration }

// held: the shard waits for another one's answer, or for its turn as the next trial. Its attempts are lost or withdrawn,
// or none was sent.
type held struct{}

// answered by a back end.
type answered struct{ response *Response }

// failed: no answer is looked for any more.
type failed struct{}

func (unasked) isState()  {}
func (underWay) isState() {}
func (waiting) isState()  {}
func (paused) isState()   {}
func (held) isState()     {}
func (answered) isState() {}
func (failed) isState()   {}

// mayFollow reports whether a shard may go from one state to the next.
func mayFollow(from, next state) bool {
	switch from.(type) {
	case unasked, waiting:
		switch next.(type) {
		case underWay, waiting, held, failed:
			return true
		}
	case underWay:
		switch next.(type) {
		case underWay, paused, held, answered, failed:
			return true
		}
	case paused:
		switch next.(type) {
		case underWay, paused, held, failed:
			return true
		}
	case held:
		switch next.(type) {
		case underWay, waiting, paused, failed:
			return true
		}
	case failed:
		_, again := next.(failed)
		return again
	case answered:
	default:
		panic(fmt.Sprintf("a shard in state %T", from))
	}
	return false
}
