package gateway

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/settings"
	"stiletrail/internal/spread"
)

// Settings of a gateway.
type Settings struct {
	Forward    forward.Settings
	Replica    replica.Settings
	Topology   replica.Topology
	Follow     follow.Settings
	Spread     spread.Settings
	Quarantine quarantine.Settings
	StoreCopy  StoreCopySettings
	Fleet      FleetSettings
	Retries    RetrySettings
	// StartingHold is how long a request waits at most for the first listing of the store and, for as long after that, for back
	// ends whose entries have lapsed to come back.
	StartingHold time.Duration
	// TurnAway refuses a part of the requests at once, as not run, while back ends cannot answer all of them by the target.
	TurnAway bool
	// MaximumRequests bounds the requests under way.
	MaximumRequests int
	// Seed of random choices.
	Seed uint64
}

// StoreCopySettings are those of the node's copy of the store.
type StoreCopySettings struct {
	// Propagation for news of the store.
	Propagation PropagationTimes
	// KeepDoubtfulFor is how long an entry that vanished without proof that its back end leaves is used on at most.
	KeepDoubtfulFor time.Duration
	// DistrustDepartedFor is how long after the store was restored from a backup it may name back ends that have left.
	DistrustDepartedFor time.Duration
}

// FleetSettings are those of what nodes do together.
type FleetSettings struct {
	// Watchers of the store in each region tell the other nodes of it; with 0 every node watches.
	Watchers int
	// WatchersTakeTurns has the watchers ask the store one after the other, PeerCopies has nodes tell each other what they learn.
	WatchersTakeTurns bool
	PeerCopies        bool
	// HealthReports has nodes tell each other of slow and faulty back ends.
	HealthReports bool
	// ShareConnections divides the connections of a back end among the nodes; one in YoungPart of them while many nodes have just
	// started.
	ShareConnections         bool
	StartupConnectionDivisor int
	// MaximumConnections bounds what of a back end's connections one node may use, however few nodes are known.
	MaximumConnections int
}

// RetrySettings are those of the budgets for extra attempts.
type RetrySettings struct {
	// Share of the requests of a service may be extra attempts in any Window, over all nodes.
	Share  float64
	Window time.Duration
	// FleetSlack is what all nodes together may send extra in a window beyond the share.
	FleetSlack float64
	// HedgeReserve is the part of the budget that hedges leave for retries.
	HedgeReserve float64
}

// Values that no operator needs to set: of requests.
const (
	// answerMargin of the target latency is left for the way of an answer back to the caller.
	answerMargin = 12 * time.Millisecond
	// retryMargin of the retry budget is not used, for what cannot be counted, such as a restart of a node.
	retryMargin = 0.04
	// hedgeReserve of the retry budget is left for retries.
	hedgeReserve = 0.06
	// maximumConnections of one node to a back end are more than it can use.
	maximumConnections = 8
)

// Values that no operator needs to set: of the store. Its back ends renew their entries each interval.
const (
	// entryLifetimeIntervals without the store may end an entry: it goes after three without a renewal, of which one may have been over
	// before.
	entryLifetimeIntervals = 2
	// rewriteWindow: what the store lacks after it was away or was restored is back about two seconds after its return.
	rewriteWindow = 2500 * clock.Ms(1)
	// departedIntervals after its return a restored store has no entry any more that is not renewed.
	departedIntervals = 3
	// doubtIntervals are waited for an entry to come back that vanished while the store was unsettled.
	doubtIntervals = 1.6
	// watchFraction of the time after which a copy is stale is the longest wait of a watch whose end nobody else makes up for.
	watchFraction = 0.9
	// coalesceDelay is the pause after changes, the time between two watchers' turns.
	coalesceDelay = 900 * time.Millisecond
	// initialBackoff and longestBackoff bound the pause after trouble, which doubles.
	initialBackoff = 100 * time.Millisecond
	maximumBackoff = time.Second
	// initialTimeout and longestTimeout bound the wait for an answer, which doubles.
	initialTimeout = 700 * time.Millisecond
	maximumTimeout = 4 * time.Second
)

