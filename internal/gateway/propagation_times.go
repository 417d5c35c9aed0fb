package gateway

import "stiletrail/internal/clock"

// PropagationTimes are the intervals and timeouts that bound how long a change of the store takes to reach this node. A
// node whose own watch or whose peers have gone silent notices that only by the passing of time. All times are derived
// from one bound, so that their sum stays within the bound on each of the two paths that a change can take:
//
//   - If peers announce it: a watcher collects changes for no longer than AnnounceInterval, and the next watcher
//     announces them. The node notices at its next check of its peers, waits for its own watch (PeerRequestDelay), asks
//     a peer, and asks another one if there is no answer (AnswerTimeout).
//   - If no peer does: the copy of the node becomes stale (StaleAfter). The node asks the store over a new connection
//     (PollTimeout), and once more if there is no answer.
//
// TestPropagationTimesWithinBound adds up both paths.
type PropagationTimes struct {
	// Bound is the time within which a change that the store has acknowledged must be in force on this node.
	Bound clock.Ms
	// StaleAfter is how long after its last confirmation a copy of the store is stale. The node then asks the store itself.
	StaleAfter clock.Ms
	// AnnounceInterval is the longest time between two announcements of a group's watchers to its other nodes.
	AnnounceInterval clock.Ms
	// PeerRequestDelay is how long a node that the store keeps up to date waits for its own watch before it asks a peer
	// that knows more.
	PeerRequestDelay clock.Ms
	// AnswerTimeout is how long a node waits for the answer of a peer before it asks another one.
	AnswerTimeout clock.Ms
	// PollTimeout is how long a node whose copy is stale waits for the answer of the store.
	PollTimeout clock.Ms
}

// Fractions of the bound. On each path they add up to less than 1, with one lost answer included.
const (
	staleFraction       = 0.45
	announceFraction    = 0.3
	peerRequestFraction = 0.2
	answerFraction      = 0.3
	pollFraction        = 0.2
)

// Upper limits of the times for a large bound. Shorter times cost hardly more.
const (
	maximumStaleAfter       = 2 * clock.Second
	maximumAnnounceInterval = 900 * clock.Ms(1)
	maximumPeerRequestDelay = clock.Second
	maximumAnswerTimeout    = 1500 * clock.Ms(1)
	maximumPollTimeout      = 700 * clock.Ms(1)
)

// PropagationTimesWithin derives the times from their bound.
func PropagationTimesWithin(bound clock.Ms) PropagationTimes {
	part := func(of float64, longest clock.Ms) clock.Ms { return min(clock.Ms(of*float64(bound)), longest) }
	return PropagationTimes{
		Bound:            bound,
		StaleAfter:       part(staleFraction, maximumStaleAfter),
		AnnounceInterval: part(announceFraction, maximumAnnounceInterval),
		PeerRequestDelay: part(peerRequestFraction, maximumPeerRequestDelay),
		AnswerTimeout:    part(answerFraction, maximumAnswerTimeout),
		PollTimeout:      part(pollFraction, maximumPollTimeout),
	}
}
