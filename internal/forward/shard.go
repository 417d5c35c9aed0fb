package forward

import (
	"fmt"
	"slices"
	"time"

	"stiletrail/internal/replica"
)

// shard is one service that a request asks, and what has come of it.
type shard struct {
	service string
	state   state
	// last is the latest outcome that was no answer.
	last Outcome
	// tried replicas are not asked again before the next pause. asked has the replica of each attempt that may have arrived.
	tried []*replica.Replica
	asked []*replica.Replica
	// sent counts the attempts that may have arrived, paid those beyond the first that the budget has allowed.
	sent int
	paid int
	// wait and pause are the lengths of the last wait for room and of the last pause after a failure.
	wait  time.Duration
	pause time.Duration
	// denied is why the last attempt that was due was not sent.
	denied DenialReason
}

func newShards(services []string) []shard {
	shards := make([]shard, len(services))
	for i, service := range services {
		shards[i] = shard{service: service, state: unasked{}}
	}
	return shards
}

// become puts the shard in its next state. One that may not follow is a fault of this package.
func (s *shard) become(next state) {
	if !mayFollow(s.state, next) {
		panic(fmt.Sprintf("a shard goes from %T to %T", s.state, next))
	}
	s.state = next
}

// fail gives the shard up.
func (s *shard) fail(why DenialReason) {
	s.denied = why
	s.become(failed{})
}

// live is how many attempts may still be answered.
func (s *shard) live() int {
	if state, ok := s.state.(underWay); ok {
		return state.attempts
	}
	return 0
}

// held reports whether the shard waits for another one.
func (s *shard) held() bool {
	_, ok := s.state.(held)
	return ok
}

// response is the answer, nil before there is one.
func (s *shard) response() *Response {
	if state, ok := s.state.(answered); ok {
		return state.response
	}
	return nil
}

// open reports whether the shard may still be answered.
func (s *shard) open() bool {
	switch s.state.(type) {
	case answered, failed:
		return false
	}
	return true
}

// hedgeBy has another replica asked at a moment at the latest.
func (s *shard) hedgeBy(at time.Duration) {
	state := s.state.(underWay)
	state.hedgeAt = min(state.hedgeAt, at)
	s.become(state)
}

// attemptEnded takes one off the attempts under way.
func (s *shard) attemptEnded() {
	state := s.state.(underWay)
	state.attempts--
	s.become(state)
}

// unsent notes that an attempt at a replica did not arrive.
func (s *shard) unsent(unreached *replica.Replica) {
	s.sent--
	i := slices.Index(s.asked, unreached)
	s.asked = slices.Delete(s.asked, i, i+1)
}

func distinct(replicas []*replica.Replica) int {
	count := 0
	for i, r := range replicas {
		if !slices.Contains(replicas[:i], r) {
			count++
		}
	}
	return count
}
