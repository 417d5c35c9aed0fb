package replica

import "time"

// Load is what a back end tells of itself with an answer. The zero value is of one that tells nothing.
type Load struct {
	// Reported: the back end told it.
	Reported bool
	// Running requests are in its slots, Waiting ones in its queue.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes there at the moment as a multiple of the usual; 1 where that is not told.
	Slowdown float64
}

// HasFreeSlot reports whether a slot was free.
func (l Load) HasFreeSlot() bool { return l.Reported && l.Waiting == 0 && l.Running < l.Slots }

// lastLoad is the load that a replica told last; at is 0 before it told any.
type lastLoad struct {
	Load
	at time.Duration
}

// RecordLoad takes in what the replica told of itself.
func (r *Replica) RecordLoad(now time.Duration, load Load) {
	if load.Reported {
		r.load = lastLoad{load, now}
		r.slowdown = slowdown{load.Slowdown, now}
	}
}
