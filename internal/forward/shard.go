package forward

import (
	"fmt"
	"slices"
	"time"

	"stiletrail/internal/limit"
	"stiletrail/internal/replica"
)

// shard is one service that a request asks, with its attempts and its state.
type shard struct {
	service string
	state   state
	// lastFailure is the latest outcome that was not an answer.
	lastFailure Outcome
	// tried are the replicas asked since the last pause; they are not asked again before the next pause. asked has
	// the replica of each attempt that was delivered or may have been.
	tried []*replica.Replica
	asked []*replica.Replica
	// delivered counts the attempts that were delivered or may have been. extrasSpent counts the extra attempts taken
	// out of the budget.
	delivered   int
	extrasSpent int
	// capacityWait is the length of the last wait for a replica below its limit. pauseLength is the length of the
	// last pause after a failure.
	capacityWait time.Duration
	pauseLength  time.Duration
	// waitingSince is when the driver was told that the shard waits for capacity. It is set while awaiting is.
	awaiting     bool
	waitingSince time.Duration
	// denied is why the last attempt that was due was not sent.
	denied DenialReason
	// need is what the request lacked when an extra attempt was last due at the shard. hedgeDenied is set while a hedge
	// of the attempt in flight was denied. extraReserved is set if the last retry that was due was denied because the
	// extra attempts left are reserved, and extraAsked if other nodes are asked to lend one for it.
	need          limit.Need
	hedgeDenied   bool
	extraReserved bool
	extraAsked    bool
}

func newShards(services []string) []shard {
	shards := make([]shard, len(services))
	for i, service := range services {
		shards[i] = shard{service: service, state: unasked{}}
	}
	return shards
}

// setState puts the shard into its next state. It panics if the table of states does not allow the transition, which
// is a bug in this package.
func (s *shard) setState(next state) {
	if !validTransition(s.state, next) {
		panic(fmt.Sprintf("forward: a shard must not go from state %T to %T", s.state, next))
	}
	s.state = next
}

// fail gives the shard up and records why.
func (s *shard) fail(why DenialReason) {
	s.denied = why
	s.setState(failed{})
}

// attemptsInFlight returns how many attempts may still be answered.
func (s *shard) attemptsInFlight() int {
	if state, ok := s.state.(inFlight); ok {
		return state.attempts
	}
	return 0
}

// isHeld reports whether the shard is in state held.
func (s *shard) isHeld() bool {
	_, ok := s.state.(held)
	return ok
}

// response returns the shard's answer, or nil if there is none.
func (s *shard) response() *Response {
	if state, ok := s.state.(answered); ok {
		return state.response
	}
	return nil
}

// isOpen reports whether the shard may still be answered.
func (s *shard) isOpen() bool {
	switch s.state.(type) {
	case answered, failed:
		return false
	}
	return true
}

// hedgeNoLaterThan moves the time of the shard's hedge forward to at, unless it is due earlier.
func (s *shard) hedgeNoLaterThan(at time.Duration) {
	state := s.state.(inFlight)
	state.hedgeAt = min(state.hedgeAt, at)
	s.setState(state)
}

// hedgeNoEarlierThan moves the time of the shard's hedge back to at.
func (s *shard) hedgeNoEarlierThan(at time.Duration) {
	state := s.state.(inFlight)
	state.hedgeAt = max(state.hedgeAt, at)
	s.setState(state)
}

// removeAttempt subtracts an attempt that has ended from those in flight.
func (s *shard) removeAttempt() {
	state := s.state.(inFlight)
	state.attempts--
	s.setState(state)
}

// retryIsFree reports whether the next retry is not charged to the budget. Two kinds of attempts are free: the first that
// is delivered to the shard, and one that replaces an extra attempt that was charged but never delivered.
func (s *shard) retryIsFree() bool { return s.delivered <= s.extrasSpent }

// waitsForExtra reports whether the shard lacks nothing but an extra attempt that may be had soon.
func (s *shard) waitsForExtra() bool { return s.extraReserved || s.extraAsked }

// recordUndelivered takes an attempt that did not reach its replica out of the delivered ones.
func (s *shard) recordUndelivered(unreached *replica.Replica) {
	s.delivered--
	i := slices.Index(s.asked, unreached)
	s.asked = slices.Delete(s.asked, i, i+1)
}

// countDistinct returns the number of different replicas.
func countDistinct(replicas []*replica.Replica) int {
	count := 0
	for i, r := range replicas {
		if !slices.Contains(replicas[:i], r) {
			count++
		}
	}
	return count
}
