package gateway

import (
	"context"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/clock"
	"stiletrail/internal/forward"
	"stiletrail/internal/limit"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
	"stiletrail/internal/tenant"
)

// Call is a request of a caller.
type Call struct {
	// ID is the request's ID, which the caller has chosen.
	ID   string
	Host string
	Path string
	// Arrived is when the request reached the machine, which can be long before it was read. It is zero if only the moment
	// of reading is known.
	Arrived time.Time
	// Deadline is when the caller stops waiting. It is zero if the caller did not say.
	Deadline time.Time
	// CallerGone reports whether the caller has disconnected, as the operating system knows it now, and if so cancels the
	// context of the call. The context alone may be cancelled late. CallerGone is nil if only the context shows it.
	CallerGone func() bool
	// Identity identifies the request when it is sent again with another ID. Caller is the address that the request came
	// from, without the port.
	Identity quarantine.Identity
	Caller   string
	// Key is the key that the caller has sent, or the zero Key if it has sent none or several. Tenant is the tenant that
	// holds it in the configuration that the call is served with. It is nil until the key was looked up, on public routes,
	// and if there are no tenants.
	Key    tenant.Key
	Tenant *tenant.Tenant
	// TenantsConfigured is set once the call is served with a configuration that has tenants. Back ends then get no key,
	// and learn of a tenant from this node only.
	TenantsConfigured bool
	// Message is the request in the adapter's own form. It is passed on to the back-end client unread.
	Message any
}

// callerHasLeft reports whether the caller has disconnected.
func (c *Call) callerHasLeft(ctx context.Context) bool {
	return ctx.Err() != nil || c.CallerGone != nil && c.CallerGone()
}

// BackEndRequest is an attempt for a BackEndClient to carry out.
type BackEndRequest struct {
	Call    *Call
	Attempt *forward.Attempt
	// Entry is the entry of the back end at the moment when the attempt was decided.
	Entry replica.Entry
	// Deadline is when the result is not needed any more. If the machine is suspended before, timers that are set to
	// Deadline fire late; Remaining returns the time that is really left at the moment of its call.
	Deadline  time.Time
	Remaining func() time.Duration
	// CallerGone reports whether the caller has disconnected, so that nobody waits for the answer.
	CallerGone func() bool
	// VerifyConnection is set if a new connection must first be verified: a back end that is at its connection limit
	// closes it at once.
	VerifyConnection bool
	// NotRepeatable is set if the request must not be sent again when its connection fails without an answer.
	NotRepeatable bool
	// IdleLimit limits the connections to the back end that are kept idle for later requests.
	IdleLimit replica.IdleLimit
}

// BackEndClient carries out attempts. Each attempt reaches a back end at most once.
type BackEndClient interface {
	Exchange(ctx context.Context, request BackEndRequest) forward.Outcome
	// Prune closes connections that have been idle for long enough, and all idle ones to endpoints that are not in use.
	Prune(inUse func(replica.Endpoint) bool)
}

// Result is the answer to a call.
type Result struct {
	forward.Answer
	// Version is the version of the configuration that the call was served with, or 0 without one.
	Version uint64
	Route   *routing.Route
	// CopyAge is the time between the call and the last moment at which the copy of the store was known to be complete.
	// It is negative if it never was.
	CopyAge clock.Ms
	// Copy describes the copy of the store at the moment of the decision. It is set if the call's route or tenant is not
	// known, because another version of the configuration may have it.
	Copy *CopyStatus
	// Attempts are all attempts that were decided. Arrived is the arrival of the call on the gateway's clock, Elapsed the
	// time from then to the answer.
	Attempts []*forward.Attempt
	Arrived  time.Duration
	Elapsed  time.Duration
	// UnreadFor is how long the call lay unread in the machine. It is a part of Elapsed.
	UnreadFor time.Duration
	// Denied returns, for the shard of an attempt, why an extra attempt that was due was not sent.
	Denied func(*forward.Attempt) forward.DenialReason
	// NeedAtDenial returns, for the shard of an attempt, what the request lacked when an extra attempt was last denied for
	// lack of budget, and false if none was. It is nil if nothing was sent.
	NeedAtDenial func(*forward.Attempt) (limit.Need, bool)
	// Unasked returns the shards to which no attempt was sent. It is nil if the call was refused before any was considered.
	Unasked func() []forward.UnaskedShard
	// TimeLimit is the time, counted from its arrival, in which the call had to be answered: the smaller one of what the
	// caller and the route allow. It is 0 if the call was refused before that was determined.
	TimeLimit time.Duration
	// CallerGone is set if the caller disconnected, so that there is nobody to answer.
	CallerGone bool
	// Quota is what decided that the call was refused because of its tenant's limit. It is nil for other calls.
	Quota *QuotaDecision
	// Prioritized is set if priorities were in force. Then Rank is the rank of the request, with 0 the highest, and Waited
	// the longest time for which one of its shards waited for capacity of its back ends.
	Prioritized bool
	Rank        int
	Waited      time.Duration
	// Overload is the overload that made the gateway reject the request.
	Overload admit.OverloadLevel
}
