package gateway

import "strconv"

// Outcomes of requests, beside the codes of failures and the statuses of single back ends.
const (
	OutcomeCallerGone = "caller_gone"
	OutcomePartial    = "partial"
	OutcomeComplete   = "complete"
)

// Outcome names how a request ended.
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
