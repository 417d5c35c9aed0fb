package engine

import (
	"fmt"
	"time"

	"stiletrail/internal/dispatch"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Receive handles a message from a peer.
func (e *Engine) Receive(now time.Duration, from string, m message.Message) Output {
	e.beginCall(now)
	e.receive(from, m)
	return e.endCall()
}

// receive handles a message from a peer or from this node itself.
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
		e.performDispatch(e.dispatcher.Cancel(e.now, m.ID))
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

// receiveMembership handles a message of the membership protocol.
func (e *Engine) receiveMembership(from string, m message.Message) {
	sends, met := e.members.Receive(e.now, from, m)
	e.sendAll(sends)
	if met {
		// The peer was unknown or taken for dead until now, as after a network partition between zones. The catalogs
		// may differ and are compared at once.
		compare := e.gossip.Compare(e.now, from)
		e.send(compare.To, compare.Message)
	}
}

// receiveSubQuery serves a sub-query. A leaving node still does so until Settings.LeaveGrace has passed.
func (e *Engine) receiveSubQuery(from string, m *message.SubQuery) {
	if e.leaving && e.now-e.leftAt >= e.settings.LeaveGrace {
		e.performDispatch(e.dispatcher.Refuse(e.now, from, m))
		return
	}
	e.performDispatch(e.dispatcher.Submit(e.now, from, m))
}

// performDispatch adds the actions of the dispatcher to the output.
func (e *Engine) performDispatch(actions []dispatch.Action) {
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
			panic(fmt.Sprintf("engine: unhandled type of a dispatcher's action: %T", action))
		}
	}
}

// AttemptEnded handles the outcome of an attempt.
func (e *Engine) AttemptEnded(now time.Duration, result query.AttemptResult) Output {
	e.beginCall(now)
	e.performDispatch(e.dispatcher.AttemptEnded(now, result))
	return e.endCall()
}

// DescribeDone handles a back end's answer to a Describe; ok is false if the back end did not answer.
func (e *Engine) DescribeDone(now time.Duration, service, backEnd string, holding query.Holding, ok bool) Output {
	e.beginCall(now)
	e.performDispatch(e.dispatcher.DescribeDone(now, service, backEnd, holding, ok))
	return e.endCall()
}
