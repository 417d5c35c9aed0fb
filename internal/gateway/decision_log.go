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
	Ejected(attempt *forward.Attempt, outcome forward.Outcome)
	// BackEndEnded: a back end ended while it had an attempt of a call, so long after that was sent.
	BackEndEnded(call *Call, attempt *forward.Attempt, ran clock.Ms)
	// Judged: the verdict on requests of a mark has changed; by is "own", "peer" or "store", left how much longer a quarantine is.
	Judged(mark quarantine.Mark, verdict quarantine.Verdict, by string, left clock.Ms)
	// Retrial: a request under quarantine is sent to a new version of the back ends' software.
	Retrial(mark quarantine.Mark, version string)
	// QuarantineLost: a quarantine could not be written to the store; it is tried again.
	QuarantineLost(mark quarantine.Mark, cause *failure.Failure)
	Configuration(table *routing.Table, revision history.Revision)
	Rejected(item *Item)
	BackEnd(entry replica.Entry, revision history.Revision)
	Vanished(id string, certain bool)
	// Evacuated: a zone is to get nothing from now on; TakenBack: it gets requests again.
	Evacuated(zone string, revision history.Revision)
	TakenBack(zone string)
	Listed(items int, revision history.Revision)
	// WentBack: the store tells another era than was known, or in the same one an earlier revision.
	WentBack(known, told history.Revision)
	// Returned: the store was restored from a backup; what it lacks or names again is in doubt for a while.
	Returned(era uint64)
	// Older: the store tells changes of which later ones were known, so many; key, revision and what was known are those of one of
	// them.
	Older(key string, revision, known history.Revision, count int)
	StoreLost(trouble follow.FailureKind, cause *failure.Failure, contactAge time.Duration)
	StoreAnswered(contactAge time.Duration)
	// CopyStale: nothing has confirmed the copy of the store for that long; CopyFresh: it is complete again.
	CopyStale(age clock.Ms)
	CopyFresh()
	// Suspended: the machine was suspended for that long.
	Suspended(length clock.Ms)
	Members(alive int)
	// Learned: a peer told what the store had not.
	Learned(from string, records int, revision history.Revision)
	// PeerSilent: a connection to a peer was given up, since nothing came back on it.
	PeerSilent(peer string)
	PeerMalformed(remote string, err error)
	// Fault: something went wrong in this process that should not.
	Fault(text string)
}
