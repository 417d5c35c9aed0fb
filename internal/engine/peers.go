package engine

import (
	"fmt"
	"slices"
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/ticket"
)

// Receive takes a message from a peer.
func (e *Engine) Receive(now time.Duration, from string, m message.Message) Output {
	e.begin(now)
	e.receive(from, m)
	return e.end()
}

func (e *Engine) receive(from string, m message.Message) {
	switch m := m.(type) {
	case *message.Probe, *message.ProbeAck, *message.ProbeRequest, *message.MemberSync:
		e.receiveMembership(from, m)
	case *message.CatalogSummary, *message.CatalogBuckets, *message.CatalogKeys, *message.CatalogDocuments:
		e.sendAll(e.gossip.Receive(e.now, from, m))
	case *message.CatalogAck:
		e.receiveCatalogAck(from, m)
	case *message.SubQuery:
		e.receiveSubQuery(from, m)
	case *message.SubAnswer:
		e.receiveSubAnswer(from, m)
	case *message.SubCancel:
		e.dispatched(e.dispatcher.Cancel(e.now, m.ID))
	case *message.GroupRequest:
		e.receiveGroupRequest(from, m)
	case *message.GroupState:
		e.receiveGroupState(m)
	case *message.ForwardExecute:
		e.receiveForward(from, m)
	case *message.ForwardReply:
		e.receiveForwardReply(from, m)
	case *message.VersionRequest:
		e.receiveVersionRequest(from, m)
	case *message.VersionReply:
		e.receiveVersionReply(from, m)
	}
}

func (e *Engine) receiveMembership(from string, m message.Message) {
	sends, met := e.members.Receive(e.now, from, m)
	e.sendAll(sends)
	if met {
		// Zones that meet again compare catalogs at once.
		compare := e.gossip.Compare(e.now, from)
		e.send(compare.To, compare.Message)
	}
}

// receiveSubQuery serves a root, also while leaving until the grace is over.
func (e *Engine) receiveSubQuery(from string, m *message.SubQuery) {
	if e.leaving && e.now-e.leftAt >= e.settings.LeaveGrace {
		e.dispatched(e.dispatcher.Refuse(e.now, from, m))
		return
	}
	e.dispatched(e.dispatcher.Submit(e.now, from, m))
}

// dispatched carries out what the dispatcher decided.
func (e *Engine) dispatched(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.StartAttempt:
			e.output.Attempts = append(e.output.Attempts, action.Attempt)
		case dispatch.CancelAttempt:
			e.output.Cancels = append(e.output.Cancels, action.Number)
		case dispatch.Describe:
			e.output.Describes = append(e.output.Describes, action)
		case dispatch.Reply:
			e.send(action.To, action.Message)
		default:
			panic(fmt.Sprintf("engine: no case for the dispatcher's action %T", action))
		}
	}
}

// AttemptEnded takes in the outcome of an attempt.
func (e *Engine) AttemptEnded(now time.Duration, result query.AttemptResult) Output {
	e.begin(now)
	e.dispatched(e.dispatcher.AttemptEnded(now, result))
	return e.end()
}

// Described takes in what a back end says it holds; ok is false where it did not answer.
func (e *Engine) Described(now time.Duration, service, backEnd string, holding query.Holding, ok bool) Output {
	e.begin(now)
	e.dispatched(e.dispatcher.Described(now, service, backEnd, holding, ok))
	return e.end()
}

// Undelivered takes in that a message was not delivered; written is true where the peer may have got it all the same.
func (e *Engine) Undelivered(now time.Duration, to string, m message.Message, written bool) Output {
	e.begin(now)
	switch m := m.(type) {
	case *message.SubQuery:
		e.subQueryLost(to, m.ID, written)
	case *message.ForwardExecute:
		e.forwardLost(to, m.Sequence)
	}
	return e.end()
}

func (e *Engine) subQueryLost(peer string, id query.ID, written bool) {
	number, found := e.subOwners[id]
	if !found {
		return
	}
	if x := e.executes[number]; x != nil {
		if x.id == id && x.to == peer {
			e.executePeerLost(x, written)
		}
		return
	}
	if s := e.searches[number]; s != nil && s.query != nil {
		e.scattered(s, s.query.PeerLost(e.now, peer, id, written))
	}
}

// forwardLost: the minting node may have run the request for an earlier resend, so the outcome is unknown.
func (e *Engine) forwardLost(peer string, sequence uint64) {
	f := e.forwards[sequence]
	if f == nil || f.peer != peer {
		return
	}
	delete(e.forwards, sequence)
	unknown := failure.New(failure.OutcomeUnknown, "the node that minted the ticket cannot be reached")
	unknown.RetryAfter = time.Second
	e.answerExecute(waiter{caller: f.caller}, ticket.Outcome{Failure: unknown})
}

// Disconnected takes in that the connection on which queries went to a peer broke: what was asked of it may have run.
func (e *Engine) Disconnected(now time.Duration, peer string) Output {
	e.begin(now)
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
		if x := e.executes[number]; x != nil && x.sent && x.to == peer {
			e.executePeerLost(x, true)
		}
	}
	for _, sequence := range sortedKeys(e.forwards) {
		e.forwardLost(peer, sequence)
	}
	return e.end()
}

// sortedIDs returns the sub-queries at a peer, in order.
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
