// Package decisionlog writes one JSON line for each decision that touches a request or changes what the process believes.
//
// It owns the names of events and fields (names.go), which explain reads, the bounds on the number of lines
// (bounds.go), and the writer. Lines never block what they tell of: they are handed to the writer's goroutine through a
// buffer of fixed size, and what finds it full is dropped and counted (writer.go).
package decisionlog

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

// Log implements gateway.DecisionLog.
type Log struct {
	log     *logrus.Entry
	rate    rate
	lost    lostStore
	ordinal ordinal
}

// New returns the log of a node that writes to the given writer.
func New(writer *Writer, level logrus.Level, node string) *Log {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	log.SetOutput(writer)
	log.SetLevel(level)
	return &Log{log: log.WithField(fieldNode, node)}
}

// Started writes that the node runs with some settings. Those withoutEffect were named in the file and have been removed since.
func (l *Log) Started(settings any, withoutEffect []string) {
	l.info(EventStart, inForce(settings, withoutEffect))
}

// Reloaded is Started for settings that were read again.
func (l *Log) Reloaded(settings any, withoutEffect []string) {
	l.info(EventReload, inForce(settings, withoutEffect))
}

// ReloadRefused writes that a settings file was read again, and why it is not in force.
func (l *Log) ReloadRefused(reason string) { l.info(EventReload, logrus.Fields{fieldReason: reason}) }

// Stopped writes that the node stops, and why.
func (l *Log) Stopped(reason string) { l.info(EventStop, logrus.Fields{fieldReason: reason}) }

func inForce(settings any, withoutEffect []string) logrus.Fields {
	fields := logrus.Fields{fieldSettings: settings}
	if len(withoutEffect) > 0 {
		fields[fieldWithoutEffect] = withoutEffect
	}
	return fields
}

func (l *Log) info(event string, fields logrus.Fields) {
	l.log.WithFields(fields).WithField(fieldEvent, event).Info(event)
}

func (l *Log) warn(event string, fields logrus.Fields) {
	l.log.WithFields(fields).WithField(fieldEvent, event).Warn(event)
}

// BackEndEjected implements gateway.DecisionLog.
func (l *Log) BackEndEjected(attempt *forward.Attempt, outcome forward.Outcome) {
	l.info(EventBackEndEjected, logrus.Fields{
		fieldBackEnd: attempt.Replica.ID, fieldService: attempt.Service,
		fieldOutcome: outcome.Kind.String(), fieldReason: outcome.Detail,
	})
}

// BackEndCrashed implements gateway.DecisionLog. Lines of one mark are those of one request that came several times.
func (l *Log) BackEndCrashed(call *gateway.Call, attempt *forward.Attempt, ran clock.Ms) {
	if !l.rate.allow(time.Now()) {
		return
	}
	l.warn(EventBackEndCrashed, logrus.Fields{
		fieldRequest: call.ID, fieldMark: call.Identity.Request.String(), fieldCaller: call.Caller, fieldBackEnd: attempt.Replica.ID,
		fieldService: attempt.Service, fieldRan: ran,
	})
}

// VerdictChanged implements gateway.DecisionLog.
func (l *Log) VerdictChanged(mark quarantine.Fingerprint, verdict quarantine.Verdict, by string, left clock.Ms) {
	l.warn(EventVerdictChanged, logrus.Fields{
		fieldMark: mark.String(), fieldOutcome: verdict.String(), fieldReason: by, fieldLeft: left,
	})
}

// RetrialClaimed implements gateway.DecisionLog.
func (l *Log) RetrialClaimed(mark quarantine.Fingerprint, version string) {
	l.info(EventRetrialClaimed, logrus.Fields{fieldMark: mark.String(), fieldSoftware: version})
}

// QuarantineNotWritten implements gateway.DecisionLog.
func (l *Log) QuarantineNotWritten(mark quarantine.Fingerprint, cause *failure.Failure) {
	l.warn(EventQuarantineNotWritten, logrus.Fields{fieldMark: mark.String(), fieldReason: cause.Error()})
}

// ConfigurationApplied implements gateway.DecisionLog.
func (l *Log) ConfigurationApplied(table *routing.Table, revision history.Revision) {
	l.info(EventConfigurationApplied, logrus.Fields{
		fieldVersion: table.Version(), fieldRevision: revision.Number, fieldEra: revision.Era, fieldRoutes: table.RouteCount(),
	})
}

// ItemRejected implements gateway.DecisionLog.
func (l *Log) ItemRejected(item *gateway.Item) {
	l.warn(EventItemRejected, logrus.Fields{
		fieldKey: item.Key, fieldRevision: item.Revision.Number, fieldEra: item.Revision.Era, fieldReason: item.Err.Error(),
	})
}

