package replica

import (
	"math"
	"time"
)

const (
	// faultWeight is the weight of a new attempt in the fault rate: two failures in a row raise a rate of 0 to about
	// one half.
	faultWeight = 0.3
	// faultHalfLife is the time in which the fault rate halves while no attempt ends. A node that serves a service with
	// many back ends tries each of them every second or two.
	faultHalfLife = 4 * time.Second
	// maximumFaultRate limits the rate that is used for predictions, since the odds of a rate of 1 are infinite.
	maximumFaultRate = 0.9
)

// faultRate is the share of recent attempts at a replica that failed: the answer was lost or wrong, or the replica
// refused the request although it reported free slots. A refusal by a full replica is not a fault.
type faultRate struct {
	rate float64
	// at is the time of the last update.
	at time.Duration
}

// current returns the rate, from 0 to 1, decayed since the last update.
func (f *faultRate) current(now time.Duration) float64 {
	return f.rate * math.Exp2(-float64(now-f.at)/float64(faultHalfLife))
}

// record updates the rate with the end of an attempt; failed is 1 for a failed attempt and 0 otherwise.
func (f *faultRate) record(now time.Duration, failed float64) {
	rate := f.current(now)
	f.rate = rate + faultWeight*(failed-rate)
	f.at = now
}

// odds returns the expected number of failed attempts for each successful one.
func (f *faultRate) odds(now time.Duration) float64 {
	return odds(f.current(now))
}

// odds returns the expected number of failed attempts for each successful one, for a share of attempts that fail.
func odds(rate float64) float64 {
	rate = min(rate, maximumFaultRate)
	return rate / (1 - rate)
}
