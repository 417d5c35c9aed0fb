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

// executeMargin is kept before the deadline for handing the outcome to the caller.
const executeMargin = 5 * time.Millisecond

// resultWait is how long a result may come after the dispatcher's final answer.
const resultWait = 50 * time.Millisecond

// ExecuteRequest is a caller's request that is not repeatable.
type ExecuteRequest struct {
	Service string
	Key     string
	Body    []byte
	Ticket  []byte
	// TimeLimit is the time the caller gives; zero takes the service's deadline.
	TimeLimit time.Duration
}

// execute is a request that is not repeatable under way at the node that minted its ticket.
type execute struct {
	// number is the engine's own; sequence is that of the ticket.
	number   uint64
	ticketSequence uint64
	request  ExecuteRequest
	deadline time.Duration
	// wakeAt is when the wait for what the shards hold is over, or for a result, or the deadline.
	wakeAt time.Duration
	shard  uint32
	epoch  uint64
	// sent: it was handed to a dispatcher, the last time to the one in to, as the sub-query id. tried are all that had it.
	sent  bool
	subQueryID    query.ID
	dispatcher    string
	tried []string
	// askDeputies: the dispatcher was lost or did not know its part, so that a deputy may be asked.
	askDeputies bool
	// waiters are told the outcome: the caller, and those of resends that came meanwhile.
	waiters []waiter
}

// waiter is someone to be told the outcome of an execute: a localCaller, or a forwardingPeer.
type waiter interface{ isWaiter() }

type localCaller struct{ caller Caller }

// forwardingPeer is a node that forwarded the request, with its number for it.
type forwardingPeer struct {
	address  string
	sequence uint64
}

func (localCaller) isWaiter()    {}
func (forwardingPeer) isWaiter() {}

// Execute takes a caller's request that is not repeatable.
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

// timeLimitFor is the time that a request has: what the caller gives, or the service's deadline.
func (e *Engine) timeLimitFor(request ExecuteRequest) time.Duration {
	if request.TimeLimit > 0 {
		return request.TimeLimit
	}
	document, _ := e.catalog.Get(request.Service)
	return max(time.Duration(document.Specification.DeadlineMilliseconds)*time.Millisecond, 10*executeMargin)
}

// acceptExecute uses up the ticket and runs the request, unless that was done before. The first decision is final: a caller
// that was refused asks again with a new ticket.
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
		panic(fmt.Sprintf("engine: no case for the use %T of a ticket", use))
	}
}

// runFresh runs a request whose ticket was not used before, or refuses it.
func (e *Engine) runFresh(w waiter, sequence uint64, request ExecuteRequest) {
	if refusal := e.admit(request.Service); refusal != nil {
		// Final for the ticket: a copy of the request that is still on its way must not run after this.
		e.tickets.Finish(sequence, ticket.Outcome{Failure: refusal})
		e.answerExecute(w, ticket.Outcome{Failure: refusal})
		return
	}
	e.startExecute(w, sequence, request)
}

// executeBody identifies a request: service, key and body, with a zero byte between.
func executeBody(request ExecuteRequest) []byte {
	body := []byte(request.Service)
	body = append(body, 0)
	body = append(body, request.Key...)
	body = append(body, 0)
	return append(body, request.Body...)
}

// joinExecute has a resend wait for the outcome of the request that its ticket was used for.
func (e *Engine) joinExecute(w waiter, sequence uint64) {
	for _, x := range e.executes {
		if x.ticketSequence == sequence {
			x.waiters = append(x.waiters, w)
			return
		}
	}
}

// startExecute runs a request once it is known what the shards hold, or that was waited for long enough.
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

// dispatchExecute hands the request to one dispatcher that was not tried. Where none is left, none has run it.
func (e *Engine) dispatchExecute(x *execute) {
	group, found := e.locate(x)
	if !found {
		e.finishExecute(x, refusedOutcome(failure.NoReplica, noReplicaRetryAfter))
		return
	}
	dispatcher, found := e.PickDispatcher(x.request.Service, group, x.tried, x.askDeputies)
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

// locate finds the shard of a request in the newest epoch, and a group that holds it.
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

func refusedOutcome(code failure.Code, retryAfter time.Duration) ticket.Outcome {
	return ticket.Outcome{Failure: failure.Refused(code, "no back end took the request", retryAfter)}
}

func unknownOutcome(message string) ticket.Outcome {
	return ticket.Outcome{Failure: failure.New(failure.OutcomeUnknown, message)}
}

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
		// The result was sent before this message and is on its way.
		x.wakeAt = min(x.deadline, e.now+resultWait)
		return
	}
	if !m.NotRun {
		e.finishExecute(x, unknownOutcome("the back end was lost while it may have run the request"))
		return
	}
	delete(e.subQueryOwners, x.subQueryID)
	x.askDeputies = m.Missing[0].Reason != query.ReasonOverloaded
	e.dispatchExecute(x)
}

// executePeerLost takes in that the dispatcher was lost: it may have run the request if the frame may have been written.
func (e *Engine) executePeerLost(x *execute, written bool) {
	delete(e.subQueryOwners, x.subQueryID)
	e.MarkSuspect(x.dispatcher)
	if written {
		e.finishExecute(x, unknownOutcome("the dispatcher was lost while it may have run the request"))
		return
	}
	x.askDeputies = true
	e.dispatchExecute(x)
}

// finishExecute tells the outcome to all that wait for it, and keeps it for resends.
func (e *Engine) finishExecute(x *execute, outcome ticket.Outcome) {
	delete(e.subQueryOwners, x.subQueryID)
	delete(e.executes, x.number)
	if outcome.Failure != nil && outcome.Failure.Code == failure.OutcomeUnknown {
		e.Counters.UnknownOutcomes++
	}
	e.tickets.Finish(x.ticketSequence, outcome)
	for _, w := range x.waiters {
		e.answerExecute(w, outcome)
	}
}

func (e *Engine) answerExecute(w waiter, outcome ticket.Outcome) {
	switch w := w.(type) {
	case localCaller:
		e.output.ExecuteAnswers = append(e.output.ExecuteAnswers, ExecuteAnswer{Caller: w.caller, Outcome: outcome})
	case forwardingPeer:
		e.send(w.address, forwardReply(w.sequence, outcome))
	default:
		panic(fmt.Sprintf("engine: no case for the waiter %T", w))
	}
}

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

// tickExecutes ends what its deadline has passed for, and sends what has waited long enough for what the shards hold.
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
			e.finishExecute(x, unknownOutcome("the deadline passed while the request may have been running"))
		}
	}
}
