package gateway

import "stiletrail/internal/clock"

// PropagationTimes are those of a node for news of the store. They are derived from one bound, so that together they stay within it
// whichever way the news takes: a node whose own watch or whose peers have fallen silent has no sign of that but the time.
//
// Where peers tell it: a watcher coalesces changes for no longer than it tells others, the next one tells (TellEvery), the node
// notices at its next look among peers, waits for its own watch (Patience), asks, and asks another if the answer is lost
// (AnswerWithin). Where nobody does: its copy turns stale (StaleAfter), it asks the store over a new connection (PollTimeout),
// and once more if that is lost. TestWaitsStayWithinTheBound adds them up.
type PropagationTimes struct {
	// Bound is the bound: the time in which what the store has acknowledged must be in force.
	Bound clock.Ms
	// StaleAfter is how long a node goes by a copy of the store that nobody has confirmed to be complete, before it asks the
	// store itself.
	StaleAfter clock.Ms
	// AnnounceInterval is how often one of the watchers of a group hears from the store at the latest, and tells the others.
	AnnounceInterval clock.Ms
	// PeerRequestDelay is how long a node that the store serves waits for its own watch when a peer knows more.
	PeerRequestDelay clock.Ms
	// AnswerTimeout is how long a node waits for a peer's answer before it asks another.
	AnswerTimeout clock.Ms
	// PollTimeout is the wait for the store's answer to a node whose copy is stale.
	PollTimeout clock.Ms
}

// Parts of the bound that single waits have. They add up to less than all of it on either way, with one answer lost on it.
const (
	staleFraction       = 0.45
	announceFraction    = 0.3
	peerRequestFraction = 0.2
	answerFraction      = 0.3
	pollFraction        = 0.2
)

// Waits are no longer than these where the bound is ample: what is learned sooner costs hardly more.
const (
	maximumStaleAfter       = 2 * clock.Second
	maximumAnnounceInterval = 900 * clock.Ms(1)
	maximumPeerRequestDelay = clock.Second
	maximumAnswerTimeout    = 1500 * clock.Ms(1)
	maximumPollTimeout      = 700 * clock.Ms(1)
)

// PropagationTimesWithin derives the waits from their bound.
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
