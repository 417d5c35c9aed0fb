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

// BackEnds sends a node's requests to back ends.
type BackEnds interface {
	// Register registers an attempt before it runs, so that it can be cancelled, and returns the context for Run.
	Register(parent context.Context, attempt uint64, remaining time.Duration) context.Context
	// Run sends an attempt and returns its result.
	Run(ctx context.Context, attempt query.Attempt) query.AttemptResult
	// Cancel cancels an attempt.
	Cancel(attempt uint64)
	// Describe asks a back end which shards and snapshots of a service it has. The second result is false if the back
	// end does not answer.
	Describe(ctx context.Context, service, address string) (query.Holding, bool)
	// Close closes the idle connections.
	Close()
}

// NewBackEnds returns a client that sends requests over the connect protocol, with the connection limit of the
// settings.
func NewBackEnds(given settings.Node) BackEnds {
	return backend.NewClient(given.Connections)
}

func (n *Node) startAttempt(attempt query.Attempt) {
	remaining := attempt.Deadline - n.clock.Elapsed()
	ctx := n.options.BackEnds.Register(n.ctx, attempt.Number, remaining)
	n.tasks.Go(func() {
		result := n.options.BackEnds.Run(ctx, attempt)
		n.logAttempt(attempt, result)
		n.step(func(now time.Duration) engine.Output { return n.engine.AttemptEnded(now, result) })
	})
}

// logAttempt logs an attempt that was not sent, got no answer, or got an invalid one. It logs no part of the query or
// the answer.
func (n *Node) logAttempt(attempt query.Attempt, result query.AttemptResult) {
	if result.Status != query.StatusLost && result.Status != query.StatusInvalid && result.Status != query.StatusNotSent {
		return
	}
	n.log.WithFields(logrus.Fields{
		"attempt": attempt.Number, "service": attempt.Service, "back_end": attempt.BackEnd, "reason": result.Status.Reason(),
	}).Debug("attempt failed")
}

// describe asks a back end which shards and snapshots of a service it has, and passes the answer to the engine.
func (n *Node) describe(describe dispatch.Describe) {
	holding, ok := n.options.BackEnds.Describe(n.ctx, describe.Service, describe.BackEnd)
	n.step(func(now time.Duration) engine.Output {
		return n.engine.DescribeDone(now, describe.Service, describe.BackEnd, holding, ok)
	})
}
