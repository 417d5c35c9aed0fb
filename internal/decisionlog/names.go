package decisionlog

// Names of the fields of a log line. Tools and operators depend on the names, so they must not change.
const (
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldRoute    = "route"
	fieldVersion  = "version"
	fieldRevision = "revision"
	// fieldEra is the era of the revision in fieldRevision. fieldKnownRevision and fieldKnownEra are the revision and
	// the era that were known before.
	fieldEra           = "era"
	fieldKnownRevision = "known_revision"
	fieldKnownEra      = "known_era"
	fieldReason        = "reason"
	fieldOutcome       = "outcome"
	fieldBackEnd       = "back_end"
	// fieldStarted is the Unix time in milliseconds at which a back end started, if the back end reports it.
	fieldStarted = "started_at_ms"
	fieldService = "service"
	// fieldTenant is the name of the tenant that holds the key of a request.
	fieldTenant   = "tenant"
	fieldZone     = "zone"
	fieldAttempts = "attempts"
	fieldMissing  = "missing"
	fieldTotal    = "total"
	fieldElapsed  = "elapsed_ms"
	// fieldTimeLimit is the time in which the request had to be answered, counted from its arrival.
	fieldTimeLimit = "within_ms"
	// fieldUnasked lists the shards that got no attempt, by reason.
	fieldUnasked = "unasked"
	// fieldUnreadTime is the part of the elapsed time during which the request had reached the machine but the node had
	// not read it.
	fieldUnreadTime = "unread_ms"
	// fieldRank is the priority of the request, with 0 the highest. fieldWaited is the longest time for which one of its
	// shards has waited for capacity of its back ends.
	fieldRank    = "rank"
	fieldWaited  = "waited_ms"
	fieldAge     = "age_ms"
	fieldCopyAge = "copy_age_ms"
	// fieldConfirmedBy is who last confirmed that the copy of the store was complete: "store", or a peer's address.
	// fieldBehind is for how long the node has known of a later revision, in milliseconds.
	fieldConfirmedBy = "confirmed_by"
	fieldBehind      = "behind_ms"
	fieldNode        = "node"
	fieldPeer        = "peer"
	// fieldFingerprint is the same for equal requests, also of different callers. In the lines of a quarantine that holds
	// for one caller only, it is a fingerprint of the request and the caller.
	fieldFingerprint = "mark"
	fieldCaller      = "caller"
	// fieldRunTime is the time between the sending of an attempt and the crash of its back end, in milliseconds.
	fieldRunTime = "ran_ms"
	// fieldMissingShare, fieldShedShare and fieldTurnedAwayShare say, in percent, why a request was turned away: the
	// missing shards as a part of those that may be missing, the share of attempts that back ends have shed, and the
	// share of requests that is turned away.
	fieldMissingShare    = "lacking_percent"
	fieldShedShare       = "shed_percent"
	fieldTurnedAwayShare = "turned_away_percent"
	// fieldQuotaAllowed is the limit of a tenant in a window, fieldQuotaInUse how much of it was used or lent as far as the
	// node knew, and fieldQuotaAge the time since the oldest word of an accountant. fieldQuotaBelow is set if less than
	// the limit was in use as far as the node knew; the three are left out if no accountant has answered in time. fieldQuotaWaited is how long the request had waited.
	fieldQuotaAllowed = "quota_allowed"
	fieldQuotaInUse   = "quota_in_use"
	fieldQuotaAge     = "quota_age_ms"
	fieldQuotaBelow   = "quota_below"
	fieldQuotaWaited  = "quota_waited_ms"
	fieldKey          = "key"
	// fieldSettings has the settings in force, fieldIgnoredSettings the names of removed settings that the file still
	// sets.
	fieldSettings        = "settings"
	fieldIgnoredSettings = "settings_without_effect"
	// fieldItems is a number of items of the store, fieldRoutes a number of routes of a configuration, and fieldAlive the
	// number of live members, this node included.
	fieldItems  = "items"
	fieldRoutes = "routes"
	fieldAlive  = "alive"
	// fieldRemaining is how much longer a quarantine lasts, in milliseconds. fieldSoftwareVersion is the software
	// version of the back ends that may get a quarantined request for a trial.
	fieldRemaining       = "left_ms"
	fieldSoftwareVersion = "software"
	// fieldNodes is the number of nodes whose attempts at a judged back end were refused or found no connection, and
	// fieldAttemptCount the number of attempts that were counted there lately. fieldRefusedShare and
	// fieldSiblingsRefusedShare are the shares, in percent, that the back end and its siblings refused.
	fieldNodes                = "nodes"
	fieldAttemptCount         = "counted"
	fieldRefusedShare         = "refused_percent"
	fieldSiblingsRefusedShare = "siblings_refused_percent"
)

// Names of the events of log lines. Most constants are named like the method of gateway.DecisionLog that writes the
// event. Tools and operators depend on the texts, so they must not change.
const (
	EventStart                = "start"
	EventStop                 = "stop"
	EventReload               = "reload"
	EventRequest              = "request"
	EventBackEndEjected       = "back_end_ejected"
	EventBackEndCrashed       = "back_end_ended"
	EventBackEndJudged        = "back_end_judged"
	EventVerdictChanged       = "request_judged"
	EventRetrialClaimed       = "request_retrial"
	EventQuarantineNotWritten = "quarantine_not_written"
	EventRosterNotWritten     = "roster_not_written"
	EventConfigurationApplied = "configuration_in_force"
	EventItemRejected         = "item_rejected"
	EventBackEndUpdated       = "back_end"
	EventBackEndVanished      = "back_end_vanished"
	EventZoneEvacuated        = "zone_evacuated"
	EventZoneEvacuationEnded  = "zone_taken_back"
	EventStoreListed          = "store_listed"
	EventStoreRegressed       = "store_went_back"
	EventStoreRestored        = "store_from_a_copy"
	EventOutdatedRecordsRead  = "store_tells_older"
	EventMembersChanged       = "members"
	EventLearnedFromPeer      = "learned_from_peer"
	EventPeerSilent           = "peer_silent"
	EventPeerMalformed        = "peer_malformed"
	EventInternalError        = "fault"
	EventStoreLost            = "store_lost"
	EventStoreRegained        = "store_regained"
	EventCopyStale            = "copy_stale"
	EventCopyFresh            = "copy_fresh"
	EventMachineSuspended     = "suspended"
)
