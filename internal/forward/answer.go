package forward

import "stiletrail/internal/failure"

// Answer is what the caller gets. Exactly one of BackEndResponse, Records with Signatures, and Failure is set.
type Answer struct {
	// BackEndResponse is the answer of a single back end, returned to the caller unchanged.
	BackEndResponse *Response
	// Records are the greatest records of all shards that have answered, greatest first. Signatures are those of
	// these shards' answers.
	Records       []byte
	Signatures    []string
	TotalShards   int
	MissingShards int
	Failure       *failure.Failure
	Reason        Reason
}

// Reason is why a request was answered when it was.
type Reason string

// Reasons why a request was answered.
const (
	// Complete means that all shards have answered.
	Complete Reason = "complete"
	// TargetReached means that enough shards have answered at the target latency.
	TargetReached Reason = "target_reached"
	// DeadlineReached means that the deadline came.
	DeadlineReached Reason = "deadline"
	// ShardsFailed means that too few shards can still answer, or that enough have and the others cannot answer in
	// time.
	ShardsFailed Reason = "shards_failed"
	// BackEndFailed means that the only back end asked gave a failure of its own.
	BackEndFailed Reason = "back_end_failed"
	// NoRoom means that every replica was at its limit, so that nothing was sent.
	NoRoom Reason = "no_room"
	// NoBackEnd means that too few shards have a back end that can be asked.
	NoBackEnd Reason = "no_back_end"
	// AllRefused means that no back end accepted the request.
	AllRefused Reason = "all_refused"
	// GivenUp means that the node is stopping.
	GivenUp Reason = "given_up"
	// TurnedAway means that the node refused the request on arrival, since it gets more requests than back ends can
	// answer in time.
	TurnedAway Reason = "turned_away"
	// Quarantined means that the request crashes the back ends that run it.
	Quarantined Reason = "quarantined"
	// LateInStop means that the node refused the request on arrival, since it stops before the request can have ended.
	LateInStop Reason = "late_in_stop"
	// QuotaExceeded means that the tenant has used up its limit. QuotaUnanswered means that this node did not learn in
	// time whether it has.
	QuotaExceeded   Reason = "quota_exceeded"
	QuotaUnanswered Reason = "quota_unanswered"
	// NoKey means that the request carries no key, or several different ones, although its route is not public.
	NoKey Reason = "no_key"
	// UnknownKey means that no tenant of the configuration holds the key of the request.
	UnknownKey Reason = "unknown_key"
)

// succeed answers with the shards that have answered.
func (r *Request) succeed(reason Reason) {
	if !r.route.FansOut() {
		r.finish(Answer{BackEndResponse: r.shards[0].response(), TotalShards: 1, Reason: reason})
		return
	}
	answer := Answer{TotalShards: len(r.shards), MissingShards: len(r.shards) - r.answered, Reason: reason}
	merger := newMerger(r.route.MaximumRecords)
	for i := range r.shards {
		response := r.shards[i].response()
		if response == nil {
			continue
		}
		answer.Signatures = append(answer.Signatures, response.Signature)
		merger.add(response.Body)
	}
	answer.Records = merger.bytes()
	r.finish(answer)
}

// failureAnswer returns the answer of a failed request, with how many of its shards are missing.
func (r *Request) failureAnswer(reason Reason, f *failure.Failure) Answer {
	return Answer{Reason: reason, TotalShards: len(r.shards), MissingShards: len(r.shards) - r.answered, Failure: f}
}
