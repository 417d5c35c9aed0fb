package engine

import (
	"fmt"
	"slices"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/ticket"
)

// executeMargin is the time reserved before the deadline for returning the outcome to the caller.
const executeMargin = 5 * time.Millisecond

// resultWait is how long the node waits for a result that has not arrived by the time of the dispatcher's final answer.
const resultWait = 50 * time.Millisecond

// ExecuteRequest is a caller's request that is not repeatable: it must run at most once.
type ExecuteRequest struct {
	Service string
	Key     string
	Body    []byte
	Ticket  []byte
	// TimeLimit is the time that the caller allows. Zero means the service's deadline.
	TimeLimit time.Duration
}

// execute is a request that is not repeatable, in flight at the node that minted its ticket.
type execute struct {
	// number identifies the execute within the engine. ticketSequence is the sequence number of its ticket.
	number         uint64
	ticketSequence uint64
	request        ExecuteRequest
	deadline       time.Duration
	// wakeAt is when tickExecutes handles the execute next: the end of the wait for the holdings of the service's back
	// ends or of the wait for a result, or the deadline.
	wakeAt time.Duration
	shard  uint32
	epoch  uint64
	// sent is true once the request was sent to a dispatcher.
	sent bool
	// subQueryID is the id of the last sub-query sent, dispatcher its receiver, and tried all dispatchers it was sent
	// to.
	subQueryID query.ID
	dispatcher string
	tried      []string
	// askStandbys is true if standbys may be asked too: the dispatcher was lost, or refused for another reason than
	// overload.
	askStandbys bool
	// waiters are sent the outcome: the sender of the request, and the senders of resends that arrived meanwhile.
	waiters []waiter
}

// waiter is a receiver of the outcome of an execute: a localCaller or a forwardingPeer.
type waiter interface{ isWaiter() }

// localCaller is a caller that is connected to this node.
type localCaller struct{ caller Caller }

// forwardingPeer is a node that forwarded the request, with the number under which it did so.
type forwardingPeer struct {
	address  string
	sequence uint64
}

func (localCaller) isWaiter()    {}
func (forwardingPeer) isWaiter() {}

// Execute receives a caller's request that is not repeatable. It runs the request if this node minted the ticket, and
// forwards it to the minting node otherwise.
func (e *Engine) Execute(now time.Duration, caller Caller, request ExecuteRequest) Output {
	e.beginCall(now)
	parsed, err := ticket.Parse(request.Ticket)
	if err != nil {
		e.answerExecute(localCaller{caller}, ticket.Outcome{Failure: failure.From(err)})
		return e.endCall()
	}
	if parsed.Address != e.Address() {
		e.forwardExecute(caller, parsed.Address, request)
		return e.endCall()
	}
	e.acceptExecute(localCaller{caller}, request)
	return e.endCall()
}

// timeLimitFor returns the time that a request has: the caller's time limit or else the service's deadline, which is
// never taken as less than ten times executeMargin.
func (e *Engine) timeLimitFor(request ExecuteRequest) time.Duration {
	if request.TimeLimit > 0 {
		return request.TimeLimit
	}
	document, _ := e.catalog.Get(request.Service)
	return max(time.Duration(document.Specification.DeadlineMilliseconds)*time.Millisecond, 10*executeMargin)
}

// acceptExecute uses up the ticket and runs the request, unless the ticket was used before. The first decision on a
// ticket is final: a caller whose request was refused needs a new ticket to try again.
func (e *Engine) acceptExecute(w waiter, request ExecuteRequest) {
	e.Counters.Executes++
	switch use := e.tickets.Use(e.now, request.Ticket, executeBody(request)).(type) {
	case ticket.Rejected:
		e.answerExecute(w, ticket.Outcome{Failure: use.Failure})
	case ticket.Finished:
		e.answerExecute(w, use.Outcome)
	case ticket.Running:
		e.joinExecute(w, use.Sequence)
	case ticket.Fresh:
		e.runFresh(w, use.Sequence, request)
	default:
		panic(fmt.Sprintf("engine: unhandled result of using a ticket: %T", use))
	}
}

