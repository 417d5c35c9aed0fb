package exchange

import "time"

// MaximumRequests is the number of requests after which a connection is closed.
const MaximumRequests = maximumRequests

// SetVerificationMargin sets the time that is added to the round-trip time when a new connection is verified.
func (p *Pool) SetVerificationMargin(slack time.Duration) { p.verificationMargin = slack }

// SetRecentAnswerWithin sets how long after an answer a connection is considered reliable for a request that must
// not be repeated.
func (p *Pool) SetRecentAnswerWithin(within time.Duration) { p.recentAnswerWithin = within }
