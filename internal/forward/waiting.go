package forward

import "time"

// Turns. With Parameters.Prioritized the node knows which shards of its requests wait for capacity of a service, and
// calls CapacityFreed for the one whose turn it is. Two kinds of shards wait:
//   - those to which nothing was sent, since all replicas are at their limit (first.go);
//   - those whose attempts have failed, if all other replicas were still at their limit after a pause (pause.go).
//
// Both go on polling, in case that capacity comes without the end of an attempt.

// awaitCapacity tells the driver that a shard waits for capacity.
func (r *Request) awaitCapacity(now time.Duration, number int) {
	s := &r.shards[number]
	if !r.prioritized || s.awaiting {
		return
	}
	s.awaiting, s.waitingSince = true, now
	r.waits++
	r.actions = append(r.actions, AwaitCapacity{number, s.service})
}

// endWaits tells the driver which shards do not wait any more.
func (r *Request) endWaits() {
	if r.waits == 0 || r.done {
		return
	}
	for i := range r.shards {
		if s := &r.shards[i]; s.awaiting && !s.waitsForCapacity() {
			s.awaiting = false
			r.waits--
			r.actions = append(r.actions, EndWait{i})
		}
	}
}

// waitsForCapacity reports whether the shard waits for a replica that is below its limit.
func (s *shard) waitsForCapacity() bool {
	switch s.state.(type) {
	case waitingForCapacity:
		return true
	case paused:
		return s.denied == DeniedReplicasBusy
	}
	return false
}

// CapacityFreed asks a shard again that waits for capacity. Nothing changes if there is still none.
func (r *Request) CapacityFreed(now time.Duration, number int) []Action {
	s := &r.shards[number]
	if r.done || !s.awaiting || r.trials.suspected {
		return nil
	}
	switch s.state.(type) {
	case waitingForCapacity:
		r.startFirstAttempt(now, number)
	case paused:
		r.startRetry(now, number)
	}
	r.finishIfDue(now)
	return r.takeActions()
}

// waitsInVain reports whether no replica of a shard that waits for capacity can answer by the deadline any more.
func (r *Request) waitsInVain(now time.Duration, s *shard) bool {
	return r.prioritized && now > r.latestStart(s)
}

// latestStart returns the latest time at which a shard can be asked so that the fastest of its replicas answers by the
// deadline.
func (r *Request) latestStart(s *shard) time.Duration {
	latency, _ := r.node.FastestAnswer(s.service, r.pickOptions(s))
	return r.timing.deadline - latency
}

// nextPoll returns when a shard that waits for capacity looks for some itself. With priorities it also does so when it is
// to be given up.
func (r *Request) nextPoll(now time.Duration, s *shard) time.Duration {
	poll := now + s.capacityWait
	if r.prioritized {
		poll = min(poll, r.latestStart(s)+time.Millisecond)
	}
	return poll
}

// LongestWait returns the longest time for which a shard has waited for its turn.
func (r *Request) LongestWait(now time.Duration) time.Duration {
	longest := r.longestWait
	for i := range r.shards {
		if s := &r.shards[i]; s.awaiting {
			longest = max(longest, now-s.waitingSince)
		}
	}
	return longest
}

// Lacking returns how many shards must still answer before the request can succeed.
func (r *Request) Lacking() int { return max(r.requiredShards()-r.answered, 0) }

// Unanswered returns the number of shards without an answer.
func (r *Request) Unanswered() int { return len(r.shards) - r.answered }

// AnswerBy returns the latest time at which an answer reaches the caller within the target latency.
func (r *Request) AnswerBy() time.Duration { return r.timing.callerTarget }