// runFresh runs a request whose ticket was not used before, or refuses it.
func (e *Engine) runFresh(w waiter, sequence uint64, request ExecuteRequest) {
	if refusal := e.admit(request.Service); refusal != nil {
		// The refusal is final for the ticket. A duplicate of the request that arrives later must not run.
		e.tickets.RecordOutcome(sequence, ticket.Outcome{Failure: refusal})
		e.answerExecute(w, ticket.Outcome{Failure: refusal})
		return
	}
	e.startExecute(w, sequence, request)
}

// executeBody returns the bytes that identify a request to its ticket: service, key and body, separated by zero bytes.
func executeBody(request ExecuteRequest) []byte {
	body := []byte(request.Service)
	body = append(body, 0)
	body = append(body, request.Key...)
	body = append(body, 0)
	return append(body, request.Body...)
}

// joinExecute adds the sender of a resend to the waiters of the execute that runs with the same ticket.
func (e *Engine) joinExecute(w waiter, sequence uint64) {
	for _, x := range e.executes {
		if x.ticketSequence == sequence {
			x.waiters = append(x.waiters, w)
			return
		}
	}
}

// startExecute creates an execute. It is sent to a dispatcher at once if the holdings of the service's back ends are
// known, and after Settings.RoutingWait otherwise.
func (e *Engine) startExecute(w waiter, sequence uint64, request ExecuteRequest) {
	x := &execute{
		number: e.nextNumber(), ticketSequence: sequence, request: request, waiters: []waiter{w},
		deadline: e.now + e.timeLimitFor(request) - executeMargin,
	}
	x.wakeAt = min(e.now+e.settings.RoutingWait, x.deadline)
	e.executes[x.number] = x
	if e.routeFor(request.Service).complete() {
		e.dispatchExecute(x)
	}
}

// dispatchExecute sends the request to a dispatcher that was not tried before. It is only called when the dispatchers
// tried so far are proved not to have run the request. If none is left, the request is therefore refused as not run.
func (e *Engine) dispatchExecute(x *execute) {
	group, found := e.locate(x)
	if !found {
		e.finishExecute(x, refusedOutcome(failure.NoReplica, noReplicaRetryAfter))
		return
	}
	dispatcher, found := e.PickDispatcher(x.request.Service, group, x.tried, x.askStandbys)
	if !found || slices.Contains(x.tried, dispatcher) {
		e.finishExecute(x, refusedOutcome(failure.Overloaded, allTriedRetryAfter))
		return
	}
	x.tried = append(x.tried, dispatcher)
	x.dispatcher = dispatcher
	x.subQueryID = e.NextID()
	x.sent = true
	x.wakeAt = x.deadline
	e.subQueryOwners[x.subQueryID] = x.number
	e.send(dispatcher, &message.SubQuery{
		ID: x.subQueryID, Service: x.request.Service, Group: group, Shards: []uint32{x.shard}, Snapshot: query.Snapshot{Epoch: x.epoch},
		Execute: true, Body: x.request.Body, RemainingMicroseconds: uint64(max(x.deadline-e.now-executeMargin, 0).Microseconds()),
	})
}

// locate sets the shard of a request in the newest epoch, and returns a group that holds the shard.
func (e *Engine) locate(x *execute) (group uint32, found bool) {
	routing := e.Routing(x.request.Service)
	epoch, total, known := routing.NewestEpoch()
	if !known {
		return 0, false
	}
	x.shard = query.ShardOf(x.request.Key, total)
	x.epoch = epoch
	return routing.GroupOf(x.shard, epoch, e.Region())
}

// refusedOutcome returns the outcome of a request that was proved not to have run.
func refusedOutcome(code failure.Code, retryAfter time.Duration) ticket.Outcome {
	return ticket.Outcome{Failure: failure.NewRefusal(code, "no back end accepted the request", retryAfter)}
}

// unknownOutcome returns the outcome of a request that may have run.
func unknownOutcome(message string) ticket.Outcome {
	return ticket.Outcome{Failure: failure.New(failure.OutcomeUnknown, message)}
}