// BackEndUpdated implements gateway.DecisionLog.
func (l *Log) BackEndUpdated(entry replica.Entry, revision history.Revision) {
	state := "ready"
	if entry.Draining {
		state = "draining"
	}
	fields := logrus.Fields{
		fieldBackEnd: entry.ID, fieldService: entry.Service, fieldZone: entry.Zone,
		fieldOutcome: state, fieldRevision: revision.Number, fieldEra: revision.Era,
	}
	if entry.StartedAt > 0 {
		fields[fieldStarted] = entry.StartedAt
	}
	l.info(EventBackEndUpdated, fields)
}

// BackEndVanished implements gateway.DecisionLog.
func (l *Log) BackEndVanished(id string, certain bool) {
	outcome := "doubtful"
	if certain {
		outcome = "forgotten"
	}
	l.info(EventBackEndVanished, logrus.Fields{fieldBackEnd: id, fieldOutcome: outcome})
}

// ZoneEvacuated implements gateway.DecisionLog.
func (l *Log) ZoneEvacuated(zone string, revision history.Revision) {
	l.warn(EventZoneEvacuated, logrus.Fields{fieldZone: zone, fieldRevision: revision.Number, fieldEra: revision.Era})
}

// ZoneEvacuationEnded implements gateway.DecisionLog.
func (l *Log) ZoneEvacuationEnded(zone string) {
	l.info(EventZoneEvacuationEnded, logrus.Fields{fieldZone: zone})
}

// StoreListed implements gateway.DecisionLog.
func (l *Log) StoreListed(items int, revision history.Revision) {
	l.info(EventStoreListed, logrus.Fields{fieldItems: items, fieldRevision: revision.Number, fieldEra: revision.Era})
}

// StoreRegressed implements gateway.DecisionLog.
func (l *Log) StoreRegressed(known, told history.Revision) {
	l.warn(EventStoreRegressed, logrus.Fields{fieldRevision: told.Number, fieldEra: told.Era, fieldKnown: known.Number, fieldKnownEra: known.Era})
}

// StoreRestored implements gateway.DecisionLog.
func (l *Log) StoreRestored(era uint64) {
	l.warn(EventStoreRestored, logrus.Fields{fieldEra: era})
}

// OutdatedRecordsRead implements gateway.DecisionLog.
func (l *Log) OutdatedRecordsRead(key string, revision, known history.Revision, count int) {
	l.info(EventOutdatedRecordsRead, logrus.Fields{
		fieldKey: key, fieldRevision: revision.Number, fieldEra: revision.Era, fieldKnown: known.Number, fieldKnownEra: known.Era, fieldItems: count,
	})
}

// StoreCallFailed implements gateway.DecisionLog. Only the first failure in a row is written.
func (l *Log) StoreCallFailed(trouble follow.FailureKind, cause *failure.Failure, contactAge time.Duration) {
	if !l.lost.lose() {
		return
	}
	l.warn(EventStoreLost, logrus.Fields{
		fieldReason: trouble.String(), fieldOutcome: cause.Error(), fieldAge: contactAge.Milliseconds(),
	})
}

// StoreAnswered implements gateway.DecisionLog. It writes a line where the store was lost before.
func (l *Log) StoreAnswered(contactAge time.Duration) {
	if !l.lost.regain() {
		return
	}
	l.info(EventStoreRegained, logrus.Fields{fieldAge: contactAge.Milliseconds()})
}

// CopyStale implements gateway.DecisionLog.
func (l *Log) CopyStale(age clock.Ms) {
	l.warn(EventCopyStale, logrus.Fields{fieldAge: age})
}

// CopyFresh implements gateway.DecisionLog.
func (l *Log) CopyFresh() { l.info(EventCopyFresh, nil) }

// MachineSuspended implements gateway.DecisionLog.
func (l *Log) MachineSuspended(length clock.Ms) {
	l.warn(EventMachineSuspended, logrus.Fields{fieldAge: length})
}

// MembersChanged implements gateway.DecisionLog.
func (l *Log) MembersChanged(alive int) {
	l.info(EventMembersChanged, logrus.Fields{fieldAlive: alive})
}

// LearnedFromPeer implements gateway.DecisionLog.
func (l *Log) LearnedFromPeer(from string, records int, revision history.Revision) {
	l.info(EventLearnedFromPeer, logrus.Fields{
		fieldPeer: from, fieldItems: records, fieldRevision: revision.Number, fieldEra: revision.Era,
	})
}

// PeerSilent implements gateway.DecisionLog.
func (l *Log) PeerSilent(peer string) {
	l.warn(EventPeerSilent, logrus.Fields{fieldPeer: peer})
}

// PeerMalformed implements gateway.DecisionLog.
func (l *Log) PeerMalformed(remote string, err error) {
	l.warn(EventPeerMalformed, logrus.Fields{fieldPeer: remote, fieldReason: err.Error()})
}

// InternalError implements gateway.DecisionLog.
func (l *Log) InternalError(text string) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventInternalError, fieldReason: text}).Error(EventInternalError)
}

// Write implements io.Writer for what libraries log, such as net/http of a handler that failed.
func (l *Log) Write(text []byte) (int, error) {
	l.InternalError(strings.TrimSpace(string(text)))
	return len(text), nil
}