// Values that no operator needs to set: of what nodes tell each other of the store.
const (
	// digestInterval is the pause between two digests to a random node, digestFanout the number of nodes told at once of news.
	digestInterval = time.Second
	digestFanout   = 3
	// tombstoneRetention is how long it is remembered that a key is gone.
	tombstoneRetention = time.Minute
)

// FromSettings gives the gateway's settings for those of the operator.
func FromSettings(s settings.Gateway) Settings {
	waits := PropagationTimesWithin(clock.FromDuration(min(s.LeavingTime, s.ApplyWithin, s.EvacuateWithin)))
	return Settings{
		Forward:    forwardSettings(s),
		Replica:    replicaSettings(s),
		Topology:   replica.Topology{Node: s.Node, Zone: s.Zone, Regions: s.Regions},
		Follow:     followSettings(waits),
		Spread:     spreadSettings(s, waits),
		Quarantine: quarantine.Settings{Rounds: s.QuarantineRounds, Duration: clock.FromDuration(s.QuarantineFor)},
		StoreCopy: StoreCopySettings{
			Propagation: waits, KeepDoubtfulFor: keepDoubtfulFor(s), DistrustDepartedFor: rewriteWindow.Duration() + departedIntervals*s.EntryInterval,
		},
		Fleet: FleetSettings{
			Watchers: s.Watchers, WatchersTakeTurns: s.StoreTurns, PeerCopies: s.PeerCopies, HealthReports: s.Reports,
			ShareConnections: s.ShareConnections, StartupConnectionDivisor: s.YoungPart, MaximumConnections: maximumConnections,
		},
		Retries: RetrySettings{
			Share: s.RetryShare * (1 - retryMargin), Window: s.RetryWindow, FleetSlack: s.RetrySlack, HedgeReserve: hedgeReserve,
		},
		StartingHold:    s.StartingHold,
		TurnAway:        s.TurnAway,
		MaximumRequests: s.MaximumRequests,
		Seed:            rand.Uint64(),
	}
}

func forwardSettings(s settings.Gateway) forward.Settings {
	return forward.Settings{
		HedgeShare: s.HedgeShare, SiblingHedges: s.SiblingHedges, LastExtras: s.LastExtras, EarlyFinish: s.EarlyFinish,
		RetryPause: s.RetryPace, AnswerMargin: answerMargin, SerialTrials: s.QuarantineRounds > 0, RetryAfter: s.EntryInterval / 2,
	}
}

func replicaSettings(s settings.Gateway) replica.Settings {
	return replica.Settings{
		Connections: s.Connections, OtherRegionPenalty: s.FarPrice, FaultPenalty: s.FaultPrice, UseSlowdown: s.GoByPace,
		SubsetSize: s.SubsetSize, LimitIdle: s.FewRest, Ejection: s.Ejection, VerifyConnections: s.ProveConnections,
		CancelledFactor: s.WithdrawnFactor,
	}
}

func followSettings(waits PropagationTimes) follow.Settings {
	return follow.Settings{
		WatchDuration: clock.Ms(watchFraction * float64(waits.StaleAfter)).Duration(),
		CoalesceDelay: coalesceDelay, InitialBackoff: initialBackoff, MaximumBackoff: maximumBackoff,
		InitialTimeout: initialTimeout, MaximumTimeout: maximumTimeout, PollTimeout: waits.PollTimeout.Duration(),
	}
}

func spreadSettings(s settings.Gateway, waits PropagationTimes) spread.Settings {
	return spread.Settings{
		Interval: digestInterval, Fanout: digestFanout, TombstoneRetention: tombstoneRetention,
		PeerRequestDelay: waits.PeerRequestDelay.Duration(), AnswerTimeout: waits.AnswerTimeout.Duration(),
		EntryLifetime: clock.FromDuration(entryLifetimeIntervals * s.EntryInterval), RewriteWindow: rewriteWindow,
	}
}

// keepDoubtfulFor is how long an entry that vanished while the store was in trouble is used on.
func keepDoubtfulFor(s settings.Gateway) time.Duration {
	if !s.Doubt {
		return 0
	}
	return time.Duration(doubtIntervals * float64(s.EntryInterval))
}