// receiveExecuteAnswer handles a dispatcher's answer to an execute: a result, a failure, or a refusal after which
// another dispatcher is tried.
func (e *Engine) receiveExecuteAnswer(x *execute, from string, m *message.SubAnswer) {
	if m.ID != x.subQueryID || from != x.dispatcher {
		return
	}
	if len(m.Results) == 1 && m.Results[0].Shard == x.shard {
		outcome := ticket.Outcome{Shard: x.shard}
		if len(m.Results[0].Documents) > 0 {
			outcome.Result = m.Results[0].Documents[0].Body
		}
		e.finishExecute(x, outcome)
		return
	}
	if !m.Done {
		return
	}
	if len(m.Missing) == 0 {
		// The result was sent before this message but has not arrived yet.
		x.wakeAt = min(x.deadline, e.now+resultWait)
		return
	}
	if !m.NotRun {
		e.finishExecute(x, unknownOutcome("no valid answer came from the back end, which may have run the request"))
		return
	}
	delete(e.subQueryOwners, x.subQueryID)
	x.askStandbys = m.Missing[0].Reason != query.ReasonOverloaded
	e.dispatchExecute(x)
}

// executePeerLost handles the loss of the dispatcher. The dispatcher may have run the request if written is true, that
// is if the frame may have been sent.
func (e *Engine) executePeerLost(x *execute, written bool) {
	delete(e.subQueryOwners, x.subQueryID)
	e.MarkSuspect(x.dispatcher)
	if written {
		e.finishExecute(x, unknownOutcome("the connection to the dispatcher was lost and the request may have run"))
		return
	}
	x.askStandbys = true
	e.dispatchExecute(x)
}

// finishExecute sends the outcome to all waiters, and stores it with the ticket for resends.
func (e *Engine) finishExecute(x *execute, outcome ticket.Outcome) {
	delete(e.subQueryOwners, x.subQueryID)
	delete(e.executes, x.number)
	if outcome.Failure != nil && outcome.Failure.Code == failure.OutcomeUnknown {
		e.Counters.UnknownOutcomes++
	}
	e.tickets.RecordOutcome(x.ticketSequence, outcome)
	for _, w := range x.waiters {
		e.answerExecute(w, outcome)
	}
}

// answerExecute sends the outcome of an execute to one waiter.
func (e *Engine) answerExecute(w waiter, outcome ticket.Outcome) {
	switch w := w.(type) {
	case localCaller:
		e.output.ExecuteAnswers = append(e.output.ExecuteAnswers, ExecuteAnswer{Caller: w.caller, Outcome: outcome})
	case forwardingPeer:
		e.send(w.address, forwardReply(w.sequence, outcome))
	default:
		panic(fmt.Sprintf("engine: unhandled type of waiter: %T", w))
	}
}

// forwardReply returns the message that tells a forwarding node the outcome of a request.
func forwardReply(sequence uint64, outcome ticket.Outcome) *message.ForwardReply {
	reply := &message.ForwardReply{Sequence: sequence, Shard: outcome.Shard, Result: outcome.Result}
	if problem := outcome.Failure; problem != nil {
		reply.Code = string(problem.Code)
		reply.Text = problem.Message
		reply.NotRun = problem.NotRun
		reply.RetryAfterMilliseconds = uint32(problem.RetryAfter.Milliseconds())
	}
	return reply
}

// tickExecutes ends the executes whose deadline has passed, and sends those that have waited long enough for the
// holdings of the back ends.
func (e *Engine) tickExecutes() {
	for _, number := range sortedKeys(e.executes) {
		x := e.executes[number]
		if x == nil || e.now < x.wakeAt {
			continue
		}
		switch {
		case !x.sent && e.now < x.deadline:
			e.dispatchExecute(x)
		case !x.sent:
			e.finishExecute(x, refusedOutcome(failure.DeadlineExceeded, 0))
		default:
			e.finishExecute(x, unknownOutcome("the deadline passed before the outcome was known; the request may have run"))
		}
	}
}
