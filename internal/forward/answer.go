package forward

import "stiletrail/internal/failure"

// Answer is what the caller gets. One of Passed, Records with Signatures, and Failure is set.
type Answer struct {
	// BackEndResponse is the answer of a single back end, passed back as it is.
	BackEndResponse *Response
	// Records are the greatest records of the parts that are in, greatest first; Signatures are those parts' own.
	Records       []byte
	Signatures    []string
	TotalShards   int
	MissingShards int
	Failure       *failure.Failure
	Reason        Reason
}

// Reason says why a request was answered when it was.
type Reason string

// The reasons.
const (
	Complete        Reason = "complete"
	TargetReached   Reason = "target_reached"
	DeadlineReached Reason = "deadline"
	ShardsFailed    Reason = "shards_failed"
	BackEndFailed   Reason = "back_end_failed"
	NoRoom          Reason = "no_room"
	NoBackEnd       Reason = "no_back_end"
	AllRefused      Reason = "all_refused"
	GivenUp         Reason = "given_up"
	// TurnedAway: the node gets more requests than back ends can answer in time.
	TurnedAway Reason = "turned_away"
	// Quarantined: the request ends the back ends that run it.
	Quarantined Reason = "quarantined"
)

// succeed answers with the parts that are in.
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

// withFailure is the answer of a request over all its shards that failed.
func (r *Request) withFailure(reason Reason, f *failure.Failure) Answer {
	return Answer{Reason: reason, TotalShards: len(r.shards), MissingShards: len(r.shards) - r.answered, Failure: f}
}
