package decisionlog

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
	// fieldStarted is the Unix millisecond at which a back end started, where it tells that.
	fieldStarted  = "started_at_ms"
	fieldService  = "service"
	fieldZone     = "zone"
	fieldAttempts = "attempts"
	fieldMissing  = "missing"
	fieldTotal    = "total"
	fieldElapsed  = "elapsed_ms"
	// fieldWithin is how long the request could be served from its arrival.
	fieldWithin = "within_ms"
	// fieldUnasked has the shards without an attempt, by reason.
	fieldUnasked = "unasked"
	// fieldUnread is the part of the elapsed time in which a request lay in the machine before the node read it.
	fieldUnread  = "unread_ms"
	fieldAge     = "age_ms"
	fieldCopyAge = "copy_age_ms"
	fieldNode    = "node"
	fieldPeer    = "peer"
	// fieldMark is the same for requests that ask the same, whoever asks; in lines of a quarantine that holds for one caller only it is a mark of
	// its own. fieldRan is how long an attempt was at a back end, in milliseconds.
	fieldMark   = "mark"
	fieldCaller = "caller"
	fieldRan    = "ran_ms"
	// What a request was turned away by, in hundredths: shards lacking of those that may lack, attempts shed, and the
	// share turned away.
	fieldLacking = "lacking_percent"
	fieldShed    = "shed_percent"
	fieldShare   = "turned_away_percent"
	fieldKey     = "key"
	// fieldSettings are those in force, fieldWithoutEffect the names of removed ones that the file gives all the same.
	fieldSettings      = "settings"
	fieldWithoutEffect = "settings_without_effect"
	// fieldItems counts items of the store, fieldRoutes those of a configuration, fieldAlive members that are alive,
	// this node among them.
	fieldItems  = "items"
	fieldRoutes = "routes"
	fieldAlive  = "alive"
	// fieldLeft is how much longer a quarantine is, fieldSoftware the version of back ends that get a request under quarantine.
	fieldLeft     = "left_ms"
	fieldSoftware = "software"
)

// Events of the lines.
const (
	EventStart          = "start"
	EventStop           = "stop"
	EventReload         = "reload"
	EventRequest        = "request"
	EventBackEndEjected        = "back_end_ejected"
	EventBackEndCrashed   = "back_end_ended"
	EventVerdictChanged         = "request_judged"
	EventRetrialClaimed        = "request_retrial"
	EventQuarantineNotWritten = "quarantine_not_written"
	EventConfigurationApplied  = "configuration_in_force"
	EventItemRejected       = "item_rejected"
	EventBackEndUpdated        = "back_end"
	EventBackEndVanished       = "back_end_vanished"
	EventZoneEvacuated      = "zone_evacuated"
	EventZoneEvacuationEnded      = "zone_taken_back"
	EventStoreListed         = "store_listed"
	EventStoreRegressed       = "store_went_back"
	EventStoreRestored       = "store_from_a_copy"
	EventOutdatedRecordsRead          = "store_tells_older"
	EventMembersChanged        = "members"
	EventLearnedFromPeer        = "learned_from_peer"
	EventPeerSilent     = "peer_silent"
	EventPeerMalformed  = "peer_malformed"
	EventInternalError          = "fault"
	EventStoreLost      = "store_lost"
	EventStoreRegained  = "store_regained"
	EventCopyStale      = "copy_stale"
	EventCopyFresh      = "copy_fresh"
	EventMachineSuspended      = "suspended"
)
