package gateway

import (
	"context"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Call is a request of a caller.
type Call struct {
	// ID is the caller's own id of the request.
	ID   string
	Host string
	Path string
	// Arrived is when the request reached the machine, which may be long before it was read; zero where only the latter is known.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// CallerGone reports whether the caller has left, as the machine knows it now, and ends the context of the call if so. The context
	// alone may end late. Nil where only the context tells.
	CallerGone func() bool
	// Identity is what the request is known by when it comes again with another id; Caller is the address it came from,
	// without the port.
	Identity quarantine.Identity
	Caller   string
	// Message is the request as the adapter holds it, handed through to the back-end client.
	Message any
}

// callerHasLeft reports whether the caller has callerHasLeft.
func (c *Call) callerHasLeft(ctx context.Context) bool {
	return ctx.Err() != nil || c.CallerGone != nil && c.CallerGone()
}

// BackEndRequest is an attempt to be carried out.
type BackEndRequest struct {
	Call    *Call
	Attempt *forward.Attempt
	// Entry of the back end, as it was when the attempt was decided.
	Entry replica.Entry
	// Deadline is when the work is of no more use, unless the machine is suspended before; Left is what is left of it at the
	// moment of a call.
	Deadline  time.Time
	Remaining func() time.Duration
	// CallerGone reports whether nobody waits for the request any more.
	CallerGone func() bool
	// VerifyConnection has a new connection prove first that the back end takes it.
	VerifyConnection bool
	// NotRepeatable: the request cannot be sent again if its connection carries no answer.
	NotRepeatable bool
	// IdleLimit says which connections to the back end may be kept idle for later requests.
	IdleLimit replica.IdleLimit
}

// BackEndClient carries out attempts. One attempt reaches a back end at most once.
type BackEndClient interface {
	Exchange(ctx context.Context, send BackEndRequest) forward.Outcome
	// Prune closes idle connections to endpoints that no back end has any more.
	Prune(inUse func(replica.Endpoint) bool)
}

// Result is the answer to a call.
type Result struct {
	forward.Answer
	// Version of the configuration that decided it, 0 without one.
	Version uint64
	Route   *routing.Route
	// CopyAge is how long before the call the copy of the store was last known to be complete, negative if it never was.
	CopyAge clock.Ms
	// Attempts that were decided, and when the call arrived on the gateway's clock and how long it took.
	Attempts []*forward.Attempt
	Arrived  time.Duration
	Elapsed  time.Duration
	// UnreadFor is how long the call lay in the machine before this node read it, a part of Elapsed.
	UnreadFor time.Duration
	// Denied says, for the shard of an attempt, why an extra attempt that was due was not sent.
	Denied func(*forward.Attempt) forward.DenialReason
	// Unasked gives the shards at which no attempt was begun; nil where the call was refused before any was looked at.
	Unasked func() []forward.UnaskedShard
	// TimeLimit is how long the call could be served from its arrival: what its caller and its route leave; 0 where it was refused
	// before that was looked at.
	TimeLimit time.Duration
	// CallerGone: the caller left; there is nobody to answer.
	CallerGone bool
	// Overload is by what a request was turned away.
	Overload admit.OverloadLevel
}
