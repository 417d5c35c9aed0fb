package dispatch

import (
	"container/heap"
	"time"

	"stiletrail/internal/query"
)

// timer fires a hedge of an attempt or the deadline of a sub-query.
type timer struct {
	at       time.Duration
	order    uint64
	attempt  *attempt
	subQuery *subQuery
}

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

func (c *Core) schedule(t timer) {
	c.number++
	t.order = c.number
	heap.Push(&c.timers, t)
}

// NextWake returns when Tick must be called at the latest; false while nothing is due.
func (c *Core) NextWake() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick fires what is due: hedges, deadlines and the probes of idle back ends.
func (c *Core) Tick(now time.Duration) []Action {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		due := heap.Pop(&c.timers).(timer)
		if due.attempt != nil {
			c.hedge(now, due.attempt)
		} else if !due.subQuery.finished {
			c.finish(now, due.subQuery, query.ReasonDeadline)
		}
	}
	return c.take()
}
