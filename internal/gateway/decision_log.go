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
)

// DecisionLog takes note of decisions. Its methods never block; some are called with the gateway's lock held.
type DecisionLog interface {
	Request(call *Call, result *Result)
	BackEndEjected(attempt *forward.Attempt, outcome forward.Outcome)
	// BackEndCrashed: a back end ended while it had an attempt of a call, so long after that was sent.
	BackEndCrashed(call *Call, attempt *forward.Attempt, ran clock.Ms)
	// VerdictChanged: the verdict on requests of a mark has changed; by is "own", "peer" or "store", left how much longer a quarantine is.
	VerdictChanged(mark quarantine.Fingerprint, verdict quarantine.Verdict, by string, left clock.Ms)
	// RetrialClaimed: a request under quarantine is sent to a new version of the back ends' software.
	RetrialClaimed(mark quarantine.Fingerprint, version string)
	// QuarantineNotWritten: a quarantine could not be written to the store; it is tried again.
	QuarantineNotWritten(mark quarantine.Fingerprint, cause *failure.Failure)
	ConfigurationApplied(table *routing.Table, revision history.Revision)
	ItemRejected(item *Item)
	BackEndUpdated(entry replica.Entry, revision history.Revision)
	BackEndVanished(id string, certain bool)
	// ZoneEvacuated: a zone is to get nothing from now on; ZoneEvacuationEnded: it gets requests again.
	ZoneEvacuated(zone string, revision history.Revision)
	ZoneEvacuationEnded(zone string)
	StoreListed(items int, revision history.Revision)
	// StoreRegressed: the store tells another era than was known, or in the same one an earlier revision.
	StoreRegressed(known, told history.Revision)
	// StoreRestored: the store was restored from a backup; what it lacks or names again is in doubt for a while.
	StoreRestored(era uint64)
	// OutdatedRecordsRead: the store tells changes of which later ones were known, so many; key, revision and what was known are those of one of
	// them.
	OutdatedRecordsRead(key string, revision, known history.Revision, count int)
	StoreCallFailed(trouble follow.FailureKind, cause *failure.Failure, contactAge time.Duration)
	StoreAnswered(contactAge time.Duration)
	// CopyStale: nothing has confirmed the copy of the store for that long; CopyFresh: it is complete again.
	CopyStale(age clock.Ms)
	CopyFresh()
	// MachineSuspended: the machine was suspended for that long.
	MachineSuspended(length clock.Ms)
	MembersChanged(alive int)
	// LearnedFromPeer: a peer told what the store had not.
	LearnedFromPeer(from string, records int, revision history.Revision)
	// PeerSilent: a connection to a peer was given up, since nothing came back on it.
	PeerSilent(peer string)
	PeerMalformed(remote string, err error)
	// InternalError: something went wrong in this process that should not.
	InternalError(text string)
}
