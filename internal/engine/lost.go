package engine

import (
	"slices"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/ticket"
)

// Undelivered handles a message that could not be delivered. If written is true, the peer may have received it after
// all.
func (e *Engine) Undelivered(now time.Duration, to string, m message.Message, written bool) Output {
	e.beginCall(now)
	switch m := m.(type) {
	case *message.SubQuery:
		e.subQueryLost(to, m.ID, written)
	case *message.ForwardExecute:
		e.forwardLost(to, m.Sequence)
	}
	return e.endCall()
}

// subQueryLost passes the loss of a sub-query on to its search or execute.
func (e *Engine) subQueryLost(peer string, id query.ID, written bool) {
	number, found := e.subQueryOwners[id]
	if !found {
		return
	}
	if x := e.executes[number]; x != nil {
		if x.subQueryID == id && x.dispatcher == peer {
			e.executePeerLost(x, written)
		}
		return
	}
	if s := e.searches[number]; s != nil && s.query != nil {
		e.performSearch(s, s.query.PeerUnreachable(e.now, peer, id, written))
	}
}

// forwardLost ends a forwarded request whose peer cannot be reached. The peer may have run the request when it was sent
// before, so the outcome is unknown.
func (e *Engine) forwardLost(peer string, sequence uint64) {
	f := e.forwards[sequence]
	if f == nil || f.peer != peer {
		return
	}
	delete(e.forwards, sequence)
	unknown := failure.New(failure.OutcomeUnknown, "the node that minted the ticket cannot be reached")
	unknown.RetryAfter = time.Second
	e.answerExecute(localCaller{f.caller}, ticket.Outcome{Failure: unknown})
}

// PeerDisconnected handles the loss of the connection on which queries were sent to a peer. Everything that was sent on
// it may have run.
func (e *Engine) PeerDisconnected(now time.Duration, peer string) Output {
	e.beginCall(now)
	for _, number := range sortedKeys(e.searches) {
		s := e.searches[number]
		if s == nil {
			continue
		}
		for _, id := range sortedIDs(s.dispatchers, peer) {
			e.subQueryLost(peer, id, true)
		}
	}
	for _, number := range sortedKeys(e.executes) {
		if x := e.executes[number]; x != nil && x.sent && x.dispatcher == peer {
			e.executePeerLost(x, true)
		}
	}
	for _, sequence := range sortedKeys(e.forwards) {
		e.forwardLost(peer, sequence)
	}
	return e.endCall()
}

// sortedIDs returns the ids of the sub-queries at a peer, in order.
func sortedIDs(dispatchers map[query.ID]string, peer string) []query.ID {
	var sequences []uint64
	generation := uint64(0)
	for id, to := range dispatchers {
		if to == peer {
			sequences = append(sequences, id.Sequence)
			generation = id.Generation
		}
	}
	ids := make([]query.ID, 0, len(sequences))
	for _, sequence := range slices.Sorted(slices.Values(sequences)) {
		ids = append(ids, query.ID{Generation: generation, Sequence: sequence})
	}
	return ids
}
