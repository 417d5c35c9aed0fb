package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"stiletrail/internal/backend"
	"stiletrail/internal/dispatch"
	"stiletrail/internal/engine"
	"stiletrail/internal/query"
	"stiletrail/internal/settings"
)

// BackEnds is what a node needs of back ends.
type BackEnds interface {
	// Begin registers an attempt before it runs, so that it can be cancelled.
	Begin(parent context.Context, attempt uint64, remaining time.Duration) context.Context
	// Run sends an attempt and returns what came of it.
	Run(ctx context.Context, attempt query.Attempt) query.AttemptResult
	// Cancel gives up an attempt.
	Cancel(attempt uint64)
	// Describe asks a back end what it holds for a service.
	Describe(ctx context.Context, service, address string) (query.Holding, bool)
	// Close releases connections.
	Close()
}

// NewBackEnds returns the connect adapter with the settings' connection limit.
func NewBackEnds(given settings.Node) BackEnds {
	return backend.NewClient(given.Connections)
}

func (n *Node) startAttempt(attempt query.Attempt) {
	remaining := attempt.Deadline - n.clock.Elapsed()
	ctx := n.options.BackEnds.Begin(n.ctx, attempt.Number, remaining)
	n.tasks.Go(func() {
		result := n.options.BackEnds.Run(ctx, attempt)
		n.logAttempt(attempt, result)
		n.step(func(now time.Duration) engine.Output { return n.engine.AttemptEnded(now, result) })
	})
}

// logAttempt logs an attempt that got no answer, or a broken one; nothing of its query or answer is logged.
func (n *Node) logAttempt(attempt query.Attempt, result query.AttemptResult) {
	if result.Status != query.StatusLost && result.Status != query.StatusInvalid && result.Status != query.StatusNotSent {
		return
	}
	n.log.WithFields(logrus.Fields{
		"attempt": attempt.Number, "service": attempt.Service, "back_end": attempt.BackEnd, "reason": result.Status.Reason(),
	}).Debug("attempt failed")
}

// describe asks a back end what it holds.
func (n *Node) describe(describe dispatch.Describe) {
	holding, ok := n.options.BackEnds.Describe(n.ctx, describe.Service, describe.BackEnd)
	n.step(func(now time.Duration) engine.Output {
		return n.engine.DescribeDone(now, describe.Service, describe.BackEnd, holding, ok)
	})
}
