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
	"stiletrail/internal/intent"
)

// operatorServer is the operator service of a node: plans, confirmations and the status.
type operatorServer struct{ node *Node }

// Plan implements the operator service.
func (s operatorServer) Plan(
	_ context.Context, request *connect.Request[stiletrailv1.PlanRequest],
) (*connect.Response[stiletrailv1.PlanResponse], error) {
	wanted, err := intent.Parse(request.Msg.GetIntent())
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	var plan intent.Plan
	expires := time.Now().Add(intent.PlanLifetime).Unix()
	s.node.Inspect(func(e *engine.Engine) { plan, err = e.Plan(wanted, expires) })
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	return connect.NewResponse(&stiletrailv1.PlanResponse{
		Service: plan.Service, BaseVersion: plan.BaseVersion, Digest: plan.Digest, ExpiresUnixSeconds: plan.ExpiresUnixSeconds,
		Changes: plan.Changes, BackEnds: plan.BackEnds, Warnings: plan.Warnings,
	}), nil
}

// Confirm implements the operator service.
func (s operatorServer) Confirm(
	ctx context.Context, request *connect.Request[stiletrailv1.ConfirmRequest],
) (*connect.Response[stiletrailv1.ConfirmResponse], error) {
	wanted, err := parseConfirmation(request.Msg)
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	// The confirmation continues if the operator's connection is lost, because the change may be in the store already.
	answer, err := submit(ctx, s.node, s.node.confirms, func(now time.Duration, caller engine.Caller) engine.Output {
		return s.node.engine.Confirm(now, caller, engine.ConfirmRequest{
			Intent: wanted, BaseVersion: request.Msg.GetBaseVersion(), Operation: request.Msg.GetOperation(),
		})
	})
	if err != nil {
		return nil, api.ToError(failure.New(failure.OutcomeUnknown,
			"the operator's connection ended before the change was accepted or refused"), nil)
	}
	s.node.logConfirm(answer)
	if answer.Failure != nil {
		return nil, api.ToError(answer.Failure, nil)
	}
	return connect.NewResponse(&stiletrailv1.ConfirmResponse{
		Service: answer.Service, Version: answer.Version, Copies: uint32(answer.Copies), CopyZones: uint32(answer.CopyZones),
	}), nil
}

// parseConfirmation parses the intent of a confirmation and checks that it is the intent of the plan that is confirmed.
func parseConfirmation(request *stiletrailv1.ConfirmRequest) (intent.Intent, error) {
	wanted, err := intent.Parse(request.GetIntent())
	if err != nil {
		return wanted, err
	}
	err = intent.CheckConfirmation(wanted, request.GetBaseVersion(), request.GetExpiresUnixSeconds(), request.GetDigest(), time.Now().Unix())
	if err != nil {
		return wanted, err
	}
	if request.GetOperation() == "" {
		const problem = "operation: found nothing, allowed is an id of the operator's choice"
		return wanted, failure.NewRefusal(failure.InvalidArgument, problem, 0)
	}
	return wanted, nil
}

func (n *Node) logConfirm(answer engine.ConfirmAnswer) {
	log := n.log.WithFields(logrus.Fields{"operation": "confirm", "service": answer.Service, "version": answer.Version})
	if answer.Failure != nil {
		log.WithField("failure", answer.Failure.Code).Warn("change not accepted")
		return
	}
	log.WithField("copies", answer.Copies).Info("change accepted")
}

// Status implements the operator service.
func (s operatorServer) Status(
	ctx context.Context, request *connect.Request[stiletrailv1.StatusRequest],
) (*connect.Response[stiletrailv1.StatusResponse], error) {
	answer, err := submit(ctx, s.node, s.node.statuses, func(now time.Duration, caller engine.Caller) engine.Output {
		return s.node.engine.Status(now, caller, request.Msg.GetService())
	})
	if err != nil {
		return nil, api.ToError(failure.From(err), nil)
	}
	return connect.NewResponse(api.StatusResponse(answer)), nil
}
