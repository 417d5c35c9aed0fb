package decisionlog

import (
	"fmt"
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
)

// Fields of the lines.
const (
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldRoute    = "route"
	fieldVersion  = "version"
	fieldRevision = "revision"
	// fieldEra is that of a revision of the store, fieldKnown and fieldKnownEra are of the revision that was known already.
	fieldEra      = "era"
	fieldKnown    = "known_revision"
	fieldKnownEra = "known_era"
	fieldReason   = "reason"
	fieldOutcome  = "outcome"
	fieldBackEnd  = "back_end"
	fieldService  = "service"
	fieldZone     = "zone"
	fieldAttempts = "attempts"
	fieldMissing  = "missing"
	fieldTotal    = "total"
	fieldElapsed  = "elapsed_ms"
	fieldAge      = "age_ms"
	fieldCopyAge  = "copy_age_ms"
	fieldNode     = "node"
	fieldPeer     = "peer"
	// fieldMark is the same for requests that ask the same for the same caller, fieldRan how long an attempt was at a back end, in milliseconds.
	fieldMark   = "mark"
	fieldCaller = "caller"
	fieldRan    = "ran_ms"
	// What a request was turned away by, in hundredths: shards lacking of those that may lack, attempts shed, and the share turned away.
	fieldLacking = "lacking_percent"
	fieldShed    = "shed_percent"
	fieldShare   = "turned_away_percent"
)

// Events of the lines.
const (
	EventStart          = "start"
	EventStop           = "stop"
	EventReload         = "reload"
	EventRequest        = "request"
	EventEjected        = "back_end_ejected"
	EventBackEndEnded   = "back_end_ended"
	EventJudged         = "request_judged"
	EventRetrial        = "request_retrial"
	EventQuarantineLost = "quarantine_not_written"
	EventConfiguration  = "configuration_in_force"
	EventRejected       = "item_rejected"
	EventBackEnd        = "back_end"
	EventVanished       = "back_end_vanished"
	EventEvacuated      = "zone_evacuated"
	EventTakenBack      = "zone_taken_back"
	EventListed         = "store_listed"
	EventWentBack       = "store_went_back"
	EventReturned       = "store_from_a_copy"
	EventOlder          = "store_tells_older"
	EventMembers        = "members"
	EventLearned        = "learned_from_peer"
	EventPeerSilent     = "peer_silent"
	EventPeerMalformed  = "peer_malformed"
	EventFault          = "fault"
	EventStoreLost      = "store_lost"
	EventStoreRegained  = "store_regained"
	EventCopyStale      = "copy_stale"
	EventCopyFresh      = "copy_fresh"
	EventSuspended      = "suspended"
	requestsPerSecond   = 200
	ordinarySampleEvery = 20
)

// Log implements gateway.DecisionLog.
type Log struct {
	log     *logrus.Entry
	writer  *Writer
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
	return &Log{log: log.WithField(fieldNode, node), writer: writer}
}

// Lifecycle writes a line at start, stop and reload.
func (l *Log) Lifecycle(event string, fields map[string]any) {
	l.log.WithFields(fields).WithField(fieldEvent, event).Info(event)
}

// Request writes the line of a request: all decisions that touched it, folded. Ordinary successes are sampled; others are
// kept up to a rate.
func (l *Log) Request(call *gateway.Call, result *gateway.Result) {
	ordinary := result.Failure == nil && result.Missing == 0 && !result.Gone && !anyExtra(result.Attempts)
	if ordinary && !l.ordinal.sampled() {
		return
	}
	if !l.rate.allow(time.Now()) {
		return
	}
	fields := logrus.Fields{
		fieldEvent: EventRequest, fieldRequest: call.ID, fieldVersion: result.Version, fieldElapsed: result.Elapsed.Milliseconds(),
		fieldReason: string(result.Reason), fieldOutcome: result.Outcome(), fieldCopyAge: result.CopyAge,
		fieldMark: call.Identity.Question.String(), fieldCaller: call.Caller,
	}
	if result.Route != nil {
		fields[fieldRoute] = result.Route.Name
	}
	if result.Total > 0 {
		fields[fieldTotal] = result.Total
		fields[fieldMissing] = result.Missing
	}
	if result.Reason == forward.TurnedAway {
		fields[fieldLacking] = percent(result.Overload.Lacking)
		fields[fieldShed] = percent(result.Overload.Shed)
		fields[fieldShare] = percent(result.Overload.TurnedAway)
	}
	if !ordinary {
		fields[fieldAttempts] = describe(result)
	}
	l.log.WithFields(fields).Info(EventRequest)
}

