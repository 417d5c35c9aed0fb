package dispatch

import (
	"container/heap"
	"fmt"
	"time"

	"stiletrail/internal/query"
)

// timerSubject is what a timer is set for: an *attempt, which is hedged if needed when the timer fires, or a *subQuery,
// whose deadline passes then.
type timerSubject interface{ isTimed() }

func (*attempt) isTimed()  {}
func (*subQuery) isTimed() {}

type timer struct {
	at time.Duration
	// order is the order in which timers of the same time fire.
	order   uint64
	subject timerSubject
}

// timerHeap is a min-heap of timers: the first one fires next.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(value any) { *h = append(*h, value.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return value
}

// schedule sets a timer for the subject.
func (c *Core) schedule(at time.Duration, subject timerSubject) {
	c.number++
	heap.Push(&c.timers, timer{at: at, order: c.number, subject: subject})
}

// NextWake returns the time at which Tick must be called at the latest, and false if no timer is set.
func (c *Core) NextWake() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick fires the timers that are due, which are those of hedges and of deadlines.
func (c *Core) Tick(now time.Duration) []Action {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		switch subject := heap.Pop(&c.timers).(timer).subject.(type) {
		case *attempt:
			c.hedge(now, subject)
		case *subQuery:
			if !subject.finished {
				c.finish(now, subject, query.ReasonDeadline)
			}
		default:
			panic(fmt.Sprintf("dispatch: no case for a timer of %T", subject))
		}
	}
	return c.takeActions()
}
