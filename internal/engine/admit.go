package engine

import (
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/membership"
)

// The refusals of a node. Each proves that nothing ran; what back ends refuse, or fail to answer, is decided in scatter and
// dispatch.
//
//	LEAVING          the node is stopping: at once, at another node, whose address is given
//	NOT_READY        it does not know the configuration and the members yet, or joins them anew after a freeze:
//	                 notReadyRetryAfter. Tickets also within mintWait of being ready for the first time
//	OVERLOADED       Settings.MaximumQueries searches and executes are under way: tooManyRetryAfter. An execute whose
//	                 dispatchers are all asked and have not run it: allTriedRetryAfter
//	UNKNOWN_SERVICE  no time to come back
//	NO_REPLICA       nobody is known to hold the shard of an execute: noReplicaRetryAfter
const (
	notReadyRetryAfter  = time.Second
	noReplicaRetryAfter = time.Second
	tooManyRetryAfter   = 100 * time.Millisecond
	allTriedRetryAfter     = 50 * time.Millisecond
)

func notReady(message string) *failure.Failure {
	return failure.Refused(failure.NotReady, message, notReadyRetryAfter)
}

// admit refuses a search or an execute that this node cannot take now; nil admits it.
func (e *Engine) admit(service string) *failure.Failure {
	switch {
	case e.leaving:
		return e.leavingFailure()
	case !e.serving():
		return notReady("the node has no trustworthy configuration yet")
	case len(e.searches)+len(e.executes) >= e.settings.MaximumQueries:
		return failure.Refused(failure.Overloaded, "the node has too many requests under way", tooManyRetryAfter)
	}
	if document, found := e.catalog.Get(service); !found || document.Deleted {
		return failure.Refused(failure.UnknownService, "no such service", 0)
	}
	return nil
}

func (e *Engine) leavingFailure() *failure.Failure {
	result := failure.Refused(failure.Leaving, "the node is stopping; ask another", 0)
	others := e.members.Pick(1, func(m membership.Member) bool { return m.State == membership.Alive })
	if len(others) > 0 {
		result.Alternative = others[0]
	}
	return result
}

// mintWait after a node was first ready all others know it, and forward its tickets to it.
const mintWait = 3 * time.Second

// MintTicket returns a ticket for one request that is not repeatable.
func (e *Engine) MintTicket(now time.Duration) ([]byte, error) {
	e.beginCall(now)
	if e.leaving {
		return nil, e.leavingFailure()
	}
	if !e.Ready() || now-e.readyAt < mintWait {
		// Other nodes may not know this one yet, and could not forward the ticket.
		return nil, notReady("the node has no trustworthy configuration yet")
	}
	return e.tickets.Mint(now), nil
}
