package forward

import (
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
)

// Node is what a request needs of the node that it runs on, at one moment.
type Node interface {
	// Pick returns a replica of the service that the choice allows, or nil; busy is set where each has its attempts.
	Pick(service string, choice replica.PickOptions) (chosen *replica.Replica, busy bool)
	// EarliestRecovery returns the first moment at which one of the replicas that the choice allows is not ejected; false if there
	// is none.
	EarliestRecovery(service string, choice replica.PickOptions) (at time.Duration, known bool)
	// SpendHedge takes an extra attempt that only saves time out of the service's budget.
	SpendHedge(service string) bool
	// ExtraAttemptsLeft is how many extra attempts the service's budget allows now.
	ExtraAttemptsLeft(service string) float64
	// SpendRetry takes an extra attempt after a failure out of the service's budget.
	SpendRetry(service string) bool
	// RecordCrash takes in that a back end ended under an attempt, and gives the verdict on the request.
	RecordCrash(attempt *Attempt) quarantine.Verdict
	// RecordAnswer takes in that a back end answered an attempt.
	RecordAnswer(attempt *Attempt)
	// Verdict on the request as it is known by now.
	Verdict() quarantine.Verdict
	// ShardExcluded reports whether the request is to be kept from a service, whose back ends it ends.
	ShardExcluded(service string) bool
	// RecordSample takes in what a request over many shards lacks at its target, once.
	RecordSample(sample admit.Sample)
}
