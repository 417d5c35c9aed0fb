package replica

import "time"

// Load is the load that a back end reports with an answer. The zero value stands for a back end that reports none.
type Load struct {
	// Reported is set if the back end reported its load.
	Reported bool
	// Running is the number of requests in the back end's slots, Waiting the number in its queue.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times longer than usual work takes at the back end at the moment. It is 1 if the back end does
	// not report it.
	Slowdown float64
}

// HasFreeSlot reports whether the back end had a free slot.
func (l Load) HasFreeSlot() bool { return l.Reported && l.Waiting == 0 && l.Running < l.Slots }

// lastLoad is the load that a replica reported last. Its time is 0 until the replica has reported a load.
type lastLoad struct {
	Load
	at time.Duration
}

// RecordLoad stores the load that the replica reported.
func (r *Replica) RecordLoad(now time.Duration, load Load) {
	if load.Reported {
		r.load = lastLoad{load, now}
		r.slowdown = slowdown{load.Slowdown, now}
	}
}
