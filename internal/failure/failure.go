// Package failure defines the error type that is passed between packages and, over the wire, between processes.
//
// Every failure has a code. It says whether it is proved that no back end ran the request, whether the request is safe
// to repeat, and after which time to retry. Programs decide by these fields, never by the text.
package failure

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Code is the kind of a failure. The values are part of the API and never change their meaning.
type Code string

// The codes. docs/OPERATIONS.md says what an operator does for each.
const (
	// InvalidArgument means that the request itself is invalid. Repeating it does not help.
	InvalidArgument Code = "INVALID_ARGUMENT"
	// UnknownService means that the catalog has no such service.
	UnknownService Code = "UNKNOWN_SERVICE"
	// Unauthenticated means that the request carries no key, or one that no tenant of the configuration holds.
	Unauthenticated Code = "UNAUTHENTICATED"
	// NotReady means that the node has no trustworthy catalog yet.
	NotReady Code = "NOT_READY"
	// Leaving means that the node is stopping. The request can be sent to another node.
	Leaving Code = "LEAVING"
	// Overloaded means that the request was refused before any back end ran it, because it could not be answered in time.
	Overloaded Code = "OVERLOADED"
	// QuotaExceeded means that the tenant of the caller has used up its limit, or that the node did not learn in time
	// whether it has. No back end ran the request.
	QuotaExceeded Code = "QUOTA_EXCEEDED"
	// NoReplica means that no back end that holds the shards can be reached. No back end ran the request.
	NoReplica Code = "NO_REPLICA"
	// CoverageTooLow means that fewer shards answered than the minimum coverage of the service requires.
	CoverageTooLow Code = "COVERAGE_TOO_LOW"
	// SnapshotUnavailable means that the back ends do not have the requested minimum version yet.
	SnapshotUnavailable Code = "SNAPSHOT_UNAVAILABLE"
	// Quarantined means that the request crashes the back ends that run it. It is sent to none of them for some time.
	Quarantined Code = "QUARANTINED"
	// DeadlineExceeded means that the deadline of the request passed before it was answered.
	DeadlineExceeded Code = "DEADLINE_EXCEEDED"
	// OutcomeUnknown means that it is not known whether the request has taken effect.
	OutcomeUnknown Code = "OUTCOME_UNKNOWN"
	// TicketInvalid means that the ticket was not signed by the node that it names, has expired or is malformed. No
	// back end ran the request.
	TicketInvalid Code = "TICKET_INVALID"
	// Conflict means that the base version of a plan is no longer the current version.
	Conflict Code = "CONFLICT"
	// PlanMismatch means that the digest is not that of the plan, or that the plan has expired.
	PlanMismatch Code = "PLAN_MISMATCH"
	// StoreUnavailable means that the key-value store did not accept the request. Nothing was changed.
	StoreUnavailable Code = "STORE_UNAVAILABLE"
	// Malformed means that a frame or a message violates the protocol.
	Malformed Code = "MALFORMED"
	// PeerUnreachable means that a frame could not be delivered to another node.
	PeerUnreachable Code = "PEER_UNREACHABLE"
	// SettingsInvalid means that the settings file or the flags are invalid.
	SettingsInvalid Code = "SETTINGS_INVALID"
	// Internal means that the process itself has a fault.
	Internal Code = "INTERNAL"
)

// Failure is an error with a code and with what a caller needs to decide whether and when to retry.
type Failure struct {
	// Code is the kind of the failure.
	Code Code
	// Message is a text for people. Programs use the other fields.
	Message string
	// NotRun is set only if it is proved that no back end ran the request.
	NotRun bool
	// RetryAfter is the time after which to retry. It is 0 if the time is not known or a retry is of no use.
	RetryAfter time.Duration
	// CurrentVersion is the version in force. It is set for Conflict.
	CurrentVersion uint64
	// Alternative is the address of another node. It is set for Leaving.
	Alternative string

	cause error
}

// New returns a failure with a code and a message.
func New(code Code, message string) *Failure {
	return &Failure{Code: code, Message: message}
}

// Wrap returns a failure with a code, a message and a cause. The cause is wrapped by eris, which records the stack
// trace.
func Wrap(cause error, code Code, message string) *Failure {
	return &Failure{Code: code, Message: message, cause: eris.Wrap(cause, message)}
}

// NewRefusal returns a failure of a request that no back end has run, with the time after which to retry.
func NewRefusal(code Code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Code: code, Message: message, NotRun: true, RetryAfter: retryAfter}
}

// Error implements error.
func (f *Failure) Error() string {
	if f.cause != nil {
		return string(f.Code) + ": " + f.cause.Error()
	}
	return string(f.Code) + ": " + f.Message
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// SafeToRepeat reports whether the same request may be sent again without being run twice. It is false for requests
// that would be refused again.
func (f *Failure) SafeToRepeat() bool {
	return f.NotRun && f.Code != InvalidArgument && f.Code != UnknownService && f.Code != Unauthenticated
}

// From returns err as a Failure. An error that is not and does not wrap a Failure becomes one with code Internal.
func From(err error) *Failure {
	if err == nil {
		return nil
	}
	var found *Failure
	if errors.As(err, &found) {
		return found
	}
	return Wrap(err, Internal, "unexpected error")
}

// CodeOf returns the code of err as From does, or the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}
