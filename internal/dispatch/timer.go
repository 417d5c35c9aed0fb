package dispatch

import (
	"container/heap"
	"fmt"
	"time"

	"stiletrail/internal/query"
)

// timed is what a timer is set for: an *attempt, which may be hedged then, or a *subQuery, whose deadline passes then.
type timed interface{ isTimed() }

func (*attempt) isTimed()  {}
func (*subQuery) isTimed() {}

type timer struct {
	at time.Duration
	// order tells timers of one moment apart.
	order   uint64
	subject timed
}

// timerHeap has the timer that fires next first.
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

func (c *Core) schedule(at time.Duration, subject timed) {
	c.number++
	heap.Push(&c.timers, timer{at: at, order: c.number, subject: subject})
}

// NextWake returns when Tick must be called at the latest; false while nothing is due.
func (c *Core) NextWake() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick fires the timers whose time has come: those of hedges and deadlines.
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
	return c.take()
}
