package exchange

import "time"

// SetProofSlack sets how long beyond a way there and back a new connection is watched for its end.
func (p *Pool) SetProofSlack(slack time.Duration) { p.proofSlack = slack }
