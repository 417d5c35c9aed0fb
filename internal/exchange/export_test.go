package exchange

import "time"

// SetVerificationMargin sets how long beyond a way there and back a new connection is watched for its end.
func (p *Pool) SetVerificationMargin(slack time.Duration) { p.verificationMargin = slack }

// SetRecentAnswerWithin sets how long after an answer a connection counts as sound for a request that cannot be sent again.
func (p *Pool) SetRecentAnswerWithin(within time.Duration) { p.recentAnswerWithin = within }
