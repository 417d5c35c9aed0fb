package replica

import (
	"math"
	"time"
)

const (
	// faultGain is the weight of a new attempt in the share of those that failed: two failures in a row are believed by half.
	faultGain = 0.3
	// faultMemory is the time in which what is known of faults loses half of its weight. A node tries a back end of a wide service each second or two.
	faultMemory = 4 * time.Second
	// mostFaults bounds what is expected of a replica all of whose attempts have failed.
	mostFaults = 0.9
)

// faultRate is the share of attempts of late that failed: that were lost, answered wrongly, or refused though the replica told of free slots. Being full
// is no fault.
func (r *Replica) faultRate(now time.Duration) float64 {
	return r.faults * math.Exp2(-float64(now-r.faultsAt)/float64(faultMemory))
}

// noteFault takes in an attempt; failed is 1 for one that did, else 0.
func (r *Replica) noteFault(now time.Duration, failed float64) {
	rate := r.faultRate(now)
	r.faults = rate + faultGain*(failed-rate)
	r.faultsAt = now
}

// faultOdds is how many attempts are expected to fail for one that does not.
func (r *Replica) faultOdds(now time.Duration) float64 {
	rate := min(r.faultRate(now), mostFaults)
	return rate / (1 - rate)
}
