// Package failure defines the one error type that crosses package and process boundaries.
//
// Every failure has a code, states whether the request is proved not to have run, whether it is safe to
// repeat, and when to come back. Callers decide on these fields, never on the text.
package failure

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Code names a kind of failure. The values are part of the API and never change meaning.
type Code string

// The codes. docs/OPERATIONS.md says what an operator does on each.
const (
	// InvalidArgument: the request itself is wrong; repeating it does not help.
	InvalidArgument Code = "INVALID_ARGUMENT"
	// UnknownService: the catalog holds no such service.
	UnknownService Code = "UNKNOWN_SERVICE"
	// NotReady: the node has no trustworthy catalog yet.
	NotReady Code = "NOT_READY"
	// Leaving: the node is stopping; ask another.
	Leaving Code = "LEAVING"
	// Overloaded: refused before anything ran because it could not be served in time.
	Overloaded Code = "OVERLOADED"
	// NoReplica: nothing that holds the shards can be reached; nothing ran.
	NoReplica Code = "NO_REPLICA"
	// CoverageTooLow: less was answered than the service's minimum coverage.
	CoverageTooLow Code = "COVERAGE_TOO_LOW"
	// SnapshotUnavailable: the minimum version asked for is not held yet.
	SnapshotUnavailable Code = "SNAPSHOT_UNAVAILABLE"
	// Quarantined: the request ends the back ends that run it, and is sent to none for some time.
	Quarantined Code = "QUARANTINED"
	// DeadlineExceeded: the deadline passed.
	DeadlineExceeded Code = "DEADLINE_EXCEEDED"
	// OutcomeUnknown: the request may or may not have taken effect.
	OutcomeUnknown Code = "OUTCOME_UNKNOWN"
	// TicketInvalid: the ticket was not minted here, has expired or is malformed; nothing ran.
	TicketInvalid Code = "TICKET_INVALID"
	// Conflict: the base version of a plan is no longer the current one.
	Conflict Code = "CONFLICT"
	// PlanMismatch: the digest does not name this plan, or the plan has expired.
	PlanMismatch Code = "PLAN_MISMATCH"
	// StoreUnavailable: the key-value store did not take the request; nothing changed.
	StoreUnavailable Code = "STORE_UNAVAILABLE"
	// Malformed: a frame or message broke the protocol.
	Malformed Code = "MALFORMED"
	// PeerUnreachable: the frame was not delivered.
	PeerUnreachable Code = "PEER_UNREACHABLE"
	// SettingsInvalid: the settings file or flags were refused.
	SettingsInvalid Code = "SETTINGS_INVALID"
	// Internal: a fault of our own.
	Internal Code = "INTERNAL"
)

// Failure is the error type of the project.
type Failure struct {
	// Code is the kind.
	Code Code
	// Message is for people; programs use the other fields.
	Message string
	// NotRun is set only with proof that no back end ran the request.
	NotRun bool
	// RetryAfter is when to come back; zero where that is not known or of no use.
	RetryAfter time.Duration
	// CurrentVersion is the version in force, with Conflict.
	CurrentVersion uint64
	// Alternative is the address of another node, with Leaving.
	Alternative string

	cause error
}

// New returns a failure of the given kind.
func New(code Code, message string) *Failure {
	return &Failure{Code: code, Message: message}
}

// Wrap returns a failure of the given kind with a cause, whose trace eris keeps.
func Wrap(cause error, code Code, message string) *Failure {
	return &Failure{Code: code, Message: message, cause: eris.Wrap(cause, message)}
}

// Refused returns a failure whose request is proved not to have run.
func Refused(code Code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Code: code, Message: message, NotRun: true, RetryAfter: retryAfter}
}

// Error implements error.
func (f *Failure) Error() string {
	if f.cause != nil {
		return string(f.Code) + ": " + f.cause.Error()
	}
	return string(f.Code) + ": " + f.Message
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.cause }

// SafeToRepeat reports whether the same request may be sent again without running twice.
func (f *Failure) SafeToRepeat() bool {
	return f.NotRun && f.Code != InvalidArgument && f.Code != UnknownService
}

// From returns err as a Failure; an error of another type becomes Internal.
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

// CodeOf returns the code of err, or the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}
