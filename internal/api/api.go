// Package api translates between the types of stiletraild and the messages of its API for callers and operators. It
// decides which code of the connect protocol a failure is answered with. It owns no state and does no I/O.
package api

import (
	"errors"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/query"
)

// connectCodes has the code of the connect protocol for each failure code. docs/OPERATIONS.md lists them.
var connectCodes = map[failure.Code]connect.Code{
	failure.InvalidArgument:     connect.CodeInvalidArgument,
	failure.UnknownService:      connect.CodeNotFound,
	failure.NotReady:            connect.CodeUnavailable,
	failure.Leaving:             connect.CodeUnavailable,
	failure.Overloaded:          connect.CodeResourceExhausted,
	failure.NoReplica:           connect.CodeUnavailable,
	failure.CoverageTooLow:      connect.CodeDataLoss,
	failure.SnapshotUnavailable: connect.CodeFailedPrecondition,
	failure.DeadlineExceeded:    connect.CodeDeadlineExceeded,
	failure.OutcomeUnknown:      connect.CodeUnknown,
	failure.TicketInvalid:       connect.CodeInvalidArgument,
	failure.Conflict:            connect.CodeAborted,
	failure.PlanMismatch:        connect.CodeFailedPrecondition,
	failure.StoreUnavailable:    connect.CodeUnavailable,
}

// ToError returns a failure as an error of the API. The error has a FailureDetail with the fields of the failure, and
// with the coverage unless that is nil.
func ToError(problem *failure.Failure, coverage *stiletrailv1.Coverage) error {
	code, known := connectCodes[problem.Code]
	if !known {
		code = connect.CodeInternal
	}
	result := connect.NewError(code, problem)
	detail, err := connect.NewErrorDetail(&stiletrailv1.FailureDetail{
		Code: string(problem.Code), NotRun: problem.NotRun, SafeToRepeat: problem.SafeToRepeat(),
		RetryAfterMilliseconds: uint32(problem.RetryAfter.Milliseconds()), Coverage: coverage,
		CurrentVersion: problem.CurrentVersion, AlternativeAddress: problem.Alternative, Message: problem.Message,
	})
	if err == nil {
		result.AddDetail(detail)
	}
	return result
}

// FromError returns the failure that an error of the API describes, and the error's FailureDetail, or nil if it has none.
// A connect error without a detail gives a failure of code OUTCOME_UNKNOWN, because the request may have run. The
// exception is an oversized request, which is refused before it runs.
func FromError(err error) (*failure.Failure, *stiletrailv1.FailureDetail) {
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return failure.From(err), nil
	}
	for _, attached := range remote.Details() {
		value, err := attached.Value()
		if err != nil {
			continue
		}
		if detail, ok := value.(*stiletrailv1.FailureDetail); ok {
			return fromDetail(detail), detail
		}
	}
	if connect.IsWireError(err) && remote.Code() == connect.CodeResourceExhausted {
		// The connect library refused an oversized request before it reached a handler.
		return failure.NewRefusal(failure.InvalidArgument, remote.Message(), 0), nil
	}
	return failure.Wrap(err, failure.OutcomeUnknown, "the node did not answer, or answered with an error without a detail"), nil
}

func fromDetail(detail *stiletrailv1.FailureDetail) *failure.Failure {
	result := failure.New(failure.Code(detail.GetCode()), detail.GetMessage())
	result.NotRun = detail.GetNotRun()
	result.RetryAfter = time.Duration(detail.GetRetryAfterMilliseconds()) * time.Millisecond
	result.CurrentVersion = detail.GetCurrentVersion()
	result.Alternative = detail.GetAlternativeAddress()
	return result
}

// Coverage returns a coverage as a message of the API.
func Coverage(coverage query.Coverage) *stiletrailv1.Coverage {
	result := &stiletrailv1.Coverage{ShardsTotal: coverage.Total, ShardsAnswered: coverage.Answered, TotalKnown: coverage.TotalKnown}
	for _, missing := range coverage.Missing {
		result.Missing = append(result.Missing, &stiletrailv1.MissingShard{
			Shard: missing.Shard, Reason: stiletrailv1.MissingReason(missing.Reason),
		})
	}
	return result
}

// SearchResponse returns the answer to a search as a message of the API.
func SearchResponse(answer engine.SearchAnswer) *stiletrailv1.SearchResponse {
	response := &stiletrailv1.SearchResponse{
		Coverage: Coverage(answer.Coverage), CatalogVersion: answer.CatalogVersion, ShardAttempts: answer.ShardAttempts,
		Snapshot:                     &stiletrailv1.Snapshot{Version: answer.Snapshot.Version, Epoch: answer.Snapshot.Epoch},
		ConfigurationAgeMilliseconds: ageInMilliseconds(answer.ConfigurationAge),
	}
	for _, shard := range answer.Documents {
		for _, document := range shard.Documents {
			response.Documents = append(response.Documents, &stiletrailv1.Document{
				Shard: shard.Shard, Key: document.Key, Body: document.Body,
			})
		}
	}
	return response
}

// ageInMilliseconds returns the age of the configuration in milliseconds. It returns -1 if the configuration was
// never known to be equal to the store's, which the engine states as a negative age.
func ageInMilliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// StatusResponse returns a node's status as a message of the API.
func StatusResponse(answer engine.StatusAnswer) *stiletrailv1.StatusResponse {
	response := &stiletrailv1.StatusResponse{
		Node: answer.Self.Address, Zone: answer.Self.Zone, Ready: answer.Ready, MembersAlive: uint32(answer.Alive),
		ConfigurationAgeMilliseconds: ageInMilliseconds(answer.ConfigurationAge), Alarms: answer.Alarms,
	}
	for _, service := range answer.Services {
		response.Services = append(response.Services, &stiletrailv1.ServiceStatus{
			Service: service.Service, Version: service.Version, Deleted: service.Deleted,
			NodesInForce: uint32(service.InForce), NodesAsked: uint32(service.Asked), Unreachable: service.Unreachable,
		})
	}
	return response
}
