// Package decisionlog writes the decisions of a gateway as JSON lines: one for each decision about a request, and one
// for each change of what the node knows of the store, the back ends and the other nodes.
//
// It owns the names of events and fields (names.go), which package explain reads, the limits on the number of lines
// (bounds.go), and the writer. Logging never blocks a caller: lines go to the writer's goroutine through a buffer of
// fixed size, and lines for which the buffer has no room are dropped and counted (writer.go).
package decisionlog

import (
	"math"
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
	"stiletrail/internal/sharedhealth"
)

// Log implements gateway.DecisionLog.
type Log struct {
	log       *logrus.Entry
	rate      rateLimiter
	judged    rateLimiter
	store     storeState
	successes sampler
}

// New returns a log that writes the lines of a node to the given writer.
func New(writer *Writer, level logrus.Level, node string) *Log {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	log.SetOutput(writer)
	log.SetLevel(level)
	return &Log{
		log: log.WithField(fieldNode, node), rate: rateLimiter{limit: requestLinesPerSecond}, judged: rateLimiter{limit: judgementLinesPerSecond},
	}
}

// Started logs the start of the node with its settings. ignored has the names of removed settings that the file still
// sets.
func (l *Log) Started(settings any, ignored []string) {
	l.info(EventStart, settingsFields(settings, ignored))
}

// Reloaded logs that changed settings are in force. ignored has the same meaning as for Started.
func (l *Log) Reloaded(settings any, ignored []string) {
	l.info(EventReload, settingsFields(settings, ignored))
}

// ReloadRefused logs that a changed settings file was rejected, and the reason.
func (l *Log) ReloadRefused(reason string) { l.info(EventReload, logrus.Fields{fieldReason: reason}) }

// Stopped logs that the node stops, and the reason.
func (l *Log) Stopped(reason string) { l.info(EventStop, logrus.Fields{fieldReason: reason}) }

func settingsFields(settings any, ignored []string) logrus.Fields {
	fields := logrus.Fields{fieldSettings: settings}
	if len(ignored) > 0 {
		fields[fieldIgnoredSettings] = ignored
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

// BackEndCrashed implements gateway.DecisionLog. Lines with the same fingerprint are about the same request, sent
// several times.
func (l *Log) BackEndCrashed(call *gateway.Call, attempt *forward.Attempt, after clock.Ms) {
	if !l.rate.allow(time.Now()) {
		return
	}
	l.warn(EventBackEndCrashed, logrus.Fields{
		fieldRequest: call.ID, fieldFingerprint: call.Identity.Request.String(), fieldCaller: call.Caller, fieldBackEnd: attempt.Replica.ID,
		fieldService: attempt.Service, fieldRunTime: after,
	})
}

// BackEndJudged implements gateway.DecisionLog. The outcome is "refusing", "unreachable" or "cleared".
func (l *Log) BackEndJudged(entry replica.Entry, change sharedhealth.Change) {
	if !l.judged.allow(time.Now()) {
		return
	}
	l.warn(EventBackEndJudged, logrus.Fields{
		fieldBackEnd: entry.ID, fieldService: entry.Service, fieldOutcome: change.Verdict.String(), fieldNodes: change.Nodes,
		fieldAttemptCount: math.Round(change.Attempts), fieldRefusedShare: math.Round(100 * change.RefusedShare),
		fieldSiblingsRefusedShare: math.Round(100 * change.SiblingsRefusedShare),
	})
}

// VerdictChanged implements gateway.DecisionLog.
func (l *Log) VerdictChanged(fingerprint quarantine.Fingerprint, verdict quarantine.Verdict, source string, remaining clock.Ms) {
	l.warn(EventVerdictChanged, logrus.Fields{
		fieldFingerprint: fingerprint.String(), fieldOutcome: verdict.String(), fieldReason: source, fieldRemaining: remaining,
	})
}

// RetrialClaimed implements gateway.DecisionLog.
func (l *Log) RetrialClaimed(fingerprint quarantine.Fingerprint, version string) {
	l.info(EventRetrialClaimed, logrus.Fields{fieldFingerprint: fingerprint.String(), fieldSoftwareVersion: version})
}

// QuarantineNotWritten implements gateway.DecisionLog.
func (l *Log) QuarantineNotWritten(fingerprint quarantine.Fingerprint, cause *failure.Failure) {
	l.warn(EventQuarantineNotWritten, logrus.Fields{fieldFingerprint: fingerprint.String(), fieldReason: cause.Error()})
}

// RosterNotWritten implements gateway.DecisionLog.
func (l *Log) RosterNotWritten(cause *failure.Failure) {
	l.warn(EventRosterNotWritten, logrus.Fields{fieldReason: cause.Error()})
}

// ConfigurationApplied implements gateway.DecisionLog.
func (l *Log) ConfigurationApplied(table *routing.Table, revision history.Revision, before gateway.CopyStatus) {
	l.info(EventConfigurationApplied, logrus.Fields{
		fieldVersion: table.Version(), fieldRevision: revision.Number, fieldEra: revision.Era, fieldRoutes: table.RouteCount(),
		fieldCopyAge: before.Age, fieldConfirmedBy: before.ConfirmedBy, fieldBehind: before.Behind,
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
func (l *Log) StoreRegressed(known, reported history.Revision) {
	l.warn(EventStoreRegressed, logrus.Fields{fieldRevision: reported.Number, fieldEra: reported.Era, fieldKnownRevision: known.Number, fieldKnownEra: known.Era})
}

// StoreRestored implements gateway.DecisionLog.
func (l *Log) StoreRestored(era uint64) {
	l.warn(EventStoreRestored, logrus.Fields{fieldEra: era})
}

// OutdatedRecordsRead implements gateway.DecisionLog.
func (l *Log) OutdatedRecordsRead(key string, revision, known history.Revision, count int) {
	l.info(EventOutdatedRecordsRead, logrus.Fields{
		fieldKey: key, fieldRevision: revision.Number, fieldEra: revision.Era, fieldKnownRevision: known.Number, fieldKnownEra: known.Era, fieldItems: count,
	})
}

// StoreCallFailed implements gateway.DecisionLog. Of consecutive failures only the first is written.
func (l *Log) StoreCallFailed(kind follow.FailureKind, cause *failure.Failure, contactAge time.Duration) {
	if !l.store.markFailing() {
		return
	}
	l.warn(EventStoreLost, logrus.Fields{
		fieldReason: kind.String(), fieldOutcome: cause.Error(), fieldAge: contactAge.Milliseconds(),
	})
}

// StoreAnswered implements gateway.DecisionLog. It writes a line only if the call before had failed.
func (l *Log) StoreAnswered(contactAge time.Duration) {
	if !l.store.markReachable() {
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

// Write implements io.Writer for the log of libraries, such as that of net/http when a handler panics. Each text is
// logged as an internal error.
func (l *Log) Write(text []byte) (int, error) {
	l.InternalError(strings.TrimSpace(string(text)))
	return len(text), nil
}
