package engine

import (
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/ticket"
)

// forwardedExecute is a request that is forwarded to the node that minted its ticket.
type forwardedExecute struct {
	caller   Caller
	peer     string
	request  ExecuteRequest
	deadline time.Duration
	// giveUpAt is when the request ends with an unknown outcome: after discoveryWait if it is not sent by then,
	// otherwise at the deadline.
	giveUpAt time.Duration
	// sent is false while this node does not know the peer yet, for example because the peer has just started.
	sent bool
}

// discoveryWait is how long a request is kept while this node learns from others of the node that minted its ticket.
const discoveryWait = 300 * time.Millisecond

// discoveryPeers is the number of members that are asked for their view of the membership when a node is unknown here.
const discoveryPeers = 3

// forwardExecute forwards a request to the node that minted its ticket. The address comes from the caller and is not
// trusted: this node only connects to nodes that are members.
func (e *Engine) forwardExecute(caller Caller, to string, request ExecuteRequest) {
	within := e.timeLimitFor(request)
	f := &forwardedExecute{caller: caller, peer: to, request: request, deadline: e.now + within - executeMargin}
	f.giveUpAt = min(f.deadline, e.now+discoveryWait)
	sequence := e.nextNumber()
	e.forwards[sequence] = f
	if _, known := e.members.Lookup(to); !known {
		for _, peer := range e.members.Pick(discoveryPeers, membership.Member.Usable) {
			e.sendAll(e.members.RequestView(peer))
		}
	}
	e.sendForward(sequence, f)
}

// sendForward sends a forwarded request if the node that minted its ticket is known.
func (e *Engine) sendForward(sequence uint64, f *forwardedExecute) {
	member, known := e.members.Lookup(f.peer)
	if !known {
		return
	}
	if member.State == membership.Dead {
		// The node may have run the request before it failed. A node that is leaving still serves its tickets.
		e.forwardLost(f.peer, sequence)
		return
	}
	f.sent = true
	f.giveUpAt = f.deadline
	e.send(f.peer, &message.ForwardExecute{
		Sequence: sequence, Service: f.request.Service, Key: f.request.Key, Body: f.request.Body, Ticket: f.request.Ticket,
		RemainingMicroseconds: uint64(max(f.deadline-e.now-executeMargin, 0).Microseconds()),
	})
}

// receiveForward handles a request that a peer has forwarded to this node.
func (e *Engine) receiveForward(from string, m *message.ForwardExecute) {
	e.acceptExecute(forwardingPeer{address: from, sequence: m.Sequence}, ExecuteRequest{
		Service: m.Service, Key: m.Key, Body: m.Body, Ticket: m.Ticket,
		TimeLimit: time.Duration(m.RemainingMicroseconds) * time.Microsecond,
	})
}

// receiveForwardReply returns the outcome of a forwarded request to its caller.
func (e *Engine) receiveForwardReply(from string, m *message.ForwardReply) {
	f := e.forwards[m.Sequence]
	if f == nil || f.peer != from {
		return
	}
	delete(e.forwards, m.Sequence)
	outcome := ticket.Outcome{Shard: m.Shard, Result: m.Result}
	if m.Code != "" {
		outcome.Failure = failure.New(failure.Code(m.Code), m.Text)
		outcome.Failure.NotRun = m.NotRun
		outcome.Failure.RetryAfter = time.Duration(m.RetryAfterMilliseconds) * time.Millisecond
	}
	e.answerExecute(localCaller{f.caller}, outcome)
}

// tickForwards sends the forwarded requests whose node has become known, and ends those that have waited too long.
func (e *Engine) tickForwards() {
	for _, sequence := range sortedKeys(e.forwards) {
		f := e.forwards[sequence]
		if !f.sent {
			e.sendForward(sequence, f)
		}
		if f = e.forwards[sequence]; f != nil && e.now >= f.giveUpAt {
			delete(e.forwards, sequence)
			unknown := unknownOutcome("the node that minted the ticket did not answer in time or is not a known member")
			e.answerExecute(localCaller{f.caller}, unknown)
		}
	}
}
