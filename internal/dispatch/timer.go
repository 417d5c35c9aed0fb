package dispatch

import (
	"container/heap"
	"time"
)

// timer fires a hedge of an attempt or the deadline of a sub-query.
type timer struct {
	at      time.Duration
	order   uint64
	attempt *attempt
	work    *work
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
