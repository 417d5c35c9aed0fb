package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// Node is what a request needs of the node that it runs on, as it is at one time.
type Node interface {
	// Pick returns a replica of the service that the options allow, or nil. busy is set if replicas are allowed but
	// all are at their limit of attempts, except perhaps some that nobody can reach.
	Pick(service string, options replica.PickOptions) (chosen *replica.Replica, busy bool)
	// EarliestRecovery returns the earliest time at which one of the replicas that the options allow is not ejected.
	// known is false if the options allow none.
	EarliestRecovery(service string, options replica.PickOptions) (at time.Duration, known bool)
	// FastestAnswer returns the shortest time in which one of the replicas that the options allow can be expected to
	// answer. known is false if the options allow none.
	FastestAnswer(service string, options replica.PickOptions) (latency time.Duration, known bool)
	// SpendHedge takes a hedge out of the service's budget of extra attempts, and reports whether the budget allowed
	// it.
	SpendHedge(service string) bool
	// ExtraAttemptsLeft returns how many extra attempts the service's budget allows now.
	ExtraAttemptsLeft(service string) float64
	// AskForExtra asks other nodes for an extra attempt of the service, and reports whether an answer is expected soon.
	AskForExtra(service string) bool
	// EarliestExtra returns the earliest time at which the service's budget can allow an extra attempt.
	EarliestExtra(service string) time.Duration
	// SpendRetry takes an extra attempt after a failure out of the service's budget, and reports whether the budget
	// allowed it.
	SpendRetry(service string) bool
	// RecordCrash records that a back end crashed during an attempt, and returns the quarantine verdict on the
	// request.
	RecordCrash(attempt *Attempt) quarantine.Verdict
	// RecordAnswer records that a back end answered an attempt.
	RecordAnswer(attempt *Attempt)
	// Verdict returns the present quarantine verdict on the request.
	Verdict() quarantine.Verdict
	// ShardExcluded reports whether the request must not be sent to a service, because it crashes the back ends of
	// that service.
	ShardExcluded(service string) bool
	// RecordSample records what a request that fans out was missing at its target. It is called at most once for a
	// request.
	RecordSample(sample admit.Sample)
}
