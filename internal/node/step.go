package node

import (
	"time"

	"stiletrail/internal/engine"
)

// step makes one call of the engine and carries out its output, with the lock held. Messages to a peer are sent in
// the order of the steps, because step only queues them and starts goroutines for everything that may block.
func (n *Node) step(call func(now time.Duration) engine.Output) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.perform(call(n.clock.Elapsed()))
	if n.engine.NextWake() < n.wakeAt {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}

// perform carries out an output. The lock must be held.
func (n *Node) perform(output engine.Output) {
	for _, envelope := range output.Sends {
		n.transport.Send(envelope.To, envelope.Message)
	}
	for _, attempt := range output.Attempts {
		n.startAttempt(attempt)
	}
	for _, attempt := range output.Cancels {
		go n.options.BackEnds.Cancel(attempt)
	}
	for _, describe := range output.Describes {
		n.tasks.Go(func() { n.describe(describe) })
	}
	n.performStoreRequests(output)
	for _, answer := range output.SearchAnswers {
		n.searches.deliver(answer.Caller, answer)
	}
	for _, answer := range output.ExecuteAnswers {
		n.executes.deliver(answer.Caller, answer)
	}
	for _, answer := range output.ConfirmAnswers {
		n.confirms.deliver(answer.Caller, answer)
	}
	for _, answer := range output.StatusAnswers {
		n.statuses.deliver(answer.Caller, answer)
	}
}

// runTimer calls the engine's Tick at the times that the engine's NextWake returns, until the node stops.
func (n *Node) runTimer() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
			n.step(n.engine.Tick)
		case <-n.wake:
		}
		n.mutex.Lock()
		n.wakeAt = n.engine.NextWake()
		n.mutex.Unlock()
		timer.Reset(max(n.wakeAt-n.clock.Elapsed(), 0))
	}
}
