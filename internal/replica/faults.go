package replica

import (
	"math"
	"time"
)

const (
	// faultWeight is the weight of a new attempt in the rate: two failures in a row are believed by half.
	faultWeight = 0.3
	// faultHalfLife is the time in which the rate halves without news. A node tries a back end of a wide service each second or two.
	faultHalfLife = 4 * time.Second
	// maximumFaultRate bounds what is expected of a replica all of whose attempts have failed.
	maximumFaultRate = 0.9
)

// faultRate is the share of the attempts of late at a replica that failed: that were lost, answered wrongly, or refused
// though the replica told of free slots. Being full is no fault.
type faultRate struct {
	rate float64
	// at is when the rate was so.
	at time.Duration
}

// current is the rate, from 0 to 1, decayed since the last attempt.
func (f *faultRate) current(now time.Duration) float64 {
	return f.rate * math.Exp2(-float64(now-f.at)/float64(faultHalfLife))
}

// record takes in an attempt; failed is 1 for one that did, else 0.
func (f *faultRate) record(now time.Duration, failed float64) {
	rate := f.current(now)
	f.rate = rate + faultWeight*(failed-rate)
	f.at = now
}

// odds is how many attempts are expected to fail for one that does not.
func (f *faultRate) odds(now time.Duration) float64 {
	rate := min(f.current(now), maximumFaultRate)
	return rate / (1 - rate)
}
