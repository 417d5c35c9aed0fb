package gateway

import (
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/history"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
	"stiletrail/internal/sharedhealth"
)

// DecisionLog records the decisions of a gateway. Its methods never block; some are called with the gateway's lock held.
type DecisionLog interface {
	// Request records a call and its answer.
	Request(call *Call, result *Result)
	// BackEndEjected records that a back end was ejected because of the outcome of an attempt.
	BackEndEjected(attempt *forward.Attempt, outcome forward.Outcome)
	// BackEndCrashed records that a back end crashed while it ran an attempt, and how long after the attempt was sent.
	BackEndCrashed(call *Call, attempt *forward.Attempt, after clock.Ms)
	// BackEndJudged records that this node, as a collector of the attempts of others, has begun or ceased to hold something
	// against a back end.
	BackEndJudged(entry replica.Entry, change sharedhealth.Change)
	// VerdictChanged records that the verdict on the requests of a fingerprint has changed. The source is "own", "peer"
	// or "store". For a quarantine, remaining is how much longer it lasts.
	VerdictChanged(fingerprint quarantine.Fingerprint, verdict quarantine.Verdict, source string, remaining clock.Ms)
	// RetrialClaimed records that this node may send a quarantined request to one back end: one with a new version of the
	// software, or, with an empty version, one on behalf of another caller.
	RetrialClaimed(fingerprint quarantine.Fingerprint, version string)
	// QuarantineNotWritten records that a quarantine could not be written to the store. The write is retried.
	QuarantineNotWritten(fingerprint quarantine.Fingerprint, cause *failure.Failure)
	// RosterNotWritten records that this node could not write or renew its record of the roster of running nodes. The call is
	// made again.
	RosterNotWritten(cause *failure.Failure)
	// ConfigurationApplied records that the configuration of a revision of the store has come into force. before describes
	// the copy of the store before that.
	ConfigurationApplied(table *routing.Table, revision history.Revision, before CopyStatus)
	// ItemRejected records that an item of the store cannot be used; item.Err says why.
	ItemRejected(item *Item)
	// BackEndUpdated records that the entry of a back end was added or changed.
	BackEndUpdated(entry replica.Entry, revision history.Revision)
	// BackEndVanished records that the entry of a back end has disappeared. If certain is false the back end is doubtful and
	// still used for a while.
	BackEndVanished(id string, certain bool)
	// ZoneEvacuated records that a zone gets no requests from now on, ZoneEvacuationEnded that it gets requests again.
	ZoneEvacuated(zone string, revision history.Revision)
	ZoneEvacuationEnded(zone string)
	// StoreListed records that a listing of the whole store, with the given number of items, was read.
	StoreListed(items int, revision history.Revision)
	// StoreRegressed records that the store reported another era than was known, or an earlier revision of the same era.
	StoreRegressed(known, reported history.Revision)
	// StoreRestored records that the store was restored from a backup. For a while, entries that it lacks and entries that
	// it lists again are in doubt.
	StoreRestored(era uint64)
	// OutdatedRecordsRead records that the store returned records older than the ones known. count is their number; key,
	// revision and known describe one of them.
	OutdatedRecordsRead(key string, revision, known history.Revision, count int)
	// StoreCallFailed records that a call to the store failed, and the time since the store last answered.
	StoreCallFailed(kind follow.FailureKind, cause *failure.Failure, contactAge time.Duration)
	// StoreAnswered records an answer of the store, and the time since the answer before it.
	StoreAnswered(contactAge time.Duration)
	// CopyStale records that nothing has confirmed the copy of the store for the given time, CopyFresh that the copy is
	// known to be complete again.
	CopyStale(age clock.Ms)
	CopyFresh()
	// MachineSuspended records for how long the machine was suspended.
	MachineSuspended(length clock.Ms)
	// MembersChanged records that the known members changed, and how many of them are alive.
	MembersChanged(alive int)
	// LearnedFromPeer records that a peer sent records of the store that the store itself had not yet sent.
	LearnedFromPeer(from string, records int, revision history.Revision)
	// PeerSilent records that a connection to a peer was closed because nothing came back on it.
	PeerSilent(peer string)
	// PeerMalformed records that a connection to a peer carried a malformed message.
	PeerMalformed(remote string, err error)
	// InternalError records a fault of this process itself, such as a panic.
	InternalError(text string)
}
