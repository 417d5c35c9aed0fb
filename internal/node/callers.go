package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/api"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
)

// queryServer is the query service of a node: searches and executes of callers.
type queryServer struct{ node *Node }

// timeLimit returns the shorter of the deadline that the request states and the deadline of its connect call. It
// returns zero if there is neither.
func timeLimit(ctx context.Context, milliseconds uint32) time.Duration {
	limit := time.Duration(milliseconds) * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		if limit == 0 || remaining < limit {
			limit = remaining
		}
	}
	return limit
}

// Search implements the query service.
func (s queryServer) Search(
	ctx context.Context, request *connect.Request[stiletrailv1.SearchRequest],
) (*connect.Response[stiletrailv1.SearchResponse], error) {
	started := time.Now()
	answer, err := submit(ctx, s.node, s.node.searches, func(now time.Duration, caller engine.Caller) engine.Output {
		return s.node.engine.Search(now, caller, engine.SearchRequest{
			Service: request.Msg.GetService(), Body: request.Msg.GetQuery(),
			TimeLimit: timeLimit(ctx, request.Msg.GetDeadlineMilliseconds()), MinimumVersion: request.Msg.GetMinimumVersion(),
		})
	})
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	s.node.observeSearch(answer, time.Since(started))
	if answer.Failure != nil {
		s.node.logFailure("search", request.Msg.GetService(), answer.Caller, answer.Failure)
		return nil, api.ToError(answer.Failure, api.Coverage(answer.Coverage))
	}
	return connect.NewResponse(api.SearchResponse(answer)), nil
}

// MintTicket implements the query service.
func (s queryServer) MintTicket(
	context.Context, *connect.Request[stiletrailv1.MintTicketRequest],
) (*connect.Response[stiletrailv1.MintTicketResponse], error) {
	var minted []byte
	var err error
	s.node.step(func(now time.Duration) engine.Output {
		minted, err = s.node.engine.MintTicket(now)
		return engine.Output{}
	})
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	return connect.NewResponse(&stiletrailv1.MintTicketResponse{Ticket: minted}), nil
}

// Execute implements the query service.
func (s queryServer) Execute(
	ctx context.Context, request *connect.Request[stiletrailv1.ExecuteRequest],
) (*connect.Response[stiletrailv1.ExecuteResponse], error) {
	answer, err := submit(ctx, s.node, s.node.executes, func(now time.Duration, caller engine.Caller) engine.Output {
		return s.node.engine.Execute(now, caller, engine.ExecuteRequest{
			Service: request.Msg.GetService(), Key: request.Msg.GetKey(), Body: request.Msg.GetBody(),
			Ticket: request.Msg.GetTicket(), TimeLimit: timeLimit(ctx, request.Msg.GetDeadlineMilliseconds()),
		})
	})
	if err != nil {
		return nil, api.ToError(failure.New(failure.OutcomeUnknown,
			"the caller disconnected, or its deadline passed, before the outcome was known"), nil)
	}
	if problem := answer.Outcome.Failure; problem != nil {
		s.node.logFailure("execute", request.Msg.GetService(), answer.Caller, problem)
		return nil, api.ToError(problem, nil)
	}
	return connect.NewResponse(&stiletrailv1.ExecuteResponse{Shard: answer.Outcome.Shard, Result: answer.Outcome.Result}), nil
}

// logFailure logs a failed request. It logs no part of the caller's query.
func (n *Node) logFailure(operation, service string, request engine.Caller, problem *failure.Failure) {
	n.log.WithFields(logrus.Fields{
		"operation": operation, "request": uint64(request), "service": service, "failure": problem.Code, "not_run": problem.NotRun,
	}).Debug("request failed")
}