// percent gives a share in whole hundredths.
func percent(share float64) int { return int(math.Round(100 * share)) }

func anyExtra(attempts []*forward.Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Purpose != forward.First {
			return true
		}
	}
	return false
}

// describe lists attempts as service, back end, purpose, start and end in milliseconds from the request's arrival, outcome.
func describe(result *gateway.Result) []string {
	lines := make([]string, 0, len(result.Attempts))
	for _, attempt := range result.Attempts {
		var line strings.Builder
		fmt.Fprintf(&line, "%s %s %s %d-", attempt.Service, attempt.Replica.ID, attempt.Purpose,
			(attempt.StartedAt - result.Arrived).Milliseconds())
		if attempt.Outcome.Kind == 0 {
			line.WriteString(" open")
		} else {
			fmt.Fprintf(&line, "%d %s", (attempt.EndedAt - result.Arrived).Milliseconds(), attempt.Outcome.Kind)
		}
		if load := attempt.Outcome.Load; load.Told {
			fmt.Fprintf(&line, " load %d+%d/%d x%.2f", load.Running, load.Waiting, load.Slots, load.Slowdown)
		}
		if attempt.Outcome.Detail != "" {
			line.WriteString(": " + attempt.Outcome.Detail)
		}
		if result.Denied != nil && attempt.Outcome.Kind != forward.Answered {
			if denied := result.Denied(attempt); denied != "" {
				line.WriteString(", extra attempt denied: " + string(denied))
			}
		}
		lines = append(lines, line.String())
	}
	return lines
}

// Ejected implements gateway.DecisionLog.
func (l *Log) Ejected(attempt *forward.Attempt, outcome forward.Outcome) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventEjected, fieldBackEnd: attempt.Replica.ID, fieldService: attempt.Service,
		fieldOutcome: outcome.Kind.String(), fieldReason: outcome.Detail,
	}).Info(EventEjected)
}

// BackEndEnded implements gateway.DecisionLog. Lines of one mark are those of one request that came several times.
func (l *Log) BackEndEnded(call *gateway.Call, attempt *forward.Attempt, ran clock.Ms) {
	if !l.rate.allow(time.Now()) {
		return
	}
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventBackEndEnded, fieldRequest: call.ID, fieldMark: call.Identity.Question.String(), fieldCaller: call.Caller, fieldBackEnd: attempt.Replica.ID,
		fieldService: attempt.Service, fieldRan: ran,
	}).Warn(EventBackEndEnded)
}

// Judged implements gateway.DecisionLog.
func (l *Log) Judged(mark quarantine.Mark, verdict quarantine.Verdict, by string, left clock.Ms) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventJudged, fieldMark: mark.String(), fieldOutcome: verdict.String(), fieldReason: by, "left_ms": left,
	}).Warn(EventJudged)
}

// Retrial implements gateway.DecisionLog.
func (l *Log) Retrial(mark quarantine.Mark, version string) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventRetrial, fieldMark: mark.String(), "software": version}).Info(EventRetrial)
}

// QuarantineLost implements gateway.DecisionLog.
func (l *Log) QuarantineLost(mark quarantine.Mark, cause *failure.Failure) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventQuarantineLost, fieldMark: mark.String(), fieldReason: cause.Error()}).Warn(EventQuarantineLost)
}

// Configuration implements gateway.DecisionLog.
func (l *Log) Configuration(table *routing.Table, revision history.Revision) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventConfiguration, fieldVersion: table.Version(), fieldRevision: revision.Number, fieldEra: revision.Era, "routes": table.RouteCount(),
	}).Info(EventConfiguration)
}

// Rejected implements gateway.DecisionLog.
func (l *Log) Rejected(item *gateway.Item) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventRejected, "key": item.Key, fieldRevision: item.Revision.Number, fieldEra: item.Revision.Era, fieldReason: item.Err.Error(),
	}).Warn(EventRejected)
}

// BackEnd implements gateway.DecisionLog.
func (l *Log) BackEnd(entry replica.Entry, revision history.Revision) {
	state := "ready"
	if entry.Draining {
		state = "draining"
	}
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventBackEnd, fieldBackEnd: entry.ID, fieldService: entry.Service, fieldZone: entry.Zone,
		fieldOutcome: state, fieldRevision: revision.Number, fieldEra: revision.Era,
	}).Info(EventBackEnd)
}

