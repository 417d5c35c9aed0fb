package engine

import (
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/membership"
)

// A node refuses requests itself in the cases below. Each refusal proves that nothing ran. Requests that back ends
// refuse or fail to answer are handled in packages scatter and dispatch. The list gives each failure code, its cause
// and its retry-after time:
//
//	LEAVING          The node is stopping. The caller may retry at once at another node, whose address is given.
//	NOT_READY        The node does not know the configuration and the members yet, or joins again after a freeze:
//	                 notReadyRetryAfter. Tickets are also refused within mintWait after the node was first ready.
//	OVERLOADED       Settings.MaximumQueries searches and executes are in flight: tooManyRetryAfter. Or all dispatchers
//	                 of an execute were asked and none has run it: allTriedRetryAfter.
//	UNKNOWN_SERVICE  The service is not in the catalog. There is no retry-after time.
//	NO_REPLICA       No group is known to hold the shard of an execute: noReplicaRetryAfter.
const (
	notReadyRetryAfter  = time.Second
	noReplicaRetryAfter = time.Second
	tooManyRetryAfter   = 100 * time.Millisecond
	allTriedRetryAfter  = 50 * time.Millisecond
)

// notReady returns the refusal of a node that is not ready.
func notReady(message string) *failure.Failure {
	return failure.NewRefusal(failure.NotReady, message, notReadyRetryAfter)
}

// admit returns the refusal of a search or an execute that this node cannot accept now, or nil if it is admitted.
func (e *Engine) admit(service string) *failure.Failure {
	switch {
	case e.leaving:
		return e.leavingFailure()
	case !e.serving():
		return notReady("the node has not finished loading the configuration and joining the other nodes")
	case len(e.searches)+len(e.executes) >= e.settings.MaximumQueries:
		return failure.NewRefusal(failure.Overloaded, "the node has reached its maximum number of requests in flight", tooManyRetryAfter)
	}
	if document, found := e.catalog.Get(service); !found || document.Deleted {
		return failure.NewRefusal(failure.UnknownService, "the service is not in the catalog", 0)
	}
	return nil
}

// leavingFailure returns the refusal of a node that is stopping, with the address of another node if one is known.
func (e *Engine) leavingFailure() *failure.Failure {
	result := failure.NewRefusal(failure.Leaving, "the node is stopping; send the request to another node", 0)
	others := e.members.Pick(1, func(m membership.Member) bool { return m.State == membership.Alive })
	if len(others) > 0 {
		result.Alternative = others[0]
	}
	return result
}

// mintWait is how long after it was first ready a node mints no tickets. By then all other nodes know it and can
// forward requests with its tickets to it.
const mintWait = 3 * time.Second

// MintTicket returns a new ticket, which admits one request that is not repeatable.
func (e *Engine) MintTicket(now time.Duration) ([]byte, error) {
	e.beginCall(now)
	if e.leaving {
		return nil, e.leavingFailure()
	}
	if !e.Ready() || now-e.readyAt < mintWait {
		// Other nodes may not know this one yet, and could not forward requests with the ticket to it.
		return nil, notReady("the node has not finished joining the other nodes, or has done so only recently")
	}
	return e.tickets.Mint(now), nil
}
