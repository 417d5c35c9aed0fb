package gateway

import "strconv"

// Outcomes of requests. The other outcomes are the codes of failures and the statuses of answers from a single back end.
const (
	OutcomeCallerGone = "caller_gone"
	OutcomePartial    = "partial"
	OutcomeComplete   = "complete"
)

// Outcome returns the name of the way in which a request ended.
func (r *Result) Outcome() string {
	switch {
	case r.CallerGone:
		return OutcomeCallerGone
	case r.Failure != nil:
		return string(r.Failure.Code)
	case r.MissingShards > 0:
		return OutcomePartial
	case r.BackEndResponse != nil:
		return strconv.Itoa(r.BackEndResponse.Status)
	}
	return OutcomeComplete
}