// Vanished implements gateway.DecisionLog.
func (l *Log) Vanished(id string, certain bool) {
	outcome := "doubtful"
	if certain {
		outcome = "forgotten"
	}
	l.log.WithFields(logrus.Fields{fieldEvent: EventVanished, fieldBackEnd: id, fieldOutcome: outcome}).Info(EventVanished)
}

// Evacuated implements gateway.DecisionLog.
func (l *Log) Evacuated(zone string, revision history.Revision) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventEvacuated, fieldZone: zone, fieldRevision: revision.Number, fieldEra: revision.Era}).Warn(EventEvacuated)
}

// TakenBack implements gateway.DecisionLog.
func (l *Log) TakenBack(zone string) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventTakenBack, fieldZone: zone}).Info(EventTakenBack)
}

// Listed implements gateway.DecisionLog.
func (l *Log) Listed(items int, revision history.Revision) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventListed, "items": items, fieldRevision: revision.Number, fieldEra: revision.Era}).Info(EventListed)
}

// WentBack implements gateway.DecisionLog.
func (l *Log) WentBack(known, told history.Revision) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventWentBack, fieldRevision: told.Number, fieldEra: told.Era, fieldKnown: known.Number, fieldKnownEra: known.Era}).Warn(EventWentBack)
}

// Returned implements gateway.DecisionLog.
func (l *Log) Returned(era uint64) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventReturned, fieldEra: era}).Warn(EventReturned)
}

// Older implements gateway.DecisionLog.
func (l *Log) Older(key string, revision, known history.Revision, count int) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventOlder, "key": key, fieldRevision: revision.Number, fieldEra: revision.Era, fieldKnown: known.Number, fieldKnownEra: known.Era, "items": count,
	}).Info(EventOlder)
}

// StoreLost implements gateway.DecisionLog. Only the first failure in a row is written.
func (l *Log) StoreLost(trouble follow.Trouble, cause *failure.Failure, contactAge time.Duration) {
	if !l.lost.lose() {
		return
	}
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventStoreLost, fieldReason: trouble.String(), fieldOutcome: cause.Error(), fieldAge: contactAge.Milliseconds(),
	}).Warn(EventStoreLost)
}

// StoreAnswered implements gateway.DecisionLog. It writes a line where the store was lost before.
func (l *Log) StoreAnswered(contactAge time.Duration) {
	if !l.lost.regain() {
		return
	}
	l.log.WithFields(logrus.Fields{fieldEvent: EventStoreRegained, fieldAge: contactAge.Milliseconds()}).Info(EventStoreRegained)
}

// CopyStale implements gateway.DecisionLog.
func (l *Log) CopyStale(age clock.Ms) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventCopyStale, fieldAge: age}).Warn(EventCopyStale)
}

// CopyFresh implements gateway.DecisionLog.
func (l *Log) CopyFresh() { l.log.WithField(fieldEvent, EventCopyFresh).Info(EventCopyFresh) }

// Suspended implements gateway.DecisionLog.
func (l *Log) Suspended(length clock.Ms) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventSuspended, fieldAge: length}).Warn(EventSuspended)
}

// Members implements gateway.DecisionLog.
func (l *Log) Members(alive int) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventMembers, "alive": alive}).Info(EventMembers)
}

// Learned implements gateway.DecisionLog.
func (l *Log) Learned(from string, records int, revision history.Revision) {
	l.log.WithFields(logrus.Fields{
		fieldEvent: EventLearned, fieldPeer: from, "items": records, fieldRevision: revision.Number, fieldEra: revision.Era,
	}).Info(EventLearned)
}

// PeerSilent implements gateway.DecisionLog.
func (l *Log) PeerSilent(peer string) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventPeerSilent, fieldPeer: peer}).Warn(EventPeerSilent)
}

// PeerMalformed implements gateway.DecisionLog.
func (l *Log) PeerMalformed(remote string, err error) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventPeerMalformed, fieldPeer: remote, fieldReason: err.Error()}).Warn(EventPeerMalformed)
}

// Fault implements gateway.DecisionLog.
func (l *Log) Fault(text string) {
	l.log.WithFields(logrus.Fields{fieldEvent: EventFault, fieldReason: text}).Error(EventFault)
}

// Write implements io.Writer for what libraries log, such as net/http of a handler that failed.
func (l *Log) Write(text []byte) (int, error) {
	l.Fault(strings.TrimSpace(string(text)))
	return len(text), nil
}
